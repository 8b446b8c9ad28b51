package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/route"
)

// retryBudgets holds the retry budget of each service: the share of this gateway in the
// budget of the whole fleet.
type retryBudgets struct {
	mu           sync.Mutex
	fleet        route.FleetRetryBudget
	gatewayCount int // highest number seen
	byService    map[string]*route.Budget
}

func (b *retryBudgets) init(fleet route.FleetRetryBudget) {
	b.fleet, b.gatewayCount, b.byService = fleet, 1, make(map[string]*route.Budget)
}

// resize adapts the shares to the number of gateways. A lower number is ignored, as
// some gateways may be unknown only for a while.
func (b *retryBudgets) resize(gatewayCount int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if gatewayCount <= b.gatewayCount {
		return
	}
	b.gatewayCount = gatewayCount
	for _, budget := range b.byService {
		budget.SetLimits(b.fleet.PerGateway(gatewayCount))
	}
}

func (b *retryBudgets) forService(service string) *route.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = route.NewBudget(b.fleet.PerGateway(b.gatewayCount))
		b.byService[service] = budget
	}
	return budget
}

// request records the first send of a request to a service.
func (b *retryBudgets) request(service string) { b.forService(service).RecordRequest(time.Now()) }

// retry takes one retry from the budget of a service. It returns false if the budget is
// spent.
func (b *retryBudgets) retry(service string) bool { return b.forService(service).Take(time.Now()) }
