package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const chunk = 16 << 10

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// Guards against a crowd of callers with unfinished bodies that keeps out other callers: a
// later large body gets the memory of those that have stopped, and needs no restart for it.
func TestBudget_CrowdOfUnfinishedBodiesGivesWayToLaterBody(t *testing.T) {
	const callers, size = 64, 4 << 20
	b := NewBudget(8 << 20)
	crowd := make([]Body, callers)
	for i := range crowd {
		b.Begin(&crowd[i], at(0), time.Time{})
	}
	for sent := 0; sent < size-chunk; sent += chunk {
		now := at(time.Duration(sent/chunk) * time.Millisecond) // all send at the same rate
		for i := range crowd {
			if c := &crowd[i]; c.receiving {
				decision, victims := b.Charge(c, chunk, now)
				assert.Equal(t, len(victims), 0, "a body that makes progress was evicted")
				b.Progress(c, now)
				if decision == Refused {
					b.Release(c)
				}
			}
		}
	}
	assert.Assert(t, b.Receiving() > 0 && b.Receiving() < callers, "%d bodies left", b.Receiving())
	var ordinary Body
	b.Begin(&ordinary, at(2*time.Second), time.Time{})
	for sent := 0; sent < size; {
		decision, victims := b.Charge(&ordinary, chunk, at(2*time.Second))
		assert.Assert(t, decision != Refused, "refused after %d bytes", sent)
		for _, v := range victims {
			b.Release(v)
		}
		if decision == Granted {
			sent += chunk
		}
	}
	assert.Assert(t, b.Complete(&ordinary))
	assert.Equal(t, ordinary.Held(), int64(size))
}

// Guards against the eviction of a body that still arrives, of more bodies than needed, or of
// one that holds nothing, and against the use of bytes that an evicted body still holds.
func TestCharge_EvictsLongestStalledFirst(t *testing.T) {
	b := NewBudget(3 * chunk)
	var empty, first, second, active, needy Body
	charge := func(body *Body, d time.Duration, want Decision, wantVictims int) {
		t.Helper()
		decision, victims := b.Charge(body, chunk, at(d))
		assert.Equal(t, decision, want)
		assert.Equal(t, len(victims), wantVictims)
	}
	for _, body := range []*Body{&empty, &first, &second, &active} {
		b.Begin(body, at(0), time.Time{})
		if body != &empty {
			charge(body, 0, Granted, 0)
		}
	}
	b.Progress(&first, at(10*time.Millisecond)) // later than second
	b.Progress(&active, at(StallTimeout))
	b.Begin(&needy, at(StallTimeout), time.Time{})
	charge(&needy, StallTimeout-1, Refused, 0)
	const later = StallTimeout + 20*time.Millisecond
	charge(&needy, later, Wait, 1)
	assert.Equal(t, second.Cause(), OutOfMemory)
	charge(&needy, later, Wait, 0) // the victim has not released its bytes
	b.Release(&second)
	charge(&needy, later, Granted, 0)
	assert.Assert(t, !b.Complete(&second) && b.Complete(&needy))
	assert.Assert(t, b.EvictStalled(at(later)) == &empty)
}

// Guards against a budget that loses bytes or hands out more than it has, in any order of
// charges, evictions and releases.
func TestBudget_HeldStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 100).Draw(t, "limit")
		b := NewBudget(limit)
		bodies := make([]Body, 6)
		begun := make([]bool, len(bodies))
		now := at(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(bodies)-1).Draw(t, "body")
			switch body := &bodies[i]; rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				if !begun[i] {
					b.Begin(body, now, now.Add(time.Second))
					begun[i] = true
				} else if body.receiving || body.Cause() != NotEvicted {
					b.Charge(body, rapid.Int64Range(0, 40).Draw(t, "bytes"), now)
				}
			case 3:
				b.Progress(body, now)
			case 4:
				b.Complete(body)
			case 5:
				b.Release(body)
				begun[i] = false
			case 6:
				b.EvictStalled(now)
			case 7:
				b.EvictOverdue(now)
			}
			var held int64
			for i := range bodies {
				held += bodies[i].Held()
			}
			assert.Assert(t, 0 <= b.Held() && b.Held() <= limit, "%d of %d bytes held", b.Held(), limit)
			assert.Assert(t, 0 <= b.evicted && b.evicted <= b.Held() && held == b.Held(), "%d held by bodies", held)
		}
		for i := range bodies {
			b.Release(&bodies[i])
		}
		assert.Assert(t, b.Held() == 0 && b.evicted == 0 && b.Receiving() == 0)
	})
}
