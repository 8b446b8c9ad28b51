package sched

import "time"

// MaxPreemptions is how often one request may lose its slot. It bounds the work
// that is done twice and the delay of a request that others keep overtaking.
const MaxPreemptions = 4

// preemptionTime is about the time in which a preempted request frees its slot.
const preemptionTime = 5 * time.Millisecond

// Preempt returns a running request that must give up its slot to a queued one.
// It stays running until Finish. It reports false when a slot is free, when
// every queued request that may preempt has been promised a slot, or when
// nothing that runs may be preempted for it.
func (s *Scheduler) Preempt(now time.Time) (Request, bool) {
	s.expireQueued(now)
	if s.running < s.cfg.Slots {
		return Request{}, false
	}
	for r := Urgent; r < NumRanks; r++ {
		if s.ranks[r].queued <= s.promised[r] {
			continue
		}
		victim := s.lowerVictim(r)
		var to *flow
		if victim == nil {
			victim, to = s.unfairVictim(r)
		}
		if victim != nil {
			s.preempt(victim, r, to)
			return victim.req, true
		}
	}
	return Request{}, false
}

// preempt promises the slot of victim to rank r, and to the flow to if the two
// are of the same rank.
func (s *Scheduler) preempt(victim *item, r Rank, to *flow) {
	victim.preempted = true
	victim.promisedRank = r
	victim.promisedFlow = to
	s.promised[r]++
	victim.flow.leaving++
	if to != nil {
		to.promised++
	}
}

// settlePromise ends the promise of a preempted request that has finished.
func (s *Scheduler) settlePromise(it *item) {
	if !it.preempted {
		return
	}
	s.promised[it.promisedRank]--
	s.due[it.promisedRank]++
	it.flow.leaving--
	if f := it.promisedFlow; f != nil {
		f.promised--
		q := &s.ranks[it.promisedRank]
		q.due = append(q.due, f)
	}
}

// lowerVictim returns the request of a less urgent rank whose slot rank r takes.
func (s *Scheduler) lowerVictim(r Rank) *item {
	return s.cheapest(func(it *item) bool { return s.yields(it, r) })
}

// cheapest returns the running request that match accepts and whose preemption
// disturbs least, or nil.
func (s *Scheduler) cheapest(match func(*item) bool) *item {
	var victim *item
	for _, it := range s.active {
		if match(it) && (victim == nil || cheaper(it, victim)) {
			victim = it
		}
	}
	return victim
}

// yields reports whether it must give way to rank r: on lent share always, and
// otherwise only to urgent work that is owed a request. The rank of it then gets
// the unused part of its credit back, and so keeps its own minimum.
func (s *Scheduler) yields(it *item, r Rank) bool {
	return it.req.Rank > r && it.preemptible() && (!it.entitled || r == Urgent && s.urgentOwed(it))
}

// urgentOwed reports whether urgent work has saved the credit of a whole request
// and holds less than its share of the slots. Any credit is not enough: in a
// flood urgent work has some again after every few tokens, and would end the few
// requests of the other ranks each time. What it earned on the unused part of
// the victim's estimate does not count, since Finish takes it back.
func (s *Scheduler) urgentOwed(victim *item) bool {
	q := &s.ranks[Urgent]
	cost := s.rate.meanCost
	if q.queued > 0 {
		cost = float64(q.backlogged.top().head.req.Cost)
	}
	unused := float64(max(victim.charged-victim.used, 0)) / float64(max(victim.charged, 1))
	credit := q.credit - unused*victim.earned[Urgent]
	return credit >= cost && float64(q.running+s.promised[Urgent]) < q.share*float64(s.cfg.Slots)
}

// unfairVictim returns a request of rank r whose organisation holds more than
// another one, which receives the slot: the next organisation of the rank, or
// the smallest of those that wait.
func (s *Scheduler) unfairVictim(r Rank) (*item, *flow) {
	q := &s.ranks[r]
	for _, to := range []*flow{q.backlogged.top(), q.smallest()} {
		if victim := s.victimFor(to, r); victim != nil {
			return victim, to
		}
	}
	return nil, nil
}

// smallest returns the waiting flow with the fewest requests in progress for its
// weight over all upstreams, or nil if none is known.
func (q *rankQueue) smallest() *flow {
	var small *flow
	for _, f := range q.backlogged.items {
		if f.inProgress > 0 && (small == nil || f.fleetLoad() < small.fleetLoad()) {
			small = f
		}
	}
	return small
}

func (f *flow) fleetLoad() float64 { return float64(f.inProgress) / f.weight }

func (s *Scheduler) victimFor(to *flow, r Rank) *item {
	if to == nil || to.queued <= to.promised {
		return nil
	}
	return s.cheapest(func(it *item) bool {
		return it.req.Rank == r && it.preemptible() && it.flow.exceeds(to)
	})
}

// smallPart is the part of another organisation's requests in progress, over
// all upstreams, up to which an organisation counts as small beside it.
const smallPart = 0.25

// exceeds reports whether f holds more than to: to is small beside it over all
// upstreams, or f still holds at least as many slots here for its weight after
// one has moved to to. Without the comparison of the start tags, a flow that has
// already received more than its share here would preempt as well.
func (f *flow) exceeds(to *flow) bool {
	if f == to {
		return false
	}
	if to.inProgress > 0 && to.fleetLoad() <= smallPart*f.fleetLoad() {
		return true
	}
	if f.virtual < to.virtual {
		return false
	}
	after := float64(f.running-f.leaving-1) / f.weight
	return after >= float64(to.running-to.leaving+to.promised+1)/to.weight
}

func (it *item) preemptible() bool {
	return it.req.Preemptible && it.req.Preemptions < MaxPreemptions && !it.preempted
}

// cheaper reports whether the preemption of a disturbs less than that of b: the
// less urgent rank, the one preempted less often, then the shorter replay.
func cheaper(a, b *item) bool {
	if a.req.Rank != b.req.Rank {
		return a.req.Rank > b.req.Rank
	}
	if a.req.Preemptions != b.req.Preemptions {
		return a.req.Preemptions < b.req.Preemptions
	}
	return a.used < b.used
}

// reclaimable counts the slots of less urgent ranks that rank r could take now.
func (s *Scheduler) reclaimable(r Rank) int {
	count := 0
	for _, it := range s.active {
		if s.yields(it, r) {
			count++
		}
	}
	return count
}

// activate adds it to the running requests.
func (s *Scheduler) activate(it *item) {
	it.activeIndex = len(s.active)
	s.active = append(s.active, it)
}

func (s *Scheduler) deactivate(it *item) {
	last := len(s.active) - 1
	s.active[it.activeIndex] = s.active[last]
	s.active[it.activeIndex].activeIndex = it.activeIndex
	s.active[last] = nil
	s.active = s.active[:last]
}
