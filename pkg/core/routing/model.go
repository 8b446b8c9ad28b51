package routing

import (
	"math"
	"time"
)

// Model describes a model whose layers are spread over engines, and how fast
// an engine works. Times are those of an accelerator of factor 1 that holds all
// layers; they scale with the share of the layers that a pass runs.
type Model struct {
	Name         string
	Layers       int
	LayerMB      float64 // memory of the weights of a layer
	KVTokenBytes float64 // memory of a token over all layers
	Step         time.Duration
	PerSequence  time.Duration // added to a step for each sequence in the batch
	PerContext   time.Duration // added to a step for each 1,000 tokens of context
	ReadRate     float64       // prompt tokens per second
	Stride       int           // steps of one pass
	Slots        int           // requests that an engine takes as first of a path
	LoadTime     time.Duration // time to load all layers
	// ParallelLoads is the number of loads above which the weight store slows
	// down each of them.
	ParallelLoads int
	// ActivationBytes pass between two engines for each token.
	ActivationBytes float64
	// PipeMbps is the bandwidth between two data centres, shared by all.
	PipeMbps      float64
	UsualPrompt   int // tokens
	UsualAnswer   int // tokens
	Accelerators  map[string]*Accelerator
	LinkDelays    map[[2]string]time.Duration
	ReportsWithin time.Duration // age of a load report
}

// Accelerator is a kind of engine hardware.
type Accelerator struct {
	Name       string
	MemoryMB   float64
	StepFactor float64 // on Step, PerSequence and PerContext
	ReadFactor float64 // on the time to read a prompt
}

const bytesPerMB = 1e6

// KVTokens returns the tokens whose KV cache fits beside so many layers.
func (m *Model) KVTokens(a *Accelerator, layers int) int {
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

// StepTime returns the time of one step over so many layers without a batch.
func (m *Model) StepTime(a *Accelerator, layers int) time.Duration {
	return time.Duration(float64(m.Step) * a.StepFactor * float64(layers) / float64(m.Layers))
}

// ReadTime returns the time of one prompt token over so many layers.
func (m *Model) ReadTime(a *Accelerator, layers int) time.Duration {
	if m.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / m.ReadRate * a.ReadFactor * float64(layers) / float64(m.Layers))
}

// LocalHop is the delay between two engines of one data centre.
const LocalHop = 100 * time.Microsecond

// Delay returns the one-way delay between two data centres.
func (m *Model) Delay(from, to string) time.Duration {
	if d, ok := m.LinkDelays[[2]string{from, to}]; ok {
		return d
	}
	return m.LinkDelays[[2]string{to, from}]
}
