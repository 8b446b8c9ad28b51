// Package sched decides the admission and the order of the requests of one
// upstream. It is pure: time is an argument, and nothing is started or read.
// A Scheduler is not safe for concurrent use.
//
// Two levels choose the next request. Between ranks, a credit for each rank
// guarantees its minimum share of the served tokens and lends the rest to the
// most urgent rank. Within a rank, start-time fair queueing in tokens between
// organisations makes the number of requests or connections irrelevant.
package sched

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Rank is the priority of a request. Lower values are served first.
type Rank int

// Ranks in order of urgency.
const (
	Urgent Rank = iota
	Standard
	Batch
	// NumRanks is the number of ranks.
	NumRanks = 3
)

// String returns the public name of the rank.
func (r Rank) String() string {
	switch r {
	case Urgent:
		return "urgent"
	case Standard:
		return "standard"
	case Batch:
		return "batch"
	}
	return "invalid"
}

// Request is one unit of work.
type Request struct {
	ID           uint64
	Rank         Rank
	Organisation string
	Weight       float64   // fair-share weight; values that are not positive count as 1
	Cost         int       // estimated tokens: prompt plus generated
	Bytes        int64     // memory held while queued
	Deadline     time.Time // latest start; zero means none
	// MaxOrganisationQueued bounds the queued requests of the organisation in
	// all ranks; zero means no bound.
	MaxOrganisationQueued int
	// Preemptible allows Preempt to end the request while it runs.
	Preemptible bool
	// Preemptions is how often the request was preempted before. A request that
	// was goes to the front of the queue of its organisation.
	Preemptions int
	// OrganisationInProgress estimates the requests of the organisation in progress over all
	// upstreams; zero means unknown.
	OrganisationInProgress int
}

// Scheduler holds the queued and running requests of one upstream.
type Scheduler struct {
	cfg       Config
	items     map[uint64]*item
	orgs      map[string]int // queued requests of each organisation, all ranks
	ranks     [NumRanks]rankQueue
	deadlines heap[*item]
	expired   []*item
	active    []*item       // running requests
	promised  [NumRanks]int // running requests preempted for each rank
	due       [NumRanks]int // promised slots that were freed and not yet taken
	free      *item         // recycled items

	queued      int
	queuedBytes int64
	running     int
	rate        rateMeter
	urgentSeen  time.Time // last time urgent work was queued or running
}

// New returns an empty scheduler.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:       cfg.withDefaults(),
		items:     make(map[uint64]*item),
		orgs:      make(map[string]int),
		deadlines: heap[*item]{less: earlierDeadline, place: placeDeadline},
	}
	for r := range s.ranks {
		s.ranks[r].init(s.cfg.MinShares[r])
	}
	return s
}

// Submit queues r. A refusal is a *fault.Error with outcome NotRun.
func (s *Scheduler) Submit(now time.Time, r Request) error {
	if err := s.admit(now, &r); err != nil {
		return err
	}
	it := s.newItem(r)
	s.items[r.ID] = it
	s.orgs[r.Organisation]++
	s.queued++
	s.queuedBytes += r.Bytes
	s.ranks[r.Rank].push(it)
	if !r.Deadline.IsZero() {
		s.deadlines.push(it)
	}
	s.noteUrgent(now)
	return nil
}

// Next takes a free slot for the request that is to run next. It reports false
// when no slot is free or no queued request may take one.
func (s *Scheduler) Next(now time.Time) (Request, bool) {
	s.expireQueued(now)
	s.noteUrgent(now)
	rank, ok := s.dueRank()
	if !ok {
		rank, ok = s.pickRank(now)
	}
	if !ok {
		return Request{}, false
	}
	q := &s.ranks[rank]
	it := q.pop()
	s.unqueue(it)
	it.state = stateRunning
	it.entitled = q.credit > 0
	s.activate(it)
	s.rate.advance(now, s.running)
	s.running++
	q.running++
	s.charge(it, it.req.Cost)
	return it.req, true
}

// ReportUsage sets the tokens that a running request has used so far, prompt plus
// generated. Usage above the estimate is charged at once; an unused part of
// the estimate is given back by Finish. A total below an earlier one is
// ignored.
func (s *Scheduler) ReportUsage(id uint64, tokens int) {
	it := s.items[id]
	if it == nil || it.state != stateRunning || tokens <= it.used {
		return
	}
	s.rate.add(tokens - it.used)
	it.used = tokens
	if tokens > it.charged {
		s.charge(it, tokens-it.charged)
	}
}

// Finish frees the slot of a running request. A request that was never charged
// counts with its estimate, unless it was preempted.
func (s *Scheduler) Finish(now time.Time, id uint64) {
	it := s.items[id]
	if it == nil || it.state != stateRunning {
		return
	}
	s.noteUrgent(now)
	s.rate.advance(now, s.running)
	if it.used == 0 && !it.preempted {
		it.used = it.req.Cost
		s.rate.add(it.used)
	}
	if it.used < it.charged {
		s.refund(it, it.charged-it.used)
	}
	if !it.preempted {
		s.rate.finished(it.used)
	}
	s.running--
	s.deactivate(it)
	s.settlePromise(it)
	s.ranks[it.req.Rank].finished(it)
	s.release(it)
}

// Cancel removes a queued request. It reports true when the request was queued
// and therefore never ran; the caller ends a running request by Finish.
func (s *Scheduler) Cancel(id uint64) bool {
	it := s.items[id]
	if it == nil || it.state == stateRunning {
		return false
	}
	if it.state == stateExpired {
		s.forgetExpired(it)
	} else {
		s.ranks[it.req.Rank].remove(it)
		s.unqueue(it)
	}
	s.release(it)
	return true
}

// Expire removes and returns the queued requests whose deadline has passed.
// None of them ran.
func (s *Scheduler) Expire(now time.Time) []Request {
	s.expireQueued(now)
	if len(s.expired) == 0 {
		return nil
	}
	out := make([]Request, 0, len(s.expired))
	for _, it := range s.expired {
		out = append(out, it.req)
		s.release(it)
	}
	s.expired = s.expired[:0]
	return out
}

// SetSlots changes the number of slots. Running requests keep theirs.
func (s *Scheduler) SetSlots(n int) { s.cfg.Slots = max(n, 0) }

// SetMinShares changes the minimum shares of the ranks.
func (s *Scheduler) SetMinShares(shares [NumRanks]float64) {
	s.cfg.MinShares = validShares(shares)
	for r := range s.ranks {
		s.ranks[r].share = s.cfg.MinShares[r]
	}
}

// expireQueued moves queued requests whose deadline has passed to the expired
// list, so that Next never starts one of them.
func (s *Scheduler) expireQueued(now time.Time) {
	for s.deadlines.len() > 0 {
		it := s.deadlines.top()
		if it.req.Deadline.After(now) {
			return
		}
		s.ranks[it.req.Rank].remove(it)
		s.unqueue(it)
		it.state = stateExpired
		s.expired = append(s.expired, it)
	}
}

// unqueue takes an item that left its flow out of the shared counters.
func (s *Scheduler) unqueue(it *item) {
	s.queued--
	s.queuedBytes -= it.req.Bytes
	org := it.req.Organisation
	if s.orgs[org]--; s.orgs[org] == 0 {
		delete(s.orgs, org)
	}
	if it.deadlineIndex >= 0 {
		s.deadlines.remove(it.deadlineIndex)
	}
}

func (s *Scheduler) forgetExpired(it *item) {
	for i, e := range s.expired {
		if e == it {
			s.expired = append(s.expired[:i], s.expired[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) newItem(r Request) *item {
	it := s.free
	if it == nil {
		it = &item{}
	} else {
		s.free = it.next
	}
	*it = item{req: r, deadlineIndex: -1}
	return it
}

func (s *Scheduler) release(it *item) {
	delete(s.items, it.req.ID)
	*it = item{next: s.free}
	s.free = it
}

func refuse(kind fault.Kind, retry time.Duration, format string, args ...any) error {
	return fault.New(kind, format, args...).
		WithOutcome(fault.NotRun).
		WithRetryAfter(retry)
}
