package routing

import (
	"math"
	"time"
)

// Model describes a model whose layers are spread over engines, and how fast
// an engine works. Times are those of an accelerator of factor 1 that holds all
// layers; they scale with the share of the layers that a pass runs.
type Model struct {
	Name                   string
	Layers                 int
	LayerMB                float64 // memory of the weights of a layer
	KVTokenBytes           float64 // memory of a token over all layers
	DecodeStepTime         time.Duration
	DecodeStepPerSequence  time.Duration // added to a step for each sequence in the batch
	DecodeStepPer1KTokens  time.Duration // added to a step for each 1,000 tokens of context
	PrefillTokensPerSecond float64       // prompt tokens per second
	StepsPerPass           int           // steps of one pass
	Slots                  int           // requests that an engine takes as first of a path
	LoadTime               time.Duration // time to load all layers
	// FullSpeedLoads is the number of loads above which the weight store slows
	// down each of them.
	FullSpeedLoads int
	// ActivationBytes pass between two engines for each token.
	ActivationBytes float64
	// InterDataCentreMbps is the bandwidth between two data centres, shared by all.
	InterDataCentreMbps float64
	TypicalPromptTokens int // tokens
	TypicalOutputTokens int // tokens
	Accelerators        map[string]*Accelerator
	LinkDelays          map[[2]string]time.Duration
	LoadReportLag       time.Duration // age of a load report
}

// Accelerator is a kind of engine hardware.
type Accelerator struct {
	Name          string
	MemoryMB      float64
	DecodeFactor  float64 // on Step, PerSequence and PerContext
	PrefillFactor float64 // on the time to read a prompt
}

const bytesPerMB = 1e6

// KVCapacity returns the tokens whose KV cache fits beside so many layers.
func (m *Model) KVCapacity(a *Accelerator, layers int) int {
	free := a.MemoryMB - float64(layers)*m.LayerMB
	if layers == 0 || free <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	return int(free * bytesPerMB / (m.KVTokenBytes / float64(m.Layers) * float64(layers)))
}

// MaxLayers returns the largest number of layers beside which the KV cache of
// so many tokens still fits.
func (m *Model) MaxLayers(a *Accelerator, kvTokens int) int {
	perLayer := m.LayerMB + float64(kvTokens)*m.KVTokenBytes/float64(m.Layers)/bytesPerMB
	return min(m.Layers, int(math.Floor(a.MemoryMB/perLayer)))
}

// DecodeTime returns the time of one step over so many layers without a batch.
func (m *Model) DecodeTime(a *Accelerator, layers int) time.Duration {
	return time.Duration(float64(m.DecodeStepTime) * a.DecodeFactor * float64(layers) / float64(m.Layers))
}

// PrefillTime returns the time of one prompt token over so many layers.
func (m *Model) PrefillTime(a *Accelerator, layers int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / m.PrefillTokensPerSecond * a.PrefillFactor * float64(layers) / float64(m.Layers))
}

// LocalHopDelay is the delay between two engines of one data centre.
const LocalHopDelay = 100 * time.Microsecond

// LinkDelay returns the one-way delay between two data centres.
func (m *Model) LinkDelay(from, to string) time.Duration {
	if d, ok := m.LinkDelays[[2]string{from, to}]; ok {
		return d
	}
	return m.LinkDelays[[2]string{to, from}]
}
