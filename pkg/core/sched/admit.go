package sched

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Limits of the Retry-After of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// queueReserve is the part of a rank's share of the queue that other ranks
// leave free, so that a flood of one rank cannot shut out the others.
const queueReserve = 0.5

// organisationRoom limits the queued requests of one organisation to this
// multiple of the room that is left for its rank. A single organisation can
// use four fifths of the room; the rest stays open to small callers.
const organisationRoom = 4

// waitMargin multiplies the tokens queued ahead before the wait is compared
// with a deadline: the estimate is a mean, and requests of other organisations
// may overtake. Without it 30% of the requests admitted in a twofold overload
// expired in the queue; with 2 it is 13%, and no slot stays free.
const waitMargin = 2.0

// admit normalises r and returns the reason to refuse it, if any.
func (s *Scheduler) admit(now time.Time, r *Request) error {
	if r.Rank < Urgent || r.Rank >= NumRanks {
		return refuse(fault.Invalid, 0, "rank %d does not exist", r.Rank)
	}
	if _, ok := s.items[r.ID]; ok {
		return refuse(fault.Conflict, 0, "request id %d is in use", r.ID)
	}
	if !(r.Weight > 0) {
		r.Weight = 1
	}
	r.Cost = max(r.Cost, 1)
	r.Bytes = max(r.Bytes, 0)
	if limit := r.MaxOrganisationQueued; limit > 0 && s.orgs[r.Organisation] >= limit {
		return refuse(fault.RateLimited, s.retryAfter(), "organisation has %d requests queued", limit)
	}
	if err := s.admitRoom(r); err != nil {
		return err
	}
	return s.admitDeadline(now, r)
}

// admitRoom checks the bounds of the queue.
func (s *Scheduler) admitRoom(r *Request) error {
	room := s.cfg.MaxQueued - s.queued
	bytes := s.cfg.MaxQueuedBytes - s.queuedBytes
	for o := range s.ranks {
		if Rank(o) == r.Rank {
			continue
		}
		q := &s.ranks[o]
		keep := queueReserve * q.share
		room -= max(int(keep*float64(s.cfg.MaxQueued))-q.queued, 0)
		bytes -= max(int64(keep*float64(s.cfg.MaxQueuedBytes))-q.queuedBytes, 0)
	}
	if room <= 0 {
		return refuse(fault.Overloaded, s.retryAfter(), "queue of rank %s is full", r.Rank)
	}
	if r.Bytes > bytes {
		return refuse(fault.Overloaded, s.retryAfter(), "queue of rank %s is out of memory", r.Rank)
	}
	f := s.ranks[r.Rank].flows[r.Organisation]
	if f != nil && f.queued >= organisationRoom*room {
		return refuse(fault.Overloaded, s.retryAfter(), "queue room of the organisation is used up")
	}
	return nil
}

// admitDeadline refuses a request that would start too late.
func (s *Scheduler) admitDeadline(now time.Time, r *Request) error {
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(now)
	wait := s.wait(now, r, waitMargin)
	if left > 0 && wait <= left {
		return nil
	}
	retry := clampRetry(wait - max(left, 0))
	return refuse(fault.Deadline, retry, "estimated wait %v exceeds the remaining %v",
		wait.Round(time.Millisecond), left.Round(time.Millisecond))
}

// retryAfter is the estimated time until one more request has been served.
func (s *Scheduler) retryAfter() time.Duration {
	return clampRetry(s.rate.duration(s.meanQueuedCost(), s.cfg.Slots))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
