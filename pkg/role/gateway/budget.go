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
	fleet     route.FleetRetryBudget
	entries   int // most that were seen: some may only be unknown for a while
	byService map[string]*route.RetryBudget
}

func (b *budgets) init(fleet route.FleetRetryBudget) {
	b.fleet, b.entries, b.byService = fleet, 1, make(map[string]*route.RetryBudget)
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
		budget.SetLimits(b.fleet.PerEntry(entries))
	}
}

func (b *budgets) of(service string) *route.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = route.NewRetryBudgetWithLimits(b.fleet.PerEntry(b.entries))
		b.byService[service] = budget
	}
	return budget
}

// request records the first time that a request is sent to a service.
func (b *budgets) request(service string) { b.of(service).RecordRequest(time.Now()) }

// retry takes the right to send a request once more.
func (b *budgets) retry(service string) bool { return b.of(service).TakeRetry(time.Now()) }
