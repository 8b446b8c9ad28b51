package route

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// limitSpan, limitFactor and limitSlack are what the users allow: in a span,
	// limitFactor times what the limit allows and limitSlack requests.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInSpan returns the highest number of times within limitSpan.
func mostInSpan(times []time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests to an upstream than the limit that it names, in any span and
// however many gateways ask in whatever bursts, and against permits that are not handed out
// although requests wait. In the same play, gateways with an equal share each, which they
// may save up, send more than is allowed.
func TestPermits_KeepWithinTheLimitOfAllGateways(t *testing.T) {
	const length = 20 * time.Second
	naiveOver := 0
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.5, 50).Draw(t, "limit")
		gateways := rapid.IntRange(1, 100).Draw(t, "gateways")
		step := time.Duration(rapid.IntRange(5, 400).Draw(t, "ms between bursts")) * time.Millisecond
		burst := rapid.IntRange(1, 30).Draw(t, "requests in a burst")
		start := time.Unix(1_000_000, 0)
		permits := NewPermits()
		shares := make([]*Budget, gateways)
		for i := range shares {
			shares[i] = NewBudget(BudgetLimits{Burst: 1, PerSecond: limit / float64(gateways)})
		}
		var sent, naive []time.Duration
		for at := time.Duration(0); at < length; at += step {
			for n := range burst {
				if taken, wait := permits.Take(start.Add(at), "u", limit, n%3); taken {
					sent = append(sent, at)
				} else {
					assert.Assert(t, wait > 0)
				}
				if shares[n%gateways].Take(start.Add(at)) {
					naive = append(naive, at)
				}
			}
		}
		allowed := limitFactor*limit*limitSpan.Seconds() + limitSlack
		assert.Assert(t, float64(mostInSpan(sent)) <= allowed, "%d of %.1f allowed", mostInSpan(sent), allowed)
		if demand := float64(burst) / step.Seconds(); demand > 4*limit && limit*step.Seconds() < limit*permitBurst.Seconds() {
			assert.Assert(t, float64(len(sent)) > 0.9*limit*length.Seconds()-2, "%d sent of %.1f", len(sent), limit*length.Seconds())
		}
		if float64(mostInSpan(naive)) > allowed {
			naiveOver++
		}
	})
	assert.Assert(t, naiveOver > 0, "the naive version keeps within the limit in all plays")
}

// Guards against less urgent requests that take the permits of urgent ones while a limit is
// reached, and against refusing them for good.
func TestPermits_LeaveRoomForUrgentRequests(t *testing.T) {
	const limit, length = 10.0, time.Minute
	start := time.Unix(1_000_000, 0)
	permits := NewPermits()
	taken := make([]int, 3)
	for at := time.Duration(0); at < length; at += 125 * time.Millisecond { // eight urgent requests a second
		for _, rank := range []int{2, 1, 0} {
			if ok, _ := permits.Take(start.Add(at), "u", limit, rank); ok {
				taken[rank]++
			}
		}
	}
	assert.Assert(t, taken[0] >= 8*int(length.Seconds())*95/100, "%v", taken)
	assert.Assert(t, taken[1]+taken[2] > int(length.Seconds()), "%v", taken)
}

// Guards against permits that were saved up before the limit was lowered or the process that
// hands them out has changed, and against state that stays for upstreams that are gone.
func TestPermits_FollowChangesOfTheLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	permits := NewPermits()
	taken, _ := permits.Take(now, "u", 100, 0)
	assert.Assert(t, !taken, "a new process hands out what the last one may have")
	now = now.Add(time.Minute)
	n := 0
	for ok := true; ok; n++ {
		ok, _ = permits.Take(now, "u", 2, 0)
	}
	assert.Assert(t, n <= 3, "%d permits at a limit of 2 a second", n)
	permits.Retain(func(string) bool { return false })
	assert.Equal(t, len(permits.buckets), 0)
}
