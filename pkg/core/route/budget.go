package route

import (
	"sync"
	"time"
)

const (
	// defaultRetryRatio is the number of retries earned by each request.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is the maximum balance: the number of retries that can
	// be made at once.
	defaultRetryBurst = 10.0
	// defaultRetryMinPerSecond is the number of retries earned per second without
	// any request, so that an entry with little traffic can still retry.
	defaultRetryMinPerSecond = 0.1
)

// RetryBudgetLimits bounds the retries of one entry.
type RetryBudgetLimits struct {
	Ratio        float64 // retries earned by each request
	Burst        float64 // maximum balance
	MinPerSecond float64 // retries earned per second without any request
}

// FleetRetryBudget bounds the total retries of all entries in any window to
// Ratio times their requests plus Allowance.
type FleetRetryBudget struct {
	Ratio     float64 // retries allowed for each request
	Allowance float64 // further retries allowed in each window
	Window    time.Duration
}

// fleetBudgetHeadroom is the fraction of the fleet's budget that is not handed
// out, because entries learn of a change in the number of entries with a delay.
const fleetBudgetHeadroom = 0.2

// PerEntry returns the limits of one entry when the budget is divided between
// the given number of entries. Half of an entry's allowance can be spent at once
// and half is earned over the window, so that no window exceeds the allowance.
func (f FleetRetryBudget) PerEntry(entries int) RetryBudgetLimits {
	share := (1 - fleetBudgetHeadroom) * f.Allowance / float64(max(1, entries))
	return RetryBudgetLimits{
		Ratio:        (1 - fleetBudgetHeadroom) * f.Ratio,
		Burst:        share / 2,
		MinPerSecond: share / 2 / f.Window.Seconds(),
	}
}

// RetryBudget is a token bucket for retries and stream repairs. With the default
// limits each request earns a tenth of a retry, so retries add at most 10% to
// the load, apart from the burst and the minimum of one retry in 10 s. It may be
// used by several goroutines.
type RetryBudget struct {
	mu      sync.Mutex
	limits  RetryBudgetLimits
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget with the default limits and the maximum
// balance.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWithLimits(RetryBudgetLimits{Ratio: defaultRetryRatio, Burst: defaultRetryBurst, MinPerSecond: defaultRetryMinPerSecond})
}

// NewRetryBudgetWithLimits returns a budget with the limits l and the maximum
// balance.
func NewRetryBudgetWithLimits(l RetryBudgetLimits) *RetryBudget {
	return &RetryBudget{limits: l, balance: l.Burst}
}

// SetLimits replaces the limits. The balance is cut to the new maximum, and
// never rises.
func (b *RetryBudget) SetLimits(l RetryBudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	b.addBalance(0)
}

// RecordRequest adds what the first attempt of a request earns to the balance.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillBalance(now)
	b.addBalance(b.limits.Ratio)
}

// TakeRetry takes one retry from the balance. It reports false, and takes
// nothing, when less than one is left.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillBalance(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) refillBalance(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.addBalance(now.Sub(b.last).Seconds() * b.limits.MinPerSecond)
	}
	if now.After(b.last) {
		b.last = now
	}
}

func (b *RetryBudget) addBalance(retries float64) { b.balance = min(b.balance+retries, b.limits.Burst) }
