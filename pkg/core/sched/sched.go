// Package sched decides the admission and the order of the requests of one
// upstream. It performs no I/O and starts no goroutines; time is an argument. A
// Scheduler is not safe for concurrent use.
//
// The next request is selected in two levels. Between ranks, credits guarantee each
// rank its minimum share of the served tokens; the remaining capacity goes to the
// most urgent rank. Within a rank, start-time fair queueing divides tokens between
// organisations, so that an organisation gains nothing by sending more requests or
// opening more connections.
package sched

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Rank is the priority class of a request. Lower values are more urgent.
type Rank int

// Ranks, the most urgent first.
const (
	Urgent Rank = iota
	Standard
	Batch
	// NumRanks is the number of ranks.
	NumRanks = 3
)

// String returns the name of the rank that metrics and error messages use.
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

// Request is a request to be scheduled.
type Request struct {
	ID           uint64
	Rank         Rank
	Organisation string
	Weight       float64   // fair-share weight; a value that is not positive means 1
	Cost         int       // estimated prompt and generated tokens
	Bytes        int64     // memory used while queued
	Deadline     time.Time // latest start; zero means no deadline
	// MaxOrganisationQueued limits the queued requests of the organisation in all
	// ranks; zero means no limit.
	MaxOrganisationQueued int
	// Preemptible allows Preempt to select the request while it runs.
	Preemptible bool
	// Preemptions is the number of earlier preemptions of the request. If it is
	// not zero, the request goes to the front of the queue of its organisation.
	Preemptions int
	// OrganisationInProgress is the estimated number of requests of the
	// organisation in progress at all upstreams; zero means unknown.
	OrganisationInProgress int
}

// Scheduler holds the queued and running requests of one upstream.
type Scheduler struct {
	cfg                  Config
	items                map[uint64]*item
	queuedByOrganisation map[string]int // in all ranks
	ranks                [NumRanks]rankQueue
	deadlines            heap[*item]
	expired              []*item
	active               []*item       // running requests
	promised             [NumRanks]int // running requests that were preempted for each rank
	unclaimedSlots       [NumRanks]int // promised slots that are free and not yet taken
	freeItems            *item         // recycled items, linked by next

	queued      int
	queuedBytes int64
	running     int
	rate        rateMeter
	lastUrgent  time.Time // last time that an urgent request was queued or running
}

// New returns a scheduler without requests.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:                  cfg.withDefaults(),
		items:                make(map[uint64]*item),
		queuedByOrganisation: make(map[string]int),
		deadlines:            heap[*item]{less: earlierDeadline, setIndex: setDeadlineIndex},
	}
	for r := range s.ranks {
		s.ranks[r].init(s.cfg.MinShares[r])
	}
	return s
}

// Submit queues r or refuses it. A refusal is a *fault.Error with outcome NotRun.
func (s *Scheduler) Submit(now time.Time, r Request) error {
	if err := s.admit(now, &r); err != nil {
		return err
	}
	it := s.newItem(r)
	s.items[r.ID] = it
	s.queuedByOrganisation[r.Organisation]++
	s.queued++
	s.queuedBytes += r.Bytes
	s.ranks[r.Rank].push(it)
	if !r.Deadline.IsZero() {
		s.deadlines.push(it)
	}
	s.recordUrgent(now)
	return nil
}

// Next assigns a free slot to the next queued request and returns that request. It
// reports false if no slot is free or no queued request may take one.
func (s *Scheduler) Next(now time.Time) (Request, bool) {
	s.expireQueued(now)
	s.recordUrgent(now)
	rank, ok := s.takeUnclaimedSlot()
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
	it.chargedToCredit = q.credit > 0
	s.addActive(it)
	s.rate.accountUse(now, s.running)
	s.running++
	q.running++
	s.charge(it, it.req.Cost)
	return it.req, true
}

// ReportUsage sets the number of prompt and generated tokens that a running request
// has used so far. Usage above the estimate is charged at once; Finish refunds the
// unused part of the estimate. A total that is not above the previous one is
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

// Finish frees the slot of a running request. A request without reported usage is
// charged its estimate, unless it was preempted.
func (s *Scheduler) Finish(now time.Time, id uint64) {
	it := s.items[id]
	if it == nil || it.state != stateRunning {
		return
	}
	s.recordUrgent(now)
	s.rate.accountUse(now, s.running)
	if it.used == 0 && !it.preempted {
		it.used = it.req.Cost
		s.rate.add(it.used)
	}
	if it.used < it.charged {
		s.refund(it, it.charged-it.used)
	}
	if !it.preempted {
		s.rate.recordFinished(it.used)
	}
	s.running--
	s.removeActive(it)
	s.releasePromise(it)
	s.ranks[it.req.Rank].recordFinished(it)
	s.release(it)
}

// Cancel removes a queued request, and also one that expired and was not yet
// returned by Expire. It reports true if it removed the request, which then never
// ran. A running request must be ended by Finish.
func (s *Scheduler) Cancel(id uint64) bool {
	it := s.items[id]
	if it == nil || it.state == stateRunning {
		return false
	}
	if it.state == stateExpired {
		s.removeExpired(it)
	} else {
		s.ranks[it.req.Rank].remove(it)
		s.unqueue(it)
	}
	s.release(it)
	return true
}

// Expire removes and returns the queued requests whose deadline has passed. None of
// them has run.
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

// SetSlots changes the number of slots. Running requests keep their slots.
func (s *Scheduler) SetSlots(n int) { s.cfg.Slots = max(n, 0) }

// SetMinShares changes the minimum shares of the ranks. Negative shares count as
// zero, and a sum above 1 is scaled to 1.
func (s *Scheduler) SetMinShares(shares [NumRanks]float64) {
	s.cfg.MinShares = validShares(shares)
	for r := range s.ranks {
		s.ranks[r].minShare = s.cfg.MinShares[r]
	}
}

// expireQueued moves queued requests whose deadline has passed to the expired list,
// so that Next does not start them.
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

// unqueue removes an item that has left its flow from the counters and the deadlines
// of the scheduler.
func (s *Scheduler) unqueue(it *item) {
	s.queued--
	s.queuedBytes -= it.req.Bytes
	org := it.req.Organisation
	if s.queuedByOrganisation[org]--; s.queuedByOrganisation[org] == 0 {
		delete(s.queuedByOrganisation, org)
	}
	if it.deadlineIndex >= 0 {
		s.deadlines.remove(it.deadlineIndex)
	}
}

func (s *Scheduler) removeExpired(it *item) {
	for i, e := range s.expired {
		if e == it {
			s.expired = append(s.expired[:i], s.expired[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) newItem(r Request) *item {
	it := s.freeItems
	if it == nil {
		it = &item{}
	} else {
		s.freeItems = it.next
	}
	*it = item{req: r, deadlineIndex: -1}
	return it
}

func (s *Scheduler) release(it *item) {
	delete(s.items, it.req.ID)
	*it = item{next: s.freeItems}
	s.freeItems = it
}

func refuse(kind fault.Kind, retry time.Duration, format string, args ...any) error {
	return fault.New(kind, format, args...).
		WithOutcome(fault.NotRun).
		WithRetryAfter(retry)
}
