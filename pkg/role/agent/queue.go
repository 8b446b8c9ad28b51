package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// queueExpireInterval is the interval at which expired queued requests are
// refused. It is short compared with their deadlines.
const queueExpireInterval = 20 * time.Millisecond

// queue wraps the scheduler for goroutines that wait for a slot.
type queue struct {
	now func() time.Time

	mu              sync.Mutex
	sched           *sched.Scheduler
	waiters         map[uint64]*waiter
	preemptionsByID map[uint64]*preemption // of running preemptible requests
	nextID          uint64
}

// preemption cancels a running request. A preemption that arrives before the
// request has set cancel is remembered in requested.
type preemption struct {
	requested bool
	cancel    context.CancelCauseFunc
}

func (p *preemption) cancelRunning() {
	p.requested = true
	if p.cancel != nil {
		p.cancel(errPreempted())
	}
}

func errPreempted() *fault.Error {
	return fault.New(fault.Preempted, "slot was preempted by other work").WithOutcome(fault.MayHaveRun)
}

type waiter struct {
	waitEnded chan struct{} // closed when the slot is granted or refused
	err       error
}

// slot is the right to run one request on the upstream.
type slot struct {
	queue       *queue
	id          uint64
	releaseOnce sync.Once
	queuedFor   time.Duration
}

func newQueue(cfg sched.Config, now func() time.Time) *queue {
	return &queue{
		now:             now,
		sched:           sched.New(cfg),
		waiters:         make(map[uint64]*waiter),
		preemptionsByID: make(map[uint64]*preemption),
	}
}

// acquire waits for a slot. Its errors mean that the request did not run.
func (q *queue) acquire(ctx context.Context, r sched.Request) (*slot, error) {
	started := q.now()
	id, w, err := q.submit(r, true)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.waitEnded:
	case <-ctx.Done():
		if q.abandon(id) {
			return nil, cancelledWhileQueued(ctx)
		}
		<-w.waitEnded
	}
	if w.err != nil {
		return nil, w.err
	}
	s := &slot{queue: q, id: id, queuedFor: q.now().Sub(started)}
	if ctx.Err() != nil {
		s.release()
		return nil, cancelledWhileQueued(ctx)
	}
	return s, nil
}

// tryAcquire takes a slot only if one is free at once. It preempts nothing,
// because another upstream may have a free slot.
func (q *queue) tryAcquire(r sched.Request) (*slot, error) {
	id, w, err := q.submit(r, false)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.waitEnded:
	default:
		if q.abandon(id) {
			return nil, fault.New(fault.Overloaded, "no slot is free").WithOutcome(fault.NotRun).WithRetryAfter(busyRetryAfter)
		}
		<-w.waitEnded
	}
	if w.err != nil {
		return nil, w.err
	}
	return &slot{queue: q, id: id}, nil
}

// busyRetryAfter is about the time until a slot becomes free.
const busyRetryAfter = 100 * time.Millisecond

func cancelledWhileQueued(ctx context.Context) error {
	return fault.Wrap(context.Cause(ctx), fault.Cancelled, "cancelled while queued").WithOutcome(fault.NotRun)
}

func (q *queue) submit(r sched.Request, preempt bool) (uint64, *waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	r.ID = q.nextID
	if err := q.sched.Submit(q.now(), r); err != nil {
		return 0, nil, err
	}
	w := &waiter{waitEnded: make(chan struct{})}
	q.waiters[r.ID] = w
	q.grantSlots()
	if preempt {
		q.preempt()
	}
	return r.ID, w, nil
}

// preempt cancels running requests whose slots are due to queued ones. The
// caller holds the lock.
func (q *queue) preempt() {
	for {
		r, ok := q.sched.Preempt(q.now())
		if !ok {
			return
		}
		q.preemptionsByID[r.ID].cancelRunning()
	}
}

// grantSlots grants free slots to queued requests. The caller holds the lock.
func (q *queue) grantSlots() {
	for {
		r, ok := q.sched.Next(q.now())
		if !ok {
			return
		}
		if r.Preemptible {
			q.preemptionsByID[r.ID] = &preemption{}
		}
		q.finishWait(r.ID, nil)
	}
}

func (q *queue) finishWait(id uint64, err error) {
	w := q.waiters[id]
	delete(q.waiters, id)
	w.err = err
	close(w.waitEnded)
}

// abandon removes a queued request. It returns false when the request is no
// longer queued.
func (q *queue) abandon(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.sched.Cancel(id) {
		return false
	}
	delete(q.waiters, id)
	return true
}

// expire refuses the queued requests whose deadline has passed.
func (q *queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.sched.Expire(q.now()) {
		q.finishWait(r.ID, fault.New(fault.Deadline, "deadline passed while queued").WithOutcome(fault.NotRun))
	}
	q.grantSlots()
	q.preempt()
}

// run enforces queue deadlines until ctx ends.
func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(queueExpireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.expire()
		}
	}
}

func (q *queue) setSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.SetSlots(n)
	q.grantSlots()
}

func (q *queue) setShares(shares [sched.NumRanks]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.SetMinShares(shares)
}

func (q *queue) load() sched.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Load(q.now())
}

// remainingTimeout returns the timeout reduced by the time in the queue, at least
// 1 ms. Zero means no timeout.
func (s *slot) remainingTimeout(timeoutMs uint32) uint32 {
	if timeoutMs == 0 {
		return 0
	}
	used := uint32(min(s.queuedFor/time.Millisecond, time.Duration(timeoutMs-1)))
	return timeoutMs - used
}

// preemptibleContext returns a context that is cancelled when the slot is
// preempted. The caller calls stop once.
func (s *slot) preemptibleContext(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	if p := s.queue.preemptionsByID[s.id]; p != nil {
		p.cancel = cancel
		if p.requested {
			p.cancelRunning()
		}
	}
	return ctx, func() { cancel(nil) }
}

// reportUsage sets the number of tokens used so far.
func (s *slot) reportUsage(tokens int) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.sched.ReportUsage(s.id, tokens)
}

// release frees the slot. Later calls have no effect.
func (s *slot) release() {
	s.releaseOnce.Do(func() {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		s.queue.sched.Finish(s.queue.now(), s.id)
		delete(s.queue.preemptionsByID, s.id)
		s.queue.grantSlots()
		s.queue.preempt()
	})
}
