package sched

import "time"

// pickRank returns the rank whose request runs next. A rank with a positive
// credit is below its minimum share; the most urgent of these goes first. When
// no rank is below its minimum, the most urgent queued rank borrows the slot.
func (s *Scheduler) pickRank(now time.Time) (Rank, bool) {
	lent, found := Rank(0), false
	for r := Urgent; r < NumRanks; r++ {
		q := &s.ranks[r]
		if q.queued == 0 || !s.slotFor(r, now) {
			continue
		}
		if q.credit > 0 {
			return r, true
		}
		if !found {
			lent, found = r, true
		}
	}
	return lent, found
}

// dueRank returns the rank whose promised slot was freed. With the choice by
// credit alone, another rank that has some took the slot, and the one that
// preempted for it preempted again.
func (s *Scheduler) dueRank() (Rank, bool) {
	for r := range s.due {
		if s.ranks[r].queued == 0 {
			s.due[r] = 0
		}
		if s.due[r] > 0 && s.running < s.cfg.Slots {
			s.due[r]--
			return Rank(r), true
		}
	}
	return 0, false
}

// slotFor reports whether a request of rank r may take a slot now.
func (s *Scheduler) slotFor(r Rank, now time.Time) bool {
	free := s.cfg.Slots - s.running
	if r != Urgent && s.urgentRecently(now) {
		free -= s.openReserve()
	}
	return free > 0
}

// openReserve returns the slots kept free for urgent work that arrives next.
// Urgent work that already holds its minimum share of the slots gets no more,
// and a slot that it can take back need not be kept free.
func (s *Scheduler) openReserve() int {
	minimum := int(s.cfg.MinShares[Urgent] * float64(s.cfg.Slots))
	reserve := min(s.cfg.reserve(), minimum-s.ranks[Urgent].running)
	if reserve <= 0 {
		return 0
	}
	return max(reserve-s.reclaimable(Urgent), 0)
}

func (s *Scheduler) urgentRecently(now time.Time) bool {
	return !s.urgentSeen.IsZero() && now.Sub(s.urgentSeen) < s.cfg.ReserveWindow
}

func (s *Scheduler) noteUrgent(now time.Time) {
	q := &s.ranks[Urgent]
	if q.queued > 0 || q.running > 0 {
		s.urgentSeen = now
	}
}

// charge adds tokens to what the flow and the rank of it have received. Every
// rank earns its share of them. A rank with nothing queued earns what it owes
// and saves at most savedRequests on top. Tokens of a request that ran on lent
// share are not held against its rank.
func (s *Scheduler) charge(it *item, tokens int) {
	it.charged += tokens
	own := &s.ranks[it.req.Rank]
	own.advance(it.flow, tokens)
	if it.entitled {
		own.credit -= float64(tokens)
	}
	for r := range s.ranks {
		q := &s.ranks[r]
		earned := q.share * float64(tokens)
		if q.queued == 0 {
			earned = min(earned, max(s.saving()-q.credit, 0))
		}
		q.credit += earned
		it.earned[r] += earned
	}
}

// savedRequests is the credit that an idle rank may save, in requests of mean
// cost. Of the requests of a rank only a few are at one upstream at a time; if
// the rank earned nothing between them, it would lose its minimum over the
// fleet although every upstream kept it for what was queued there.
const savedRequests = 4

func (s *Scheduler) saving() float64 { return savedRequests * s.rate.meanCost }

// refund takes back the unused part of the estimate, and from each rank what
// it earned on that part. A rank that earned nothing must not fall into debt.
func (s *Scheduler) refund(it *item, tokens int) {
	own := &s.ranks[it.req.Rank]
	own.advance(it.flow, -tokens)
	if it.entitled {
		own.credit += float64(tokens)
	}
	part := float64(tokens) / float64(it.charged)
	for r := range s.ranks {
		s.ranks[r].credit -= part * it.earned[r]
	}
	it.charged -= tokens
}
