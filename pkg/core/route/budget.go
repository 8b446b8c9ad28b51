package route

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultRetryRatio is the number of retries earned by each request.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is the maximum balance: the number of retries that can
	// be made at once.
	defaultRetryBurst = 10.0
	// defaultRetriesPerSecond is the number of retries earned per second in
	// addition to those earned by requests, so that an entry with little traffic
	// can still retry.
	defaultRetriesPerSecond = 0.1
)

// BudgetLimits sets the rate and the size of a Budget.
type BudgetLimits struct {
	Ratio     float64 // units earned by each request
	Burst     float64 // maximum balance
	PerSecond float64 // units earned per second in addition to Ratio
}

// FleetRetryBudget bounds the total retries of all gateways in any window to
// Ratio times their requests plus Allowance.
type FleetRetryBudget struct {
	Ratio     float64 // retries allowed for each request
	Allowance float64 // further retries allowed in each window
	Window    time.Duration
}

// fleetBudgetHeadroom is the fraction of the fleet's budget that is not handed
// out, because gateways learn of a change in the number of gateways with a delay.
const fleetBudgetHeadroom = 0.2

// PerGateway returns the limits of one gateway when the budget is divided between
// the given number of gateways. Half of a gateway's allowance can be spent at once
// and half is earned over the window, so that no window exceeds the allowance.
func (f FleetRetryBudget) PerGateway(gateways int) BudgetLimits {
	share := (1 - fleetBudgetHeadroom) * f.Allowance / float64(max(1, gateways))
	return BudgetLimits{
		Ratio:     (1 - fleetBudgetHeadroom) * f.Ratio,
		Burst:     share / 2,
		PerSecond: share / 2 / f.Window.Seconds(),
	}
}

// Budget is a token bucket. It limits retries and stream repairs, where one unit
// is one retry, and the paths that cross between data centres, where one unit is
// one path. It may be used by several goroutines.
type Budget struct {
	mu      sync.Mutex
	limits  BudgetLimits
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget with the default limits for retries and the
// maximum balance. Each request earns a tenth of a retry, so retries add at most
// 10% to the load, apart from the burst and one further retry in 10 s.
func NewRetryBudget() *Budget {
	return NewBudget(BudgetLimits{Ratio: defaultRetryRatio, Burst: defaultRetryBurst, PerSecond: defaultRetriesPerSecond})
}

// NewBudget returns a budget with the limits l and the maximum balance.
func NewBudget(l BudgetLimits) *Budget {
	return &Budget{limits: l, balance: l.Burst}
}

// NewEmptyBudget returns a budget with the limits l and no balance.
func NewEmptyBudget(l BudgetLimits, now time.Time) *Budget {
	return &Budget{limits: l, last: now}
}

// SetLimits replaces the limits. The balance is cut to the new maximum, and
// never rises.
func (b *Budget) SetLimits(l BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	b.addBalance(0)
}

// RecordRequest adds what the first attempt of a request earns to the balance.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillBalance(now)
	b.addBalance(b.limits.Ratio)
}

// Take takes one unit from the balance. It reports false, and takes nothing, when
// less than one is left.
func (b *Budget) Take(now time.Time) bool {
	taken, _ := b.TakeAbove(now, 0)
	return taken
}

// TakeAbove takes one unit from the balance if reserve is left. Otherwise it takes nothing
// and returns the time until there will be enough, if nothing is taken meanwhile.
func (b *Budget) TakeAbove(now time.Time, reserve float64) (taken bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillBalance(now)
	if missing := 1 + reserve - b.balance; missing > 0 {
		return false, time.Duration(math.Ceil(missing / b.limits.PerSecond * float64(time.Second)))
	}
	b.balance--
	return true, 0
}

func (b *Budget) refillBalance(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.addBalance(now.Sub(b.last).Seconds() * b.limits.PerSecond)
	}
	if now.After(b.last) {
		b.last = now
	}
}

func (b *Budget) addBalance(units float64) { b.balance = min(b.balance+units, b.limits.Burst) }
