package entry

import (
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxStageSelections bounds the number of selections of later stages in one
// attempt. At the last selection the request waits in the queues of its stages.
const maxStageSelections = 6

// stageSelector selects other stages after the head during an attempt. The head
// sends a stage query when it has a free slot but a later stage of the chain has
// none; selectStages answers the query.
type stageSelector struct {
	generation  *generation
	selections  int
	busyHosts   map[string]bool // hosts that refused because no slot was free
	openedHosts map[string]bool // hosts that opened the epoch of the session before a later stage refused
}

// selectStages answers a stage query of the head.
func (s *stageSelector) selectStages(q *wirepb.StageQuery) (*wirepb.StageChoice, error) {
	g := s.generation
	s.recordRefusals(q.GetRefused())
	s.selections++
	if chain := s.chainPreferringHosts(q.GetFreed()); chain != nil {
		return s.replaceChain(chain, false)
	}
	wait := s.selections >= maxStageSelections
	exclude := cloneSet(g.plan.ExcludedHosts)
	for host := range s.openedHosts {
		exclude[host] = true
	}
	if !wait {
		for host := range s.busyHosts {
			exclude[host] = true
		}
	}
	chain, err := g.entry.selectLaterStages(g.chain[0].Host, g.requirements(exclude, ""))
	if err != nil && !wait {
		// Every candidate is busy: wait in the queue of the best one.
		wait = true
		for host := range s.busyHosts {
			delete(exclude, host)
		}
		chain, err = g.entry.selectLaterStages(g.chain[0].Host, g.requirements(exclude, ""))
	}
	if err != nil {
		return nil, err
	}
	return s.replaceChain(chain, wait)
}

// chainPreferringHosts returns a chain that prefers the given hosts, which the head
// expects to have free slots. It returns nil if there is none.
func (s *stageSelector) chainPreferringHosts(hosts []string) []route.Stage {
	if len(hosts) == 0 {
		return nil
	}
	g := s.generation
	requirements := g.requirements(cloneSet(g.plan.ExcludedHosts), "")
	requirements.PreferredHosts = hosts
	chain, err := g.entry.selectLaterStages(g.chain[0].Host, requirements)
	if err != nil {
		return nil
	}
	return chain
}

// replaceChain makes chain the chain of the attempt and returns the answer to the
// head. With wait set, the request waits for slots at the stages.
func (s *stageSelector) replaceChain(chain []route.Stage, wait bool) (*wirepb.StageChoice, error) {
	g := s.generation
	if err := g.stream.ReplaceChain(g.plan.Epoch, chainHosts(chain)); err != nil {
		return nil, err
	}
	g.chain = chain
	return &wirepb.StageChoice{Stages: stageRefs(chain)[1:], Wait: wait}, nil
}

// recordRefusals records the hosts of the last selection, in chain order, up to
// and including the one without a free slot.
func (s *stageSelector) recordRefusals(refused []string) {
	if s.busyHosts == nil {
		s.busyHosts, s.openedHosts = make(map[string]bool), make(map[string]bool)
	}
	for i, host := range refused {
		if i == len(refused)-1 {
			s.busyHosts[host] = true
		} else {
			s.openedHosts[host] = true
		}
	}
}
