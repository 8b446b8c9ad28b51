package sched

import "time"

// MaxPreemptions is the maximum number of preemptions of one request. It bounds
// repeated work and the delay of a request that others overtake.
const MaxPreemptions = 4

// preemptionTime is the approximate time until a preempted request frees its slot.
const preemptionTime = 5 * time.Millisecond

// Preempt returns a running request that must give up its slot to a queued one.
// The request counts as running until Finish. Preempt reports false if a slot is
// free, if every queued request has been promised a slot, or if no running request
// may be preempted for the queued ones.
func (s *Scheduler) Preempt(now time.Time) (Request, bool) {
	s.expireQueued(now)
	if s.running < s.cfg.Slots {
		return Request{}, false
	}
	for r := Urgent; r < NumRanks; r++ {
		if s.ranks[r].queued <= s.promised[r] {
			continue
		}
		victim := s.lessUrgentVictim(r)
		var receiver *flow
		if victim == nil {
			victim, receiver = s.fairShareVictim(r)
		}
		if victim != nil {
			s.preempt(victim, r, receiver)
			return victim.req, true
		}
	}
	return Request{}, false
}

// preempt promises the slot of victim to rank r and, if receiver is not nil, to that
// flow of the rank.
func (s *Scheduler) preempt(victim *item, r Rank, receiver *flow) {
	victim.preempted = true
	victim.promisedRank = r
	victim.promisedFlow = receiver
	s.promised[r]++
	victim.flow.preemptedRunning++
	if receiver != nil {
		receiver.promised++
	}
}

// releasePromise makes the slot of a finished preempted request available to the
// rank and flow that it was promised to.
func (s *Scheduler) releasePromise(it *item) {
	if !it.preempted {
		return
	}
	s.promised[it.promisedRank]--
	s.unclaimedSlots[it.promisedRank]++
	it.flow.preemptedRunning--
	if f := it.promisedFlow; f != nil {
		f.promised--
		q := &s.ranks[it.promisedRank]
		q.unclaimedFlows = append(q.unclaimedFlows, f)
	}
}

// lessUrgentVictim returns the request of a less urgent rank to preempt for rank r,
// or nil.
func (s *Scheduler) lessUrgentVictim(r Rank) *item {
	return s.cheapestVictim(func(it *item) bool { return s.mustYield(it, r) })
}

// cheapestVictim returns the running request accepted by match whose preemption is
// the cheapest, or nil.
func (s *Scheduler) cheapestVictim(match func(*item) bool) *item {
	var victim *item
	for _, it := range s.active {
		if match(it) && (victim == nil || cheaperToPreempt(it, victim)) {
			victim = it
		}
	}
	return victim
}

// mustYield reports whether a request of rank r may preempt the item. An item that is
// not charged to the credit of its rank yields to every more urgent rank; one that is
// charged yields only to urgent requests, under the conditions of urgentMayReclaim.
// Its rank is then refunded the unused credit and so keeps its minimum share.
func (s *Scheduler) mustYield(it *item, r Rank) bool {
	return it.req.Rank > r && it.preemptible() && (!it.chargedToCredit || r == Urgent && s.urgentMayReclaim(it))
}

// urgentMayReclaim reports whether the urgent rank has enough credit for a whole
// request and holds less than its minimum share of the slots. A smaller credit is
// not enough: during a flood the urgent rank earns some with every few tokens and
// would preempt the few requests of the other ranks each time. Credit earned on
// the unused part of the victim's estimate is excluded, because Finish takes it
// back.
func (s *Scheduler) urgentMayReclaim(victim *item) bool {
	q := &s.ranks[Urgent]
	cost := s.rate.meanCost
	if q.queued > 0 {
		cost = float64(q.backlogged.top().head.req.Cost)
	}
	unused := float64(max(victim.charged-victim.used, 0)) / float64(max(victim.charged, 1))
	credit := q.credit - unused*victim.earnedCredit[Urgent]
	return credit >= cost && float64(q.running+s.promised[Urgent]) < q.minShare*float64(s.cfg.Slots)
}

// fairShareVictim returns a request of rank r to preempt for another organisation
// of the rank that holds less, and the flow of that organisation. The candidates
// for the slot are the next flow of the rank and the smallest waiting flow.
func (s *Scheduler) fairShareVictim(r Rank) (*item, *flow) {
	q := &s.ranks[r]
	for _, receiver := range []*flow{q.backlogged.top(), q.smallestFlow()} {
		if victim := s.victimFor(receiver, r); victim != nil {
			return victim, receiver
		}
	}
	return nil, nil
}

// smallestFlow returns the waiting flow with the fewest requests in progress in the
// fleet relative to its weight, or nil if that number is unknown for all flows.
func (q *rankQueue) smallestFlow() *flow {
	var small *flow
	for _, f := range q.backlogged.items {
		if f.inProgress > 0 && (small == nil || f.weightedInProgress() < small.weightedInProgress()) {
			small = f
		}
	}
	return small
}

func (f *flow) weightedInProgress() float64 { return float64(f.inProgress) / f.weight }

func (s *Scheduler) victimFor(receiver *flow, r Rank) *item {
	if receiver == nil || receiver.queued <= receiver.promised {
		return nil
	}
	return s.cheapestVictim(func(it *item) bool {
		return it.req.Rank == r && it.preemptible() && it.flow.mustYieldTo(receiver)
	})
}

// smallOrganisationRatio is the largest ratio of the weighted requests in progress
// of two organisations, over all upstreams, at which the first counts as small
// compared with the second.
const smallOrganisationRatio = 0.25

// mustYieldTo reports whether f must give up a slot to receiver: if receiver is small
// compared with f over all upstreams, or if f would still hold at least as many
// slots here relative to its weight after one slot moved to receiver. The second
// case requires that the start tag of receiver is not above that of f; otherwise a
// flow that has already received more than its fair share here could preempt.
func (f *flow) mustYieldTo(receiver *flow) bool {
	if f == receiver {
		return false
	}
	if receiver.inProgress > 0 && receiver.weightedInProgress() <= smallOrganisationRatio*f.weightedInProgress() {
		return true
	}
	if f.virtualTime < receiver.virtualTime {
		return false
	}
	after := float64(f.running-f.preemptedRunning-1) / f.weight
	return after >= float64(receiver.running-receiver.preemptedRunning+receiver.promised+1)/receiver.weight
}

func (it *item) preemptible() bool {
	return it.req.Preemptible && it.req.Preemptions < MaxPreemptions && !it.preempted
}

// cheaperToPreempt reports whether a is preferred over b as a victim: the less
// urgent rank, then fewer earlier preemptions, then fewer tokens to replay.
func cheaperToPreempt(a, b *item) bool {
	if a.req.Rank != b.req.Rank {
		return a.req.Rank > b.req.Rank
	}
	if a.req.Preemptions != b.req.Preemptions {
		return a.req.Preemptions < b.req.Preemptions
	}
	return a.used < b.used
}

// reclaimableSlots returns the number of running requests that rank r may preempt
// in less urgent ranks.
func (s *Scheduler) reclaimableSlots(r Rank) int {
	count := 0
	for _, it := range s.active {
		if s.mustYield(it, r) {
			count++
		}
	}
	return count
}

func (s *Scheduler) addActive(it *item) {
	it.activeIndex = len(s.active)
	s.active = append(s.active, it)
}

func (s *Scheduler) removeActive(it *item) {
	last := len(s.active) - 1
	s.active[it.activeIndex] = s.active[last]
	s.active[it.activeIndex].activeIndex = it.activeIndex
	s.active[last] = nil
	s.active = s.active[:last]
}
