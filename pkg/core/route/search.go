package route

// maxSearchSteps bounds the nodes that searchAnyPath visits.
const maxSearchSteps = 20_000

// searchAnyPath finds some path, not necessarily the cheapest, by depth-first
// search with backtracking. It is used when shortestPath finds none because hosts
// hold several ranges.
func searchAnyPath(nodes []node, need *Requirements) path {
	s := pathSearcher{need: need, byFirst: make(map[int][]*node), stepsLeft: maxSearchSteps}
	for i := range nodes {
		n := &nodes[i]
		s.byFirst[n.first] = append(s.byFirst[n.first], n)
	}
	if !s.extend(0) {
		return path{}
	}
	p := path{nodes: s.chain}
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

type pathSearcher struct {
	need      *Requirements
	byFirst   map[int][]*node
	chain     []*node
	stepsLeft int
}

func (s *pathSearcher) extend(layer int) bool {
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

func (s *pathSearcher) used(c *hostRecord) bool {
	for _, n := range s.chain {
		if n.hostRecord == c {
			return true
		}
	}
	return false
}
