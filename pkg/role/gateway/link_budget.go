package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

const (
	// newPathShare is the share of the bandwidth between data centres that prompts of
	// new requests may use on paths that cross it, because each prompt delays the
	// tokens of all other streams behind it. Broken streams may use repathShare, as
	// their callers disconnect within 2 s.
	newPathShare = 0.4
	repathShare  = 0.9
	// linkBurst is the time over which unused bandwidth accumulates.
	linkBurst = time.Second
)

// linkBudgets limits the paths that cross between data centres to the share of this
// gateway in the bandwidth. One unit of a budget is one path; the rate is set to the
// number of paths of the size of the current request that the bandwidth carries.
type linkBudgets struct {
	mu                          sync.Mutex
	newPathBudget, repathBudget *route.Budget
}

// admitNewPath counts the path of a new request against its budget. It returns false
// if less than one path is left.
func (p *linkBudgets) admitNewPath(m *routing.Model, gatewayCount, tokens int, c path.Choice) bool {
	return c.DataCentreCrossings == 0 || p.take(&p.newPathBudget, m, gatewayCount, tokens*c.DataCentreCrossings, newPathShare)
}

// admitRepath counts the new path of a broken stream against its budget. Only the
// engines that are new to the path have to read the prompt and the tokens so far, so
// these cross the link once.
func (p *linkBudgets) admitRepath(m *routing.Model, gatewayCount, tokens int, c path.Choice) bool {
	return c.DataCentreCrossings == 0 || p.take(&p.repathBudget, m, gatewayCount, tokens, repathShare)
}

func (p *linkBudgets) take(budget **route.Budget, m *routing.Model, gatewayCount, tokens int, share float64) bool {
	if m.InterDataCentreMbps <= 0 {
		return true
	}
	bits := m.ActivationBytes * 8 * float64(tokens)
	perSecond := share * m.InterDataCentreMbps * 1e6 / bits / float64(max(1, gatewayCount))
	limits := route.BudgetLimits{Burst: max(1, perSecond*linkBurst.Seconds()), PerSecond: perSecond}
	p.mu.Lock()
	defer p.mu.Unlock()
	if *budget == nil {
		*budget = route.NewBudget(limits)
	}
	(*budget).SetLimits(limits)
	return (*budget).Take(time.Now())
}
