package routing

import (
	"math"
	"time"
)

// Model describes a model whose layers are distributed over engines, and the speed of
// these engines. Times apply to an accelerator of factor 1 that holds all layers; they
// scale with the fraction of layers that an engine runs.
type Model struct {
	Name                   string
	Layers                 int
	LayerMB                float64 // weights of one layer
	KVTokenBytes           float64 // KV cache of one token over all layers
	DecodeStepTime         time.Duration
	DecodeStepPerSequence  time.Duration // added to a step for each sequence in the batch
	DecodeStepPer1KTokens  time.Duration // added to a step for each 1,000 tokens of context
	PrefillTokensPerSecond float64
	StepsPerPass           int           // decode steps whose tokens are sent on together as one event
	Slots                  int           // requests that an engine admits as the first stage of a path
	LoadTime               time.Duration // time to load all layers
	// FullSpeedLoads is the number of concurrent loads above which the weight store
	// slows down each of them.
	FullSpeedLoads int
	// ActivationBytes is the size of the activations sent between two engines for each
	// token.
	ActivationBytes float64
	// InterDataCentreMbps is the bandwidth between two data centres, shared by all
	// requests.
	InterDataCentreMbps float64
	TypicalPromptTokens int
	TypicalOutputTokens int
	Accelerators        map[string]*Accelerator
	LinkDelays          map[[2]string]time.Duration
	LoadReportLag       time.Duration // age of a load report
}

// Accelerator is a kind of engine hardware.
type Accelerator struct {
	Name          string
	MemoryMB      float64
	DecodeFactor  float64 // multiplies all decode step times
	PrefillFactor float64 // multiplies the prefill time
}

const bytesPerMB = 1e6

// KVCapacity returns the number of tokens whose KV cache fits in memory next to the
// given number of layers.
func (m *Model) KVCapacity(a *Accelerator, layers int) int {
	free := a.MemoryMB - float64(layers)*m.LayerMB
	if layers == 0 || free <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	return int(min(maxKVTokens, free*bytesPerMB/(m.KVTokenBytes/float64(m.Layers)*float64(layers))))
}

// maxKVTokens bounds the KV cache of an engine, so that sums over engines do not overflow.
const maxKVTokens = 1 << 40

// MaxLayers returns the largest number of layers that leaves memory for the KV cache
// of kvTokens tokens.
func (m *Model) MaxLayers(a *Accelerator, kvTokens int) int {
	perLayer := m.LayerMB + float64(kvTokens)*m.KVTokenBytes/float64(m.Layers)/bytesPerMB
	layers := math.Floor(a.MemoryMB / perLayer)
	if !(layers >= 0) {
		return 0 // sizes that are negative or missing
	}
	return int(min(float64(m.Layers), layers))
}

// DecodeTime returns the time of one decode step over the given number of layers,
// without the cost of a batch.
func (m *Model) DecodeTime(a *Accelerator, layers int) time.Duration {
	return time.Duration(float64(m.DecodeStepTime) * a.DecodeFactor * float64(layers) / float64(m.Layers))
}

// PrefillTime returns the time of one prompt token over the given number of layers.
func (m *Model) PrefillTime(a *Accelerator, layers int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / m.PrefillTokensPerSecond * a.PrefillFactor * float64(layers) / float64(m.Layers))
}

// LocalHopDelay is the one-way delay between two engines of one data centre.
const LocalHopDelay = 100 * time.Microsecond

// LinkDelay returns the one-way delay between two data centres.
func (m *Model) LinkDelay(from, to string) time.Duration {
	if d, ok := m.LinkDelays[[2]string{from, to}]; ok {
		return d
	}
	return m.LinkDelays[[2]string{to, from}]
}
