package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

const (
	recoveryShare  = 0.9                    // fraction of the reference throughput
	recoveryWindow = 500 * time.Millisecond // interval over which throughput is measured
	recoveryStep   = 10 * time.Millisecond  // interval between the starts of two windows
	// recoveryHold is how long the throughput must stay at the target. A silent upstream
	// is detected after 1 s, so the drop may begin later than 1 s after the fault.
	recoveryHold = 2500 * time.Millisecond
)

// tokensPerStep returns the number of tokens received in each recoveryStep of the
// run.
func (result *RunResult) tokensPerStep() []int {
	counts := make([]int, result.Scenario.Run.Duration/recoveryStep+1)
	for _, r := range result.Results {
		for _, at := range r.TokenTimes {
			if i := int(at / recoveryStep); i < len(counts) {
				counts[i]++
			}
		}
	}
	return counts
}

// RecoveryTime returns the time from the fault until the token throughput has
// returned to recoveryShare of the throughput of the reference run at the same
// time and stays there for recoveryHold. The reference run has the same arrivals
// and no fault, and the remaining upstreams have the capacity for all of them.
// RecoveryTime returns false if the throughput did not recover.
func (result *RunResult) RecoveryTime(reference *RunResult) (time.Duration, bool) {
	have, want := result.tokensPerStep(), reference.tokensPerStep()
	window := int(recoveryWindow / recoveryStep)
	hold := int(recoveryHold / recoveryStep)
	start := int(result.InjectedAt / recoveryStep)
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

// LastBelowTarget returns the time from the fault to the end of the last window
// with less than recoveryShare of the reference throughput, or zero if there is
// none.
func (result *RunResult) LastBelowTarget(reference *RunResult) time.Duration {
	have, want := result.tokensPerStep(), reference.tokensPerStep()
	window := int(recoveryWindow / recoveryStep)
	start := int(result.InjectedAt / recoveryStep)
	last := start
	for i := start; i+window <= len(have); i++ {
		if float64(sum(have[i:i+window])) < recoveryShare*float64(sum(want[i:i+window])) {
			last = i + window
		}
	}
	return time.Duration(last-start) * recoveryStep
}

// LowestThroughputShare returns the lowest throughput in any window after the
// fault, as a fraction of the reference throughput. It is at most 1.
func (result *RunResult) LowestThroughputShare(reference *RunResult) float64 {
	have, want := result.tokensPerStep(), reference.tokensPerStep()
	window := int(recoveryWindow / recoveryStep)
	lowest := 1.0
	for i := int(result.InjectedAt / recoveryStep); i+window <= len(have); i++ {
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

// LongestTokenGap returns the longest time between consecutive tokens of one answer.
func (result *RunResult) LongestTokenGap() time.Duration {
	longest := time.Duration(0)
	for _, r := range result.Results {
		for i := 1; i < len(r.TokenTimes); i++ {
			longest = max(longest, r.TokenTimes[i]-r.TokenTimes[i-1])
		}
	}
	return longest
}

// chatResends returns the number of resends after truncated answers.
func (result *RunResult) chatResends() int {
	n := 0
	for _, r := range result.Results {
		if r.Arrival.Mix.Kind == load.KindChat {
			n += r.Resends
		}
	}
	return n
}

// CountOutcome returns the number of requests with the given outcome.
func (result *RunResult) CountOutcome(outcome load.Outcome) int {
	n := 0
	for _, r := range result.Results {
		if r.Outcome == outcome {
			n++
		}
	}
	return n
}
