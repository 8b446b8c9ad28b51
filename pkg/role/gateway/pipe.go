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
	// of new requests on paths that cross: each holds up the tokens of all others
	// behind it. Broken streams may use more, as their callers leave within 2 s.
	pipeShare   = 0.4
	repairShare = 0.9
	// pipeBurst is the time over which unused bandwidth is saved.
	pipeBurst = time.Second
)

// pipes bound the paths that cross between data centres, by this entry's share.
type pipes struct {
	mu           sync.Mutex
	fresh, moved *route.RetryBudget
}

// admit takes the bandwidth for the path of a new request, and reports false
// where there is none.
func (p *pipes) admit(m *routing.Model, entries, tokens int, c path.Choice) bool {
	return c.DataCentreCrossings == 0 || p.take(&p.fresh, m, entries, tokens*c.DataCentreCrossings, pipeShare)
}

// admitMoved is admit for a broken stream. Only the engines that are new to it
// read what it has so far, so that its tokens cross once.
func (p *pipes) admitMoved(m *routing.Model, entries, tokens int, c path.Choice) bool {
	return c.DataCentreCrossings == 0 || p.take(&p.moved, m, entries, tokens, repairShare)
}

func (p *pipes) take(budget **route.RetryBudget, m *routing.Model, entries, tokens int, share float64) bool {
	if m.InterDataCentreMbps <= 0 {
		return true
	}
	bits := m.ActivationBytes * 8 * float64(tokens)
	perSecond := share * m.InterDataCentreMbps * 1e6 / bits / float64(max(1, entries))
	limits := route.RetryBudgetLimits{Burst: max(1, perSecond*pipeBurst.Seconds()), MinPerSecond: perSecond}
	p.mu.Lock()
	defer p.mu.Unlock()
	if *budget == nil {
		*budget = route.NewRetryBudgetWithLimits(limits)
	}
	(*budget).SetLimits(limits)
	return (*budget).TakeRetry(time.Now())
}
