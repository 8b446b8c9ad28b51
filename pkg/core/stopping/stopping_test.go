package stopping

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopOutcome is what the callers of a stopped process got.
type stopOutcome struct {
	whole, cut, refused, refusedInVain int
	cutLate                            int // of those cut, the ones that arrived after the stop began
}

// playStop plays a planned stop of a process with a grace period of 8 s to which callers
// open streams for 2.5 s more, as a load balancer reacts late. Streams last 2 to 10 s, and
// the length that callers state is right at the median. The process ends its streams after
// a share of the grace period.
func playStop(seed uint64, graceShare float64, takes func(p *Pace, remaining time.Duration, events int) bool) stopOutcome {
	const (
		grace, openFor = 8 * time.Second, 2500 * time.Millisecond
		first, gap     = 400 * time.Millisecond, 130 * time.Millisecond
		rate           = 20 // a second
		medianEvents   = 35
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	events := func() (stated, real int) {
		stated = medianEvents
		return stated, max(2, int(float64(stated)*math.Exp(0.4*rng.NormFloat64())))
	}
	length := func(events int) time.Duration { return first + time.Duration(events)*gap }
	var p Pace
	for range 200 {
		_, n := events()
		p.Record(first, time.Duration(n-1)*gap, n)
	}
	limit := time.Duration(graceShare * float64(grace))
	var out stopOutcome
	for at := -8 * time.Second; at < openFor; at += time.Second / rate {
		stated, n := events()
		switch ends := at + length(n); {
		case ends < 0:
		case at >= 0 && !takes(&p, limit-at, stated):
			out.refused++
			if ends <= limit {
				out.refusedInVain++
			}
		case ends <= limit:
			out.whole++
		default:
			out.cut++
			if at >= 0 {
				out.cutLate++
			}
		}
	}
	return out
}

// Guards against a stop that takes streams which it has to cut, and against one that
// refuses what it could have served.
func TestPace_StopUnderLongStreams(t *testing.T) {
	var naive, shorter, decided, final stopOutcome
	add := func(to *stopOutcome, o stopOutcome) {
		to.whole, to.cut = to.whole+o.whole, to.cut+o.cut
		to.refused, to.refusedInVain = to.refused+o.refused, to.refusedInVain+o.refusedInVain
		to.cutLate += o.cutLate
	}
	all := func(*Pace, time.Duration, int) bool { return true }
	for seed := range uint64(50) {
		add(&naive, playStop(seed, 0.95, all))
		add(&shorter, playStop(seed, 0.85, all))
		add(&decided, playStop(seed, 0.95, func(p *Pace, remaining time.Duration, events int) bool { return p.Takes(remaining, events, true) }))
		add(&final, playStop(seed, 0.95, func(p *Pace, remaining time.Duration, events int) bool { return p.Takes(remaining, events, false) }))
	}
	t.Logf("all taken, 85%% of the grace period: %+v; 95%%: %+v; with the decision: %+v", shorter, naive, decided)
	assert.Assert(t, naive.cut < shorter.cut)
	assert.Assert(t, decided.cut*2 < naive.cut, "%d streams cut, %d if all are taken", decided.cut, naive.cut)
	assert.Assert(t, final.cutLate*20 < naive.cutLate, "%d streams that may not be repeated were taken and cut, %d if all are taken", final.cutLate, naive.cutLate)
	assert.Assert(t, decided.refusedInVain*5 <= decided.refused*4, "%d of %d refused streams would have ended", decided.refusedInVain, decided.refused)
}

// Guards against refusals by a process that knows nothing of its pace.
func TestPace_TakesAllWithoutStreams(t *testing.T) {
	var p Pace
	assert.Assert(t, p.Takes(0, 1000, true))
	assert.Assert(t, !p.Takes(time.Hour, 1, false), "a stream that may not be repeated is taken blindly")
	p.Record(time.Second, time.Second, 1)
	assert.Assert(t, p.Takes(0, 1000, true))
	p.Record(time.Second, time.Second, 11)
	assert.Equal(t, p.Expected(10), 2400*time.Millisecond)
	assert.Assert(t, !p.Takes(2300*time.Millisecond, 10, true) && p.Takes(3*time.Second, 10, true))
	assert.Assert(t, !p.Takes(3*time.Second, 10, false) && p.Takes(3500*time.Millisecond, 10, false))
}

// Guards against calls that are taken late in the grace period and cut at its end, and against a
// stop that refuses calls which would have ended long before.
func TestCallTimes_StopUnderCalls(t *testing.T) {
	const (
		grace  = 8 * time.Second
		median = 300 * time.Millisecond
	)
	var c CallTimes
	assert.Assert(t, !c.Takes(time.Hour))
	rng := rand.New(rand.NewPCG(1, 1))
	draw := func() time.Duration { return time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64())) }
	for range 500 {
		c.Record(draw())
	}
	taken, cut, refusedInVain := 0, 0, 0
	for at := time.Duration(0); at < grace; at += time.Millisecond {
		took := draw()
		switch {
		case c.Takes(grace - at):
			taken++
			if at+took > grace {
				cut++
			}
		case at+took <= grace:
			refusedInVain++
		}
	}
	t.Logf("%d calls taken, %d of them cut, %d refused in vain", taken, cut, refusedInVain)
	assert.Assert(t, cut*200 <= taken)
	assert.Assert(t, refusedInVain < int(grace/time.Millisecond)/8)
}
