package route

import (
	"sync"
	"time"
)

const (
	// retryPart is the part of the requests that may be retried.
	retryPart = 0.1
	// retryBurst is the largest balance; a failing upstream can be retried
	// this often at once.
	retryBurst = 10.0
	// retryFloor is the balance earned per second without any request, so
	// that a quiet entry can retry at all.
	retryFloor = 0.1
)

// Budget is a token bucket for retries and repairs. Each request earns a tenth
// of a retry, so retries add at most 10% to the load, besides the burst and
// the floor of one retry in 10 s.
type Budget struct {
	mu      sync.Mutex
	balance float64
	last    time.Time
}

// NewBudget returns a budget with a full balance.
func NewBudget() *Budget { return &Budget{balance: retryBurst} }

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.earn(retryPart)
}

// Retry takes one retry; it reports false when none is left.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) advance(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.earn(now.Sub(b.last).Seconds() * retryFloor)
	}
	if now.After(b.last) {
		b.last = now
	}
}

func (b *Budget) earn(part float64) { b.balance = min(b.balance+part, retryBurst) }
