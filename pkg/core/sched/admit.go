package sched

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Bounds of the Retry-After of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// rankQueueReserve is the fraction of a rank's share of the queue that other ranks
// leave free, so that a flood of one rank does not block the others.
const rankQueueReserve = 0.5

// organisationRoomFactor limits the queued requests of one organisation to this
// multiple of the room left for its rank. With 4, a single organisation fills up
// to four fifths of the room and the rest stays available to others.
const organisationRoomFactor = 4

// waitMargin multiplies the tokens queued ahead when the estimated wait is
// compared with a deadline: the estimate is a mean, and requests of other
// organisations may overtake. At twice the capacity, 30% of the admitted requests
// expired in the queue without it and 13% with a margin of 2, with no idle slot.
const waitMargin = 2.0

// admit sets missing fields of r to their defaults and returns the reason to
// refuse it, if any.
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
	if limit := r.MaxOrganisationQueued; limit > 0 && s.queuedByOrganisation[r.Organisation] >= limit {
		return refuse(fault.RateLimited, s.retryAfter(), "organisation has %d requests queued", limit)
	}
	if err := s.checkQueueLimits(r); err != nil {
		return err
	}
	return s.checkDeadline(now, r)
}

// checkQueueLimits refuses a request that exceeds the queue's limits on requests or
// bytes, or the room of its rank or organisation.
func (s *Scheduler) checkQueueLimits(r *Request) error {
	room := s.cfg.MaxQueued - s.queued
	bytes := s.cfg.MaxQueuedBytes - s.queuedBytes
	for o := range s.ranks {
		if Rank(o) == r.Rank {
			continue
		}
		q := &s.ranks[o]
		reserved := rankQueueReserve * q.minShare
		room -= max(int(reserved*float64(s.cfg.MaxQueued))-q.queued, 0)
		bytes -= max(int64(reserved*float64(s.cfg.MaxQueuedBytes))-q.queuedBytes, 0)
	}
	if room <= 0 {
		return refuse(fault.Overloaded, s.retryAfter(), "queue of rank %s is full", r.Rank)
	}
	if r.Bytes > bytes {
		return refuse(fault.Overloaded, s.retryAfter(), "queue of rank %s is out of memory", r.Rank)
	}
	f := s.ranks[r.Rank].flows[r.Organisation]
	if f != nil && f.queued >= organisationRoomFactor*room {
		return refuse(fault.Overloaded, s.retryAfter(), "queue room of the organisation is used up")
	}
	return nil
}

// checkDeadline refuses a request that would start after its deadline.
func (s *Scheduler) checkDeadline(now time.Time, r *Request) error {
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(now)
	estimatedWait := s.estimatedWait(now, r, waitMargin)
	if left > 0 && estimatedWait <= left {
		return nil
	}
	retry := clampRetry(estimatedWait - max(left, 0))
	return refuse(fault.Deadline, retry, "estimated wait %v exceeds the remaining %v",
		estimatedWait.Round(time.Millisecond), left.Round(time.Millisecond))
}

// retryAfter estimates the time in which one more request is served.
func (s *Scheduler) retryAfter() time.Duration {
	return clampRetry(s.rate.serviceTime(s.meanQueuedCost(), s.cfg.Slots))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
