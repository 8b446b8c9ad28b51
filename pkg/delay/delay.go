// Package delay waits for a time or for the end of a context.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for d. It returns false if ctx ended first.
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

// Jitter returns a random time from half of d to one and a half of d, so that
// processes that failed together do not retry together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
