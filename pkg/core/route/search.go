package route

// maxSearchSteps bounds the nodes that searchAnyPath visits.
const maxSearchSteps = 20_000

// searchAnyChain finds some chain, not necessarily the cheapest, by depth-first
// search with backtracking. It is used when shortestPath finds none because hosts
// hold several ranges.
func searchAnyChain(nodes []node, need *Requirements) costedChain {
	s := chainSearcher{need: need, byFirst: make(map[int][]*node), stepsLeft: maxSearchSteps}
	for i := range nodes {
		n := &nodes[i]
		s.byFirst[n.first] = append(s.byFirst[n.first], n)
	}
	if !s.extend(0) {
		return costedChain{}
	}
	p := costedChain{nodes: s.chain}
	for i, n := range p.nodes {
		p.cost += n.cost
		if i == 0 {
			p.cost += need.headCost(n.up)
		} else {
			p.cost += need.linkCost(p.nodes[i-1].up, n.up)
		}
	}
	return p
}

type chainSearcher struct {
	need      *Requirements
	byFirst   map[int][]*node
	chain     []*node
	stepsLeft int
}

func (s *chainSearcher) extend(layer int) bool {
	if layer == s.need.Layers {
		return true
	}
	for _, n := range s.byFirst[layer] {
		if s.stepsLeft--; s.stepsLeft < 0 {
			return false
		}
		if s.used(n.hostRecord) {
			continue
		}
		s.chain = append(s.chain, n)
		if s.extend(n.last + 1) {
			return true
		}
		s.chain = s.chain[:len(s.chain)-1]
	}
	return false
}

func (s *chainSearcher) used(record *hostRecord) bool {
	for _, n := range s.chain {
		if n.hostRecord == record {
			return true
		}
	}
	return false
}
