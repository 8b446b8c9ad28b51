package route

import "time"

const (
	// permitBurst is the time over which unused permits of an upstream accumulate, in
	// addition to one permit.
	permitBurst = 500 * time.Millisecond
	// rankReserve is the share of the accumulated permits that each rank leaves to the more
	// urgent ones, up to maxReserve.
	rankReserve = 0.2
	maxReserve  = 0.6
)

// Permits hands out the requests that upstreams take from all gateways together, where
// they name a limit. It is not safe for concurrent use.
type Permits struct {
	buckets map[string]*Budget // by upstream
}

// NewPermits returns Permits without any balance, so that no more than the limit is handed
// out after a change of the process that hands them out.
func NewPermits() *Permits { return &Permits{buckets: make(map[string]*Budget)} }

// Take takes a permit for a request of a rank, 0 being the most urgent, to an upstream with
// a limit in requests per second. If there is none, it returns the time until there may be
// one.
func (p *Permits) Take(now time.Time, upstream string, limit float64, rank int) (taken bool, wait time.Duration) {
	accumulated := limit * permitBurst.Seconds()
	limits := BudgetLimits{Burst: 1 + accumulated, PerSecond: limit}
	b := p.buckets[upstream]
	if b == nil {
		b = NewEmptyBudget(limits, now)
		p.buckets[upstream] = b
	}
	b.SetLimits(limits)
	return b.TakeAbove(now, accumulated*min(maxReserve, rankReserve*float64(rank)))
}

// Retain forgets all upstreams for which keep returns false.
func (p *Permits) Retain(keep func(upstream string) bool) {
	for id := range p.buckets {
		if !keep(id) {
			delete(p.buckets, id)
		}
	}
}
