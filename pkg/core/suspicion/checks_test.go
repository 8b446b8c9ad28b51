package suspicion

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against a report that makes an engine suspect although no two successive polls of it
// went without an answer, a lost engine that is found late, and reports without end that cost
// polls without end.
func TestChecks_FindLostEnginesWithBoundedPolls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lost, length = 3, 1500 * time.Millisecond // the first engines are lost at the start
		c := NewChecks()
		n := rapid.IntRange(lost, 40).Draw(t, "engines")
		reportEvery := time.Duration(rapid.IntRange(1, 300).Draw(t, "report interval")) * time.Millisecond
		lossRate := rapid.Float64Range(0, 0.2).Draw(t, "loss rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		polls, results := make([][]time.Time, n), make([][]Result, n)
		suspectAfter := make([]time.Duration, n)
		ends := make(map[time.Duration][]int)
		for at := time.Duration(0); at < length; at += time.Millisecond {
			now := start.Add(at)
			for _, i := range ends[at] {
				r := results[i]
				if suspect, _ := c.RecordShortPoll(now, Process{StartUnixMs: int64(i)}, r[len(r)-1]); suspect {
					suspectAfter[i] = at
					assert.Assert(t, r[len(r)-1] == Refused || len(r) > 1 && r[len(r)-1] == Missed && r[len(r)-2] == Missed, "%v", r)
				}
			}
			for i := range n {
				if suspectAfter[i] == 0 && (at == 0 || i >= lost && at%reportEvery == 0) {
					c.Report(now, Process{StartUnixMs: int64(i)})
				}
			}
			for _, p := range c.Due(now) {
				i := int(p.StartUnixMs)
				took, result := time.Duration(1+i%40)*time.Millisecond, Answered
				switch {
				case i == 0:
					result = Refused
				case i < lost || random.Float64() < lossRate:
					took, result = minShortTimeout, Missed
				}
				polls[i], results[i] = append(polls[i], now), append(results[i], result)
				ends[at+took] = append(ends[at+took], i)
			}
		}
		var all [length / time.Millisecond]int
		for i := range n {
			for k, at := range polls[i] {
				all[at.Sub(start)/time.Millisecond]++
				assert.Assert(t, k < 8 || at.Sub(polls[i][k-8]) >= time.Second)
			}
			assert.Assert(t, i >= lost || n > 2*lost || suspectAfter[i] > 0 && suspectAfter[i] <= 2*minShortTimeout+recheckDelay, "%s", suspectAfter[i])
		}
		sum := 0
		for i, count := range all {
			if sum += count; i >= 1000 {
				sum -= all[i-1000]
			}
			assert.Assert(t, sum <= 2*totalPolls)
		}
	})
}

// Guards against an engine that becomes suspect because the leader itself did not run, against
// distant engines that miss each short poll, and against state without a bound.
func TestChecks_SpareEnginesOfSlowLeadersAndLinks(t *testing.T) {
	assert.Equal(t, UnansweredResult(62*time.Millisecond, minShortTimeout), Missed)
	assert.Equal(t, UnansweredResult(150*time.Millisecond, minShortTimeout), Inconclusive)
	assert.Equal(t, ShortTimeout(0, 250*time.Millisecond), minShortTimeout)
	assert.Equal(t, ShortTimeout(50*time.Millisecond, 250*time.Millisecond), 150*time.Millisecond)
	c, p, now := NewChecks(), Process{ID: "e"}, start
	c.Report(now, p)
	for _, r := range []Result{Missed, Inconclusive, Answered} {
		assert.Equal(t, len(c.Due(now)), 1)
		suspect, next := c.RecordShortPoll(now, p, r)
		assert.Assert(t, !suspect && (next > 0) == (r != Answered))
		now = now.Add(recheckDelay)
	}
	c.Report(now, p)
	c.RecordAnswer(p, now.Add(time.Millisecond))
	assert.Equal(t, len(c.Due(now.Add(2*time.Millisecond))), 0, "the engine has answered since the report")
	for i := range 2 * maxReported {
		c.Report(now, Process{StartUnixMs: int64(i)})
	}
	assert.Equal(t, len(c.engines), maxReported)
	assert.Assert(t, c.Concerns(now, p) && !c.Concerns(now.Add(reportMemory), p))
}
