package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/route"
)

// budgets bound the requests that are sent once more, by service. They are this
// entry's share of what the whole fleet may use.
type budgets struct {
	mu        sync.Mutex
	fleet     route.FleetBudget
	entries   int // most that were seen: some may only be unknown for a while
	byService map[string]*route.Budget
}

func (b *budgets) init(fleet route.FleetBudget) {
	b.fleet, b.entries, b.byService = fleet, 1, make(map[string]*route.Budget)
}

// resize follows the number of entries.
func (b *budgets) resize(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entries <= b.entries {
		return
	}
	b.entries = entries
	for _, budget := range b.byService {
		budget.SetLimits(b.fleet.Share(entries))
	}
}

func (b *budgets) of(service string) *route.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = route.NewLimitedBudget(b.fleet.Share(b.entries))
		b.byService[service] = budget
	}
	return budget
}

// request records the first time that a request is sent to a service.
func (b *budgets) request(service string) { b.of(service).Request(time.Now()) }

// retry takes the right to send a request once more.
func (b *budgets) retry(service string) bool { return b.of(service).Retry(time.Now()) }
