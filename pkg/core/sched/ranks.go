package sched

import "time"

// pickRank returns the rank whose request runs next: the most urgent rank
// with queued requests and a positive credit, that is, with less than its minimum
// share. If there is none, it is the most urgent rank with queued requests, which
// borrows the slot. It reports false if no queued request may take a slot.
func (s *Scheduler) pickRank(now time.Time) (Rank, bool) {
	borrower, found := Rank(0), false
	for r := Urgent; r < NumRanks; r++ {
		q := &s.ranks[r]
		if q.queued == 0 || !s.slotAvailable(r, now) {
			continue
		}
		if q.credit > 0 {
			return r, true
		}
		if !found {
			borrower, found = r, true
		}
	}
	return borrower, found
}

// takeUnclaimedSlot returns a rank whose promised slot is free, and marks that slot
// as taken. If such slots were assigned by credit alone, another rank with credit
// could take the slot and the rank that it was promised to would preempt again.
func (s *Scheduler) takeUnclaimedSlot() (Rank, bool) {
	for r := range s.unclaimedSlots {
		if s.ranks[r].queued == 0 {
			s.unclaimedSlots[r] = 0
		}
		if s.unclaimedSlots[r] > 0 && s.running < s.cfg.Slots {
			s.unclaimedSlots[r]--
			return Rank(r), true
		}
	}
	return 0, false
}

// slotAvailable reports whether a request of rank r may take a free slot now.
func (s *Scheduler) slotAvailable(r Rank, now time.Time) bool {
	free := s.cfg.Slots - s.running
	if r != Urgent && s.urgentRecently(now) {
		free -= s.unfilledReserve()
	}
	return free > 0
}

// unfilledReserve returns the number of slots to keep free for future urgent
// requests. Together with the running urgent requests these do not exceed the
// minimum share of the urgent rank, and slots that it can reclaim by preemption
// are not kept free.
func (s *Scheduler) unfilledReserve() int {
	minimum := int(s.cfg.MinShares[Urgent] * float64(s.cfg.Slots))
	reservedSlots := min(s.cfg.reservedSlots(), minimum-s.ranks[Urgent].running)
	if reservedSlots <= 0 {
		return 0
	}
	return max(reservedSlots-s.reclaimableSlots(Urgent), 0)
}

func (s *Scheduler) urgentRecently(now time.Time) bool {
	return !s.lastUrgent.IsZero() && now.Sub(s.lastUrgent) < s.cfg.ReserveWindow
}

func (s *Scheduler) recordUrgent(now time.Time) {
	q := &s.ranks[Urgent]
	if q.queued > 0 || q.running > 0 {
		s.lastUrgent = now
	}
}

// charge charges tokens to the flow of the item and, if chargedToCredit is set, to
// the credit of its rank. Each rank earns its minimum share of the tokens as credit.
// The credit of a rank with nothing queued rises to at most that of savedRequests
// requests.
func (s *Scheduler) charge(it *item, tokens int) {
	it.charged += tokens
	own := &s.ranks[it.req.Rank]
	own.advanceStartTag(it.flow, tokens)
	if it.chargedToCredit {
		own.credit -= float64(tokens)
	}
	for r := range s.ranks {
		q := &s.ranks[r]
		earnedCredit := q.minShare * float64(tokens)
		if q.queued == 0 {
			earnedCredit = min(earnedCredit, max(s.maxSavedCredit()-q.credit, 0))
		}
		q.credit += earnedCredit
		it.earnedCredit[r] += earnedCredit
	}
}

// savedRequests is the maximum credit of a rank with nothing queued, in requests of
// mean cost. Only a few requests of a rank are at one upstream at a time. If the
// rank earned nothing between them, it would get less than its minimum share of the
// fleet even though each upstream grants that share while requests are queued there.
const savedRequests = 4

func (s *Scheduler) maxSavedCredit() float64 { return savedRequests * s.rate.meanCost }

// refund reverses the charge for the unused tokens of an estimate, and the credit
// that each rank earned on them. It subtracts only what a rank actually earned, so
// that it takes back no credit that was never added because of the limit.
func (s *Scheduler) refund(it *item, tokens int) {
	own := &s.ranks[it.req.Rank]
	own.advanceStartTag(it.flow, -tokens)
	if it.chargedToCredit {
		own.credit += float64(tokens)
	}
	fraction := float64(tokens) / float64(it.charged)
	for r := range s.ranks {
		s.ranks[r].credit -= fraction * it.earnedCredit[r]
	}
	it.charged -= tokens
}
