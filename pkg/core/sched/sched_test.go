package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const maxCost = 100 // tokens; upper limit of estimates and usage

// referenceScheduler drives a Scheduler and records the expected state in plain
// maps: the state of each request, and the tokens charged to each organisation and
// rank.
type referenceScheduler struct {
	s             *Scheduler
	slots         int
	now           time.Time
	nextID        uint64
	queued        map[uint64]Request
	running       map[uint64]Request
	used          map[uint64]int
	ended         map[uint64]bool
	acceptedCount int            // number of accepted requests
	served        map[string]int // tokens by rank and organisation
	ranks         [NumRanks]int  // tokens by rank

	preemptible bool // of all requests
	preempted   map[uint64]bool
	toResubmit  []Request // preempted requests to be submitted again
}

func newReferenceScheduler(cfg Config) *referenceScheduler {
	return &referenceScheduler{
		s:       New(cfg),
		slots:   cfg.Slots,
		now:     time.Unix(1000, 0),
		queued:  map[uint64]Request{},
		running: map[uint64]Request{},
		used:    map[uint64]int{},
		ended:   map[uint64]bool{},
		served:  map[string]int{},

		preempted: map[uint64]bool{},
	}
}

func flowName(r Rank, org string) string { return fmt.Sprint(r, "/", org) }

func (n *referenceScheduler) account(r Request, tokens int) {
	n.served[flowName(r.Rank, r.Organisation)] += tokens
	n.ranks[r.Rank] += tokens
}

func (n *referenceScheduler) submit(r Request) error {
	n.nextID++
	r.ID = n.nextID
	r.Preemptible = r.Preemptible || n.preemptible
	err := n.s.Submit(n.now, r)
	if err == nil {
		n.queued[r.ID] = r
		n.acceptedCount++
	}
	return err
}

func (n *referenceScheduler) next(t *rapid.T) (Request, bool) {
	r, ok := n.s.Next(n.now)
	n.expire(t)
	if !ok {
		return r, false
	}
	_, known := n.queued[r.ID]
	assert.Assert(t, known, "request %d started without being queued", r.ID)
	assert.Assert(t, r.Deadline.IsZero() || r.Deadline.After(n.now), "request %d started after its deadline", r.ID)
	delete(n.queued, r.ID)
	n.running[r.ID] = r
	n.account(r, r.Cost)
	assert.Assert(t, len(n.running) <= n.slots, "more requests running than slots")
	return r, true
}

func (n *referenceScheduler) charge(id uint64, tokens int) {
	r := n.running[id]
	n.s.ReportUsage(id, tokens)
	before := max(n.used[id], r.Cost)
	n.used[id] = max(n.used[id], tokens)
	n.account(r, max(n.used[id], r.Cost)-before)
}

func (n *referenceScheduler) finish(id uint64) {
	r := n.running[id]
	n.s.Finish(n.now, id)
	// A request without reported usage is charged its estimate, unless it was
	// preempted.
	if used := n.used[id]; used < r.Cost && (used > 0 || n.preempted[id]) {
		n.account(r, used-r.Cost)
	}
	delete(n.running, id)
	n.ended[id] = true
}

func (n *referenceScheduler) expire(t *rapid.T) {
	for _, r := range n.s.Expire(n.now) {
		_, known := n.queued[r.ID]
		assert.Assert(t, known, "request %d expired without being queued", r.ID)
		assert.Assert(t, !r.Deadline.After(n.now), "request %d expired before its deadline", r.ID)
		delete(n.queued, r.ID)
		n.ended[r.ID] = true
	}
	for _, r := range n.queued {
		assert.Assert(t, r.Deadline.IsZero() || r.Deadline.After(n.now), "request %d outlived its deadline", r.ID)
	}
}

// pick returns the lowest or the highest id in m, and false if m is empty.
func pick(t *rapid.T, m map[uint64]Request) (uint64, bool) {
	if len(m) == 0 {
		return 0, false
	}
	ids := slices.Sorted(maps.Keys(m))
	if rapid.Bool().Draw(t, "oldest") {
		return ids[0], true
	}
	return ids[len(ids)-1], true
}

// Guards against requests that are lost, started twice or started after their
// deadline, queues beyond their limits, refusals without Retry-After and wrong load
// figures, for random sequences of operations.
func TestScheduler_NoRequestIsLostOrDuplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:          rapid.IntRange(1, 6).Draw(t, "slots"),
			MaxQueued:      rapid.IntRange(1, 12).Draw(t, "max queued"),
			MaxQueuedBytes: rapid.Int64Range(1, 100).Draw(t, "max bytes"),
			UrgentReserve:  rapid.IntRange(-1, 2).Draw(t, "reserve"),
		}
		n := newReferenceScheduler(cfg)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			n.step(t)
			n.checkLoad(t, cfg)
		}
		n.drain(t)
	})
}

func (n *referenceScheduler) step(t *rapid.T) {
	switch rapid.IntRange(0, 10).Draw(t, "operation") {
	case 10:
		n.preemptAll(t)
		n.requeueAny(t)
	case 0, 1, 2, 3:
		n.submitAny(t)
	case 4, 5:
		n.next(t)
	case 6:
		if id, ok := pick(t, n.running); ok {
			n.charge(id, rapid.IntRange(0, maxCost).Draw(t, "tokens"))
		}
	case 7:
		if id, ok := pick(t, n.running); ok {
			n.finish(id)
		}
	case 8:
		n.cancelAny(t)
	case 9:
		n.now = n.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
		n.expire(t)
	}
}

func (n *referenceScheduler) submitAny(t *rapid.T) {
	r := Request{
		Rank:                  Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		Organisation:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
		Cost:                  rapid.IntRange(1, maxCost).Draw(t, "cost"),
		Bytes:                 rapid.Int64Range(0, 20).Draw(t, "bytes"),
		Weight:                float64(rapid.IntRange(1, 3).Draw(t, "weight")),
		Preemptible:           rapid.Bool().Draw(t, "preemptible"),
		MaxOrganisationQueued: rapid.IntRange(0, 5).Draw(t, "limit"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = n.now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "deadline")) * time.Millisecond)
	}
	err := n.submit(r)
	if err == nil {
		return
	}
	e := fault.As(err)
	assert.Equal(t, e.Outcome, fault.NotRun)
	assert.Assert(t, e.RetryAfter > 0, "refusal without Retry-After: %v", err)
	if e.Kind == fault.Deadline {
		assert.Assert(t, !r.Deadline.IsZero())
	}
}

// requeueAny finishes some of the preempted requests and submits them again, which
// may be refused.
func (n *referenceScheduler) requeueAny(t *rapid.T) {
	for _, v := range n.toResubmit {
		if _, running := n.running[v.ID]; running && rapid.Bool().Draw(t, "noticed") {
			n.finish(v.ID)
			v.Preemptions++
			_ = n.submit(v)
		}
	}
	n.toResubmit = n.toResubmit[:0]
}

func (n *referenceScheduler) cancelAny(t *rapid.T) {
	if id, ok := pick(t, n.running); ok && rapid.Bool().Draw(t, "cancel running") {
		assert.Assert(t, !n.s.Cancel(id), "a running request was reported as not run")
		return
	}
	if id, ok := pick(t, n.queued); ok {
		assert.Assert(t, n.s.Cancel(id))
		assert.Assert(t, !n.s.Cancel(id), "cancelled twice")
		delete(n.queued, id)
		n.ended[id] = true
	}
}

func (n *referenceScheduler) checkLoad(t *rapid.T, cfg Config) {
	l := n.s.Load(n.now)
	queued, tokens, bytes := 0, int64(0), int64(0)
	for _, r := range n.queued {
		queued++
		tokens += int64(r.Cost)
		bytes += r.Bytes
	}
	gotQueued, gotTokens := 0, int64(0)
	for _, r := range l.Ranks {
		gotQueued += r.Queued
		gotTokens += r.QueuedTokens
		assert.Assert(t, r.EstimatedWait >= 0)
	}
	assert.Equal(t, gotQueued, queued)
	assert.Equal(t, gotTokens, tokens)
	assert.Equal(t, l.Running, len(n.running))
	assert.Assert(t, queued <= cfg.MaxQueued)
	assert.Assert(t, bytes <= cfg.MaxQueuedBytes)
}

// drain runs all remaining requests and checks that none is lost and that no state
// of an organisation remains.
func (n *referenceScheduler) drain(t *rapid.T) {
	for len(n.queued)+len(n.running) > 0 {
		for {
			if _, ok := n.next(t); !ok {
				break
			}
		}
		id, ok := pick(t, n.running)
		if !ok {
			break // all remaining requests have expired
		}
		n.finish(id)
		n.now = n.now.Add(time.Millisecond)
	}
	assert.Equal(t, len(n.queued), 0, "queued requests never started")
	n.expire(t)
	assert.Equal(t, len(n.ended), n.acceptedCount)
	assert.Equal(t, len(n.s.items), 0)
	assert.Equal(t, len(n.s.queuedByOrganisation), 0)
	assert.Equal(t, len(n.s.active), 0)
	assert.Equal(t, n.s.promised, [NumRanks]int{})
	for r := range n.s.ranks {
		q := &n.s.ranks[r]
		assert.Equal(t, q.queuedBytes, int64(0))
		assert.Equal(t, q.weights, 0.0)
	}
}
