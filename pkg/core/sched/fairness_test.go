package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// flood describes the requests that one organisation keeps queued in one rank.
type flood struct {
	rank     Rank
	org      string
	depth    int // queued requests; zero means none
	min, max int // estimated tokens
	weight   int
}

// run schedules the requests of floods for the given number of events, refills each
// queue to its depth before an event and calls observe after it.
func (n *referenceScheduler) run(t *rapid.T, floods []flood, events int, observe func()) {
	for range events {
		n.refill(t, floods)
		if _, ok := n.next(t); !ok || rapid.IntRange(0, 2).Draw(t, "work") == 0 {
			n.progress(t)
		}
		n.now = n.now.Add(time.Millisecond)
		observe()
	}
}

func (n *referenceScheduler) refill(t *rapid.T, floods []flood) {
	queued := map[string]int{}
	for _, r := range n.queued {
		queued[flowName(r.Rank, r.Organisation)]++
	}
	for _, f := range floods {
		for i := queued[flowName(f.rank, f.org)]; i < f.depth; i++ {
			cost := rapid.IntRange(f.min, f.max).Draw(t, "cost")
			assert.NilError(t, n.submit(Request{Rank: f.rank, Organisation: f.org, Cost: cost, Weight: float64(f.weight)}))
		}
	}
}

// progress may report a random usage of a running request, below or above its
// estimate, and may finish the request.
func (n *referenceScheduler) progress(t *rapid.T) {
	id, ok := pick(t, n.running)
	if !ok {
		return
	}
	if rapid.Bool().Draw(t, "report use") {
		n.charge(id, rapid.IntRange(1, maxCost).Draw(t, "used"))
	}
	if rapid.Bool().Draw(t, "finish") {
		n.finish(id)
	}
}

// maxServiceGap returns the maximum difference, in any interval, of the tokens
// served to two backlogged organisations, each divided by the weight. At either end
// of the interval the difference is at most the cost of one request in dispatch plus
// the corrections of the estimates in all slots.
func maxServiceGap(slots int) int { return 2 * (slots + 1) * maxCost }

// Guards against an organisation that receives more than its fair share by sending
// many or small requests, by low estimates, or by returning from an idle time.
func TestFairQueueing_ServiceGapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		n := newReferenceScheduler(Config{Slots: slots, UrgentReserve: -1})
		big := flood{Standard, "big", rapid.IntRange(1, 20).Draw(t, "depth"), 1, rapid.IntRange(1, maxCost).Draw(t, "max"), rapid.IntRange(1, 3).Draw(t, "weight")}
		small := flood{Standard, "small", 1, 1, maxCost, rapid.IntRange(1, 3).Draw(t, "weight")}
		idle := flood{Standard, "idle", 0, 1, maxCost, 1}

		// A long request may prevent the flow of the idle organisation from
		// being deleted.
		pinned := Request{Rank: Standard, Organisation: "idle", Cost: 1}
		long := slots > 1 && rapid.Bool().Draw(t, "long request")
		if long {
			assert.NilError(t, n.submit(pinned))
			pinned, _ = n.next(t)
			delete(n.running, pinned.ID)
		}
		n.run(t, []flood{big, small}, 150, n.fairWithin(t, slots, big, small))
		if long {
			n.running[pinned.ID] = pinned
		}
		idle.depth = 1
		floods := []flood{big, small, idle}
		n.refill(t, floods)
		observe := n.fairWithin(t, slots, big, idle)
		n.run(t, floods, 150, observe)
	})
}

// fairWithin returns a check that the tokens served to a and b from now on differ by
// at most maxServiceGap. Both must stay backlogged.
func (n *referenceScheduler) fairWithin(t *rapid.T, slots int, a, b flood) func() {
	nameA, nameB := flowName(a.rank, a.org), flowName(b.rank, b.org)
	startA, startB := n.served[nameA], n.served[nameB]
	return func() {
		gap := (n.served[nameA]-startA)/a.weight - (n.served[nameB]-startB)/b.weight
		assert.Assert(t, max(gap, -gap) <= maxServiceGap(slots), "service gap %d of %s and %s", gap, a.org, b.org)
	}
}

// maxRankDeficit returns the maximum number of tokens by which a backlogged rank may
// fall behind its minimum share in any interval. A rank waits while more urgent ranks
// have credit; each of them has at most the credit of one request plus the corrections
// of its estimates, scaled by the remaining share.
func maxRankDeficit(slots int) float64 { return float64(slots+5) * maxCost }

// Guards against a rank that is starved by a flood of another rank.
func TestRanks_FloodLeavesMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		n := newReferenceScheduler(Config{Slots: slots})
		floods := []flood{
			{Urgent, "a", rapid.IntRange(0, 5).Draw(t, "urgent depth"), 1, maxCost, 1},
			{Standard, "a", rapid.IntRange(0, 5).Draw(t, "standard depth"), 1, maxCost, 1},
			{Batch, "a", rapid.IntRange(0, 5).Draw(t, "batch depth"), 1, maxCost, 1},
		}
		n.run(t, floods, 50, func() {})
		for i := range floods {
			floods[i].depth = max(floods[i].depth, rapid.IntRange(0, 1).Draw(t, "joins"))
		}
		n.refill(t, floods)
		start := n.ranks
		n.run(t, floods, 400, func() {
			total := 0
			for r := range n.ranks {
				total += n.ranks[r] - start[r]
			}
			for _, f := range floods {
				got := float64(n.ranks[f.rank] - start[f.rank])
				due := DefaultMinShares[f.rank] * float64(total)
				assert.Assert(t, f.depth == 0 || got >= due-maxRankDeficit(slots),
					"%s received %v of %v due, total %d", f.rank, got, due, total)
			}
		})
	})
}

// Guards against a slot that stays free although a queued request could use it. Only
// the urgent reserve may stay free, and only within the reserve window after an
// urgent request was queued or running.
func TestNext_OnlyReserveStaysFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: rapid.IntRange(1, 16).Draw(t, "slots"), UrgentReserve: rapid.IntRange(-1, 3).Draw(t, "reserve")}
		n := newReferenceScheduler(cfg)
		urgentAt := time.Time{}
		for range 200 {
			n.step(t)
			if n.ranksWaiting()[Urgent] {
				urgentAt = n.now
			}
			for _, r := range n.running {
				if r.Rank == Urgent {
					urgentAt = n.now
				}
			}
			for {
				if _, ok := n.next(t); !ok {
					break
				}
			}
			free := cfg.Slots - len(n.running)
			waiting := n.ranksWaiting()
			if free == 0 || len(n.queued) == 0 {
				continue
			}
			recent := !urgentAt.IsZero() && n.now.Sub(urgentAt) < DefaultReserveWindow
			assert.Assert(t, !waiting[Urgent], "urgent work waits with %d slots free", free)
			assert.Assert(t, recent && free <= cfg.reservedSlots(), "work waits with %d slots free", free)
		}
	})
}

func (n *referenceScheduler) ranksWaiting() (waiting [NumRanks]bool) {
	for _, r := range n.queued {
		waiting[r.Rank] = true
	}
	return waiting
}

// Guards against a rank with few requests whose credit becomes negative while it is
// idle and that is then delayed during a flood of another rank. Estimates are a
// hundred times the usage, the worst case for refunds. Requests finish in the order in
// which they started.
func TestRanks_FewRequestsNotStarvedByFlood(t *testing.T) {
	const slots, dispatches, period, longestWait = 4, 20_000, 200, 24
	for _, rank := range []Rank{Standard, Batch} {
		s := New(Config{Slots: slots})
		now := time.Unix(0, 0)
		var running []uint64
		waiting, longest, served := 0, 0, 0
		for id := range uint64(10) { // keeps the urgent rank backlogged throughout
			assert.NilError(t, s.Submit(now, Request{ID: 1_000_000 + id, Rank: Urgent, Organisation: "flood", Cost: 1000}))
		}
		for id := uint64(1); id <= dispatches; id++ {
			assert.NilError(t, s.Submit(now, Request{ID: 2 * id, Rank: Urgent, Organisation: "flood", Cost: 1000}))
			if id%period == 0 {
				assert.NilError(t, s.Submit(now, Request{ID: 2*id + 1, Rank: rank, Organisation: "small", Cost: 1000}))
				waiting = 0
			}
			r, ok := s.Next(now)
			assert.Assert(t, ok)
			waiting++
			if r.Rank == rank {
				served++
				longest = max(longest, waiting)
			}
			running = append(running, r.ID)
			if len(running) == slots {
				s.ReportUsage(running[0], 10)
				s.Finish(now, running[0])
				running = running[1:]
			}
		}
		assert.Assert(t, served >= dispatches/period-1)
		assert.Assert(t, longest <= longestWait, "%s waited for %d dispatches", rank, longest)
	}
}
