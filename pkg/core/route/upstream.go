// Package route chooses the upstreams of a request from reported load, and
// tracks which hosts may be chosen. It is pure: time and randomness are
// arguments. Table, Tracker and Budget may be used by several goroutines;
// they guard short critical sections and never wait for anything else.
package route

import (
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
)

// ModelShard is a range of layers of a model that an engine holds.
type ModelShard struct {
	Model, Version        string
	FirstLayer, LastLayer int // inclusive
	Adapters              []string
}

// Upstream is the state of one engine or service as last reported. It must
// not be changed after it was given to a Table.
type Upstream struct {
	Host, DataCentre, Address string
	Incarnation               uint64
	Kind                      string // "engine" or "service"
	Models                    []ModelShard
	Services                  []string
	Slots, Running            int
	QueueWait                 [sched.NumRanks]time.Duration
	TimeToFirstToken          time.Duration            // of this engine alone
	InterTokenLatency         time.Duration            // of this engine alone, per token
	PeerRoundTrips            map[string]time.Duration // round trip to the agent of another host
	PromptPrefixes            map[uint64]struct{}      // hashes of cached prompt prefixes
	Draining                  bool
	Stale                     bool          // reports stopped; no new work
	RoundTrip                 time.Duration // between this process and the agent
}

// Requirements describes a request to be placed.
type Requirements struct {
	Model, Version, Adapter string // an empty version accepts any, the same for all stages
	Layers                  int
	Rank                    sched.Rank
	PromptTokens, MaxTokens int
	PromptPrefixes          []uint64 // hashes of the prompt's prefixes, longest last
	DataCentre              string   // of the caller
	ExcludedHosts           map[string]bool
	AvoidDataCentre         string // used only when nothing else is left
	// HeadHost fixes the first stage of a chain, which holds a slot already. Later
	// stages are then chosen from many candidates instead of a few samples, as
	// few of them have a free slot when the fleet is full.
	HeadHost string
	// PreferredHosts are hosts to prefer for the stages after Head, where one of them
	// can run the stage.
	PreferredHosts []string
	// EntryCount is the number of processes that choose from the same upstreams.
	// Each is taken to have sent as much since the last report as this one.
	EntryCount int
	// Weight returns the share of its normal traffic that a host may receive:
	// 1 for a healthy host, 0 for an ejected one. Nil means 1 for all. It is
	// called only for sampled hosts; Tracker.Weight fits.
	Weight func(host string) float64
}

// Stage is one element of a chain.
type Stage struct {
	*Upstream
	FirstLayer, LastLayer int // inclusive
}

// sameHoldings reports whether the index entries of a and b are the same.
func sameHoldings(a, b *Upstream) bool {
	return a.DataCentre == b.DataCentre &&
		slices.Equal(a.Services, b.Services) &&
		slices.EqualFunc(a.Models, b.Models, sameRange)
}

func sameRange(a, b ModelShard) bool {
	return a.Model == b.Model && a.Version == b.Version &&
		a.FirstLayer == b.FirstLayer && a.LastLayer == b.LastLayer &&
		slices.Equal(a.Adapters, b.Adapters)
}
