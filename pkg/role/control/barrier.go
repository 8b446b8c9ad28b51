package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	// barrierTimeout is longer than an election, so that watchers stay through
	// a change of leader, and shorter than their grace period.
	barrierTimeout = 1500 * time.Millisecond
	// readIndexTimeout bounds one read index, whose answer may be lost.
	readIndexTimeout = 400 * time.Millisecond
	// barrierBatchDelay collects pings, so that one read index serves many.
	barrierBatchDelay   = 5 * time.Millisecond
	readIndexRetryDelay = 20 * time.Millisecond
)

// barrier joins all waiting reads into one read index. A read is only served by
// a read index that began after the read was submitted.
type barrier struct {
	node Node
	now  func() time.Time

	mu      sync.Mutex
	pending []func(error)
	urgent  chan struct{}
	lazy    chan struct{}
	last    atomic.Int64 // Unix nanoseconds of the start of the last success
	rounds  atomic.Uint64
}

func newReadBarrier(node Node, now func() time.Time) *barrier {
	return &barrier{node: node, now: now, urgent: make(chan struct{}, 1), lazy: make(chan struct{}, 1)}
}

// submit calls fn after a read index. fn must not block.
func (b *barrier) submit(fn func(error)) { b.add(fn, b.lazy) }

// wait returns after a read index, without waiting for others to join.
func (b *barrier) wait(ctx context.Context) error {
	done := make(chan error, 1)
	b.add(func(err error) { done <- err }, b.urgent)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "read was not confirmed by a quorum").WithOutcome(fault.NotRun)
	}
}

func (b *barrier) add(fn func(error), wake chan struct{}) {
	b.mu.Lock()
	b.pending = append(b.pending, fn)
	b.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run serves reads until ctx ends.
func (b *barrier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			b.finish(b.take(), fault.New(fault.Draining, "replica stops"))
			return
		case <-b.urgent:
		case <-b.lazy:
			b.linger(ctx)
		}
		if batch := b.take(); len(batch) > 0 {
			b.finish(batch, b.read(ctx))
		}
	}
}

func (b *barrier) linger(ctx context.Context) {
	t := time.NewTimer(barrierBatchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-b.urgent:
	case <-t.C:
	}
}

func (b *barrier) take() []func(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.pending
	b.pending = nil
	return batch
}

func (b *barrier) finish(batch []func(error), err error) {
	for _, fn := range batch {
		fn(err)
	}
}

// read repeats a read index until it succeeds or barrierTimeout has passed.
func (b *barrier) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	for {
		started := b.now()
		err := b.attempt(ctx)
		if err == nil {
			b.last.Store(started.UnixNano())
			return nil
		}
		if !delay.Wait(ctx, readIndexRetryDelay) {
			return fault.Wrap(err, fault.Unavailable, "replica is not current").
				WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
		}
	}
}

func (b *barrier) attempt(ctx context.Context) error {
	b.rounds.Add(1)
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	_, err := b.node.ReadIndex(ctx)
	return err
}

// confirmedWithin reports whether a read index succeeded within d.
func (b *barrier) confirmedWithin(d time.Duration) bool {
	last := b.last.Load()
	return last != 0 && b.now().Sub(time.Unix(0, last)) < d
}
