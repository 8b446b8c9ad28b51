package control

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// modelLoadLimiter bounds the number of orders in progress that load a model or
// an adapter, because the store from which engines load weights is rate-limited.
// Waiting orders get slots in the order of their arrival.
type modelLoadLimiter struct {
	limit func() int

	mu      sync.Mutex
	running int
	queue   []chan struct{}
}

// acquire waits for a slot.
func (l *modelLoadLimiter) acquire(ctx context.Context) error {
	l.mu.Lock()
	if len(l.queue) == 0 && l.running < l.limit() {
		l.running++
		l.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	l.queue = append(l.queue, granted)
	l.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return l.cancelWait(ctx, granted)
	}
}

// reserve counts a slot that is already in use, even beyond the limit.
func (l *modelLoadLimiter) reserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
}

// cancelWait leaves the queue, or releases the slot if it was granted at the
// same time.
func (l *modelLoadLimiter) cancelWait(ctx context.Context, granted chan struct{}) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range l.queue {
		if q == granted {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return fault.Wrap(ctx.Err(), fault.Overloaded, "too many loads in progress").WithOutcome(fault.NotRun)
		}
	}
	l.running--
	l.grantSlots()
	return fault.Wrap(ctx.Err(), fault.Overloaded, "too many loads in progress").WithOutcome(fault.NotRun)
}

// release returns a slot.
func (l *modelLoadLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.grantSlots()
}

func (l *modelLoadLimiter) grantSlots() {
	for len(l.queue) > 0 && l.running < l.limit() {
		l.running++
		close(l.queue[0])
		l.queue = l.queue[1:]
	}
}
