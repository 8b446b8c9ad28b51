package entry

import (
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxStageChoices bounds how often the later stages of one attempt are chosen
// anew. After that the request queues at the last choice.
const maxStageChoices = 6

// laterStages chooses the stages after the head anew when those of the request
// have no free slot at the time when the head has one.
type laterStages struct {
	generation *generation
	choices    int
	busy       map[string]bool // refused for lack of a slot
	opened     map[string]bool // opened the session's epoch before a later one refused
}

// choose answers the query of the head.
func (l *laterStages) choose(q *wirepb.StageQuery) (*wirepb.StageChoice, error) {
	g := l.generation
	l.note(q.GetRefused())
	l.choices++
	if chain := l.freed(q.GetFreed()); chain != nil {
		return l.use(chain, false)
	}
	wait := l.choices >= maxStageChoices
	exclude := copyOf(g.plan.Exclude)
	for host := range l.opened {
		exclude[host] = true
	}
	if !wait {
		for host := range l.busy {
			exclude[host] = true
		}
	}
	chain, err := g.entry.chooseAfter(g.chain[0].Host, g.need(exclude, ""))
	if err != nil && !wait {
		// Every candidate is busy: queue at the best of them.
		wait = true
		for host := range l.busy {
			delete(exclude, host)
		}
		chain, err = g.entry.chooseAfter(g.chain[0].Host, g.need(exclude, ""))
	}
	if err != nil {
		return nil, err
	}
	return l.use(chain, wait)
}

// freed returns the chain over hosts that the head expects to have free slots,
// or nil.
func (l *laterStages) freed(hosts []string) []route.Stage {
	if len(hosts) == 0 {
		return nil
	}
	g := l.generation
	need := g.need(copyOf(g.plan.Exclude), "")
	need.PreferredHosts = hosts
	chain, err := g.entry.chooseAfter(g.chain[0].Host, need)
	if err != nil {
		return nil
	}
	return chain
}

// use makes chain the one of the attempt.
func (l *laterStages) use(chain []route.Stage, wait bool) (*wirepb.StageChoice, error) {
	g := l.generation
	if err := g.stream.ReplaceChain(g.plan.Epoch, hostsOf(chain)); err != nil {
		return nil, err
	}
	g.chain = chain
	return &wirepb.StageChoice{Stages: stageRefs(chain)[1:], Wait: wait}, nil
}

// note takes the hosts of the last choice up to the busy one.
func (l *laterStages) note(refused []string) {
	if l.busy == nil {
		l.busy, l.opened = make(map[string]bool), make(map[string]bool)
	}
	for i, host := range refused {
		if i == len(refused)-1 {
			l.busy[host] = true
		} else {
			l.opened[host] = true
		}
	}
}
