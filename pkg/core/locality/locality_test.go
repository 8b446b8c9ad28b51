package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests that leave for a small gain, and against all of them leaving while
// the own data centre is still useful.
func TestShare_GrowsWithTheRatioOfTheTimes(t *testing.T) {
	for _, c := range []struct {
		local, remote time.Duration
		share         float64
	}{
		{time.Second, time.Second, 0},
		{1250 * time.Millisecond, time.Second, 0},
		{1625 * time.Millisecond, time.Second, 0.5},
		{2 * time.Second, time.Second, 1},
		{time.Minute, time.Second, 1},
		{time.Second, 0, 0},
	} {
		assert.Equal(t, Share(c.local, c.remote), c.share, "%s, %s", c.local, c.remote)
	}
}

// Guards against a choice without capacity while another data centre has some, and against
// requests that leave for a data centre that is slower than their own.
func TestSelect_KeepsToCapacityAndGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		for _, name := range []string{"a", "b", "c", ""}[:rapid.IntRange(0, 4).Draw(t, "data centres")] {
			candidates = append(candidates, Candidate{
				DataCentre: name, Time: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "time")) * time.Millisecond, HasCapacity: rapid.Bool().Draw(t, "capacity"),
			})
		}
		home := rapid.SampledFrom([]string{"", "a", "x"}).Draw(t, "home")
		i := Select(home, candidates, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		if len(candidates) == 0 {
			assert.Equal(t, i, -1)
			return
		}
		chosen := candidates[i]
		anyCapacity, local := false, (*Candidate)(nil)
		for n, c := range candidates {
			anyCapacity = anyCapacity || c.HasCapacity
			if home != "" && c.DataCentre == home && c.HasCapacity {
				local = &candidates[n]
			}
		}
		assert.Equal(t, chosen.HasCapacity, anyCapacity)
		if local != nil && chosen.DataCentre != home {
			assert.Assert(t, float64(local.Time) > minRatio*float64(chosen.Time), "left %s for %s", local.Time, chosen.Time)
		}
	})
}

// Guards against requests that find no data centre where none has a name.
func TestSelect_ServesWithoutNames(t *testing.T) {
	assert.Equal(t, Select("", []Candidate{{"", time.Second, true}}, 0.5), 0)
}

// Guards against gateways that leave and return together: a data centre whose callers exceed
// its upstreams has to settle at a share that leaves. As gateways do, this load adds the
// requests that were sent since the last report to the reported ones.
func TestSelect_UnevenDemandSettles(t *testing.T) {
	const (
		perRound = 200  // requests of data centre a between two reports
		rounds   = 4    // that a request takes
		capacity = 1000 // requests that a and b each serve at a time
	)
	sent := map[string][]int{"a": make([]int, rounds), "b": make([]int, rounds)} // in each of the last rounds
	var shares []float64
	for range 60 {
		reported := make(map[string]int)
		for name, counts := range sent {
			for _, n := range counts {
				reported[name] += n
			}
			sent[name] = append(counts[1:], 0)
		}
		for n := range perRound {
			duration := func(name string) time.Duration {
				utilisation := float64(reported[name]+sent[name][rounds-1]) / capacity
				return time.Duration(float64(time.Second) / (1 - min(utilisation, 0.95)))
			}
			candidates := []Candidate{{"a", duration("a"), true}, {"b", duration("b"), true}}
			draw := float64(n*61%perRound) / perRound
			sent[candidates[Select("a", candidates, draw)].DataCentre][rounds-1]++
		}
		shares = append(shares, float64(sent["b"][rounds-1])/perRound)
	}
	for _, s := range shares[30:] {
		assert.Assert(t, s > 0.2 && s < 0.6, "shares %v", shares)
	}
}
