package control

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// loadLimiter bounds the load orders in progress, because the store of the weights
// is rate-limited. Waiting orders start in the order of their arrival.
type loadLimiter struct {
	limit func() int

	mu      sync.Mutex
	running int
	queue   []chan struct{}
}

// acquire waits for a place.
func (p *loadLimiter) acquire(ctx context.Context) error {
	p.mu.Lock()
	if len(p.queue) == 0 && p.running < p.limit() {
		p.running++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return p.cancelWait(ctx, turn)
	}
}

// occupy takes a place that is in use already, even beyond the limit.
func (p *loadLimiter) occupy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
}

// cancelWait leaves the queue, or returns the place that came at the same moment.
func (p *loadLimiter) cancelWait(ctx context.Context, turn chan struct{}) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, q := range p.queue {
		if q == turn {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return fault.Wrap(ctx.Err(), fault.Overloaded, "too many loads in progress").WithOutcome(fault.NotRun)
		}
	}
	p.running--
	p.grantSlots()
	return fault.Wrap(ctx.Err(), fault.Overloaded, "too many loads in progress").WithOutcome(fault.NotRun)
}

// release returns a place.
func (p *loadLimiter) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.grantSlots()
}

func (p *loadLimiter) grantSlots() {
	for len(p.queue) > 0 && p.running < p.limit() {
		p.running++
		close(p.queue[0])
		p.queue = p.queue[1:]
	}
}
