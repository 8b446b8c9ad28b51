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
	// barrierTimeout is longer than an election, so that watches survive a
	// change of leader, and shorter than the grace period in which watchers
	// accept unconfirmed configuration.
	barrierTimeout = 1500 * time.Millisecond
	// readIndexTimeout bounds one read-index round, whose reply may be lost.
	readIndexTimeout = 400 * time.Millisecond
	// barrierBatchDelay is how long pings are collected, so that one
	// read-index round serves many of them.
	barrierBatchDelay   = 5 * time.Millisecond
	readIndexRetryDelay = 20 * time.Millisecond
)

// readBarrier confirms linearizable reads with the Raft read index and batches
// pending reads into one round. A read completes only after a round that
// started after the read was submitted.
type readBarrier struct {
	node Node
	now  func() time.Time

	mu             sync.Mutex
	pending        []func(error)
	wakeNow        chan struct{}
	wakeBatched    chan struct{}
	lastConfirmed  atomic.Int64 // start of the last successful round, in Unix nanoseconds
	readIndexCalls atomic.Uint64
}

func newReadBarrier(node Node, now func() time.Time) *readBarrier {
	return &readBarrier{node: node, now: now, wakeNow: make(chan struct{}, 1), wakeBatched: make(chan struct{}, 1)}
}

// submit queues fn, which is called with the result of the next read-index
// round. fn must not block.
func (b *readBarrier) submit(fn func(error)) { b.add(fn, b.wakeBatched) }

// wait requests a read-index round without the batching delay and returns its
// result.
func (b *readBarrier) wait(ctx context.Context) error {
	done := make(chan error, 1)
	b.add(func(err error) { done <- err }, b.wakeNow)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "read was not confirmed by a quorum").WithOutcome(fault.NotRun)
	}
}

func (b *readBarrier) add(fn func(error), wake chan struct{}) {
	b.mu.Lock()
	b.pending = append(b.pending, fn)
	b.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run executes read-index rounds until ctx ends.
func (b *readBarrier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			b.complete(b.takePending(), fault.New(fault.Draining, "replica stops"))
			return
		case <-b.wakeNow:
		case <-b.wakeBatched:
			b.awaitBatch(ctx)
		}
		if batch := b.takePending(); len(batch) > 0 {
			b.complete(batch, b.readIndex(ctx))
		}
	}
}

func (b *readBarrier) awaitBatch(ctx context.Context) {
	t := time.NewTimer(barrierBatchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-b.wakeNow:
	case <-t.C:
	}
}

func (b *readBarrier) takePending() []func(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.pending
	b.pending = nil
	return batch
}

func (b *readBarrier) complete(batch []func(error), err error) {
	for _, fn := range batch {
		fn(err)
	}
}

// readIndex retries the read index until it succeeds or barrierTimeout has
// passed.
func (b *readBarrier) readIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	for {
		started := b.now()
		err := b.readIndexOnce(ctx)
		if err == nil {
			b.lastConfirmed.Store(started.UnixNano())
			return nil
		}
		if !delay.Wait(ctx, readIndexRetryDelay) {
			return fault.Wrap(err, fault.Unavailable, "replica is not current").
				WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
		}
	}
}

func (b *readBarrier) readIndexOnce(ctx context.Context) error {
	b.readIndexCalls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	_, err := b.node.ReadIndex(ctx)
	return err
}

// confirmedWithin reports whether a read-index round that started within the
// last d has succeeded.
func (b *readBarrier) confirmedWithin(d time.Duration) bool {
	last := b.lastConfirmed.Load()
	return last != 0 && b.now().Sub(time.Unix(0, last)) < d
}
