package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

const (
	recoveryShare  = 0.9
	recoveryWindow = 500 * time.Millisecond
	recoveryStep   = 10 * time.Millisecond
	// recoveryHold is how long the throughput must stay back. Silence is
	// detected after 1 s, so a loss may show later than that.
	recoveryHold = 2500 * time.Millisecond
)

// tokenTimes counts the tokens received by step of the run.
func (o *RunResult) tokenTimes() []int {
	counts := make([]int, o.Scenario.Run.Duration/recoveryStep+1)
	for _, r := range o.Results {
		for _, at := range r.TokenTimes {
			if i := int(at / recoveryStep); i < len(counts) {
				counts[i]++
			}
		}
	}
	return counts
}

// RecoveryTime is the time from the fault until the tokens received are back
// at the share of what a run without the fault received at the same time, and
// stay there. Both runs have the same arrivals, and what remains can serve all
// of them. It reports false when that did not happen.
func (o *RunResult) RecoveryTime(reference *RunResult) (time.Duration, bool) {
	have, want := o.tokenTimes(), reference.tokenTimes()
	window := int(recoveryWindow / recoveryStep)
	hold := int(recoveryHold / recoveryStep)
	start := int(o.InjectedAt / recoveryStep)
	since := start
	for i := start; i+window <= len(have); i++ {
		if float64(sum(have[i:i+window])) < recoveryShare*float64(sum(want[i:i+window])) {
			since = i + 1
		}
		if i-since >= hold {
			return time.Duration(since-start) * recoveryStep, true
		}
	}
	return 0, false
}

// LastBelowTarget is the time from the fault to the end of the last window below the
// share, zero without any.
func (o *RunResult) LastBelowTarget(reference *RunResult) time.Duration {
	have, want := o.tokenTimes(), reference.tokenTimes()
	window := int(recoveryWindow / recoveryStep)
	start := int(o.InjectedAt / recoveryStep)
	last := start
	for i := start; i+window <= len(have); i++ {
		if float64(sum(have[i:i+window])) < recoveryShare*float64(sum(want[i:i+window])) {
			last = i + window
		}
	}
	return time.Duration(last-start) * recoveryStep
}

// LowestThroughputShare is the lowest share of the reference in a window after the fault.
func (o *RunResult) LowestThroughputShare(reference *RunResult) float64 {
	have, want := o.tokenTimes(), reference.tokenTimes()
	window := int(recoveryWindow / recoveryStep)
	lowest := 1.0
	for i := int(o.InjectedAt / recoveryStep); i+window <= len(have); i++ {
		if w := sum(want[i : i+window]); w > 0 {
			lowest = min(lowest, float64(sum(have[i:i+window]))/float64(w))
		}
	}
	return lowest
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// LongestTokenGap is the longest time between two tokens of one answer.
func (o *RunResult) LongestTokenGap() time.Duration {
	longest := time.Duration(0)
	for _, r := range o.Results {
		for i := 1; i < len(r.TokenTimes); i++ {
			longest = max(longest, r.TokenTimes[i]-r.TokenTimes[i-1])
		}
	}
	return longest
}

// chatResends returns how often a truncated answer was asked for again.
func (o *RunResult) chatResends() int {
	n := 0
	for _, r := range o.Results {
		if r.Arrival.Mix.Kind == load.KindChat {
			n += r.Resends
		}
	}
	return n
}

// CountOutcome returns the requests that ended with an outcome.
func (o *RunResult) CountOutcome(outcome load.Outcome) int {
	n := 0
	for _, r := range o.Results {
		if r.Outcome == outcome {
			n++
		}
	}
	return n
}
