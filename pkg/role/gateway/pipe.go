package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

const (
	// pipeShare of the bandwidth between data centres may be used by the prompts
	// of paths that cross: each holds up the tokens of all others behind it.
	pipeShare = 0.4
	// pipeBurst is the time over which unused bandwidth is saved.
	pipeBurst = time.Second
)

// pipes bound the paths that cross between data centres, by this entry's share.
type pipes struct {
	mu     sync.Mutex
	budget *route.Budget
}

// admit takes the bandwidth for a path, and reports false where there is none.
func (p *pipes) admit(m *routing.Model, entries, tokens int, c path.Choice) bool {
	if c.Crossings == 0 || m.PipeMbps <= 0 {
		return true
	}
	bits := m.ActivationBytes * 8 * float64(tokens) * float64(c.Crossings)
	perSecond := pipeShare * m.PipeMbps * 1e6 / bits / float64(max(1, entries))
	limits := route.BudgetLimits{Burst: max(1, perSecond*pipeBurst.Seconds()), Floor: perSecond}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget == nil {
		p.budget = route.NewLimitedBudget(limits)
	}
	p.budget.SetLimits(limits)
	return p.budget.Retry(time.Now())
}
