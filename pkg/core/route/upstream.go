// Package route selects the upstreams of a request by their reported load, ejects
// failing and slow hosts, and limits retries. It performs no I/O; time and
// randomness are arguments. Table, OutlierDetector and Budget may be used by
// several goroutines; their locks are held only for short computations.
package route

import (
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
)

// ModelShard is a contiguous range of a model's layers that an engine serves.
type ModelShard struct {
	Model, Version        string
	FirstLayer, LastLayer int // inclusive
	Adapters              []string
}

// Upstream is the last reported state of one engine or service. It must not be
// changed after Table.Update has received it.
type Upstream struct {
	Host, DataCentre, Address string
	Incarnation               uint64
	Kind                      string // "engine" or "service"
	Models                    []ModelShard
	Services                  []string
	Slots, Running            int
	QueueWait                 [sched.NumRanks]time.Duration
	TimeToFirstToken          time.Duration            // of this engine's stage
	InterTokenLatency         time.Duration            // of this engine's stage
	PeerRoundTrips            map[string]time.Duration // to the agents of other hosts
	PromptPrefixes            map[uint64]struct{}      // hashes of cached prompt prefixes
	Draining                  bool
	Stale                     bool          // reports stopped; gets no new work
	RoundTrip                 time.Duration // between this process and the upstream's agent
}

// Requirements describes a request and restricts the upstreams that may serve it.
type Requirements struct {
	Model, Version, Adapter string // an empty version accepts any, but the same one in all stages
	Layers                  int
	Rank                    sched.Rank
	PromptTokens, MaxTokens int
	PromptPrefixes          []uint64 // hashes of the prompt's prefixes, in order of length
	DataCentre              string   // of the caller
	ExcludedHosts           map[string]bool
	AvoidDataCentre         string // used only if no other upstream is available
	// HeadHost fixes the host of the first stage, the head, which already holds a slot for
	// the request. Later stages are then selected from many candidates instead of
	// a few samples, because few hosts have a free slot when the fleet is full.
	HeadHost string
	// PreferredHosts are used for the stages after HeadHost that they can run.
	PreferredHosts []string
	// EntryCount is the number of entries that select from the same upstreams. Cost
	// estimates assume that each of them has sent as many requests since the last
	// report as this process.
	EntryCount int
	// Weight returns the fraction of its normal traffic that a host may receive:
	// 1 for a healthy host, 0 for an ejected one. Nil means 1 for all hosts. It is
	// called only for sampled hosts and is usually OutlierDetector.Weight.
	Weight func(host string) float64
}

// Stage is a part of a chain: an upstream and the layers that it runs.
type Stage struct {
	*Upstream
	FirstLayer, LastLayer int // inclusive
}

// sameIndexEntries reports whether a and b belong to the same groups of the index.
func sameIndexEntries(a, b *Upstream) bool {
	return a.DataCentre == b.DataCentre &&
		slices.Equal(a.Services, b.Services) &&
		slices.EqualFunc(a.Models, b.Models, sameShard)
}

func sameShard(a, b ModelShard) bool {
	return a.Model == b.Model && a.Version == b.Version &&
		a.FirstLayer == b.FirstLayer && a.LastLayer == b.LastLayer &&
		slices.Equal(a.Adapters, b.Adapters)
}
