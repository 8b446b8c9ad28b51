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

// RetryBudgetLimits bound the retries of one entry.
type RetryBudgetLimits struct {
	Ratio        float64 // retries earned by each request
	Burst        float64 // largest balance
	MinPerSecond float64 // retries earned per second without any request
}

// FleetRetryBudget bounds the retries of all entries together in any window.
type FleetRetryBudget struct {
	Ratio     float64 // retries for each request
	Allowance float64 // retries in a window besides
	Window    time.Duration
}

// fleetMargin of the fleet's budget stays unused: the entries' shares follow
// the number of entries late.
const fleetMargin = 0.2

// PerEntry returns the limits of one of so many entries. Half of its allowance may
// be used at once, and half is earned over the window, so that no window holds
// more than the allowance.
func (f FleetRetryBudget) PerEntry(entries int) RetryBudgetLimits {
	share := (1 - fleetMargin) * f.Allowance / float64(max(1, entries))
	return RetryBudgetLimits{
		Ratio:        (1 - fleetMargin) * f.Ratio,
		Burst:        share / 2,
		MinPerSecond: share / 2 / f.Window.Seconds(),
	}
}

// RetryBudget is a token bucket for retries and repairs. With the default limits
// each request earns a tenth of a retry, so retries add at most 10% to the
// load, besides the burst and the floor of one retry in 10 s.
type RetryBudget struct {
	mu      sync.Mutex
	limits  RetryBudgetLimits
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget with the default limits and a full balance.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWithLimits(RetryBudgetLimits{Ratio: retryPart, Burst: retryBurst, MinPerSecond: retryFloor})
}

// NewRetryBudgetWithLimits returns a budget with a full balance.
func NewRetryBudgetWithLimits(l RetryBudgetLimits) *RetryBudget {
	return &RetryBudget{limits: l, balance: l.Burst}
}

// SetLimits changes the limits. The balance does not rise by that.
func (b *RetryBudget) SetLimits(l RetryBudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	b.earn(0)
}

// RecordRequest records a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.earn(b.limits.Ratio)
}

// TakeRetry takes one retry; it reports false when none is left.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) advance(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.earn(now.Sub(b.last).Seconds() * b.limits.MinPerSecond)
	}
	if now.After(b.last) {
		b.last = now
	}
}

func (b *RetryBudget) earn(part float64) { b.balance = min(b.balance+part, b.limits.Burst) }
