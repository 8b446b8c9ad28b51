// Package delay provides waits that end with a context, and jitter for retries.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for d and returns true, or returns false if ctx ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Jitter returns a random duration between 0.5 d and 1.5 d, so that processes
// that failed at the same time do not retry at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
