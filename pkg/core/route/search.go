package route

// searchSteps bounds the backtracking of search.
const searchSteps = 20_000

// search finds any chain by depth-first search with backtracking. It is used
// when hosts that hold several ranges made the shortest path run out.
func search(nodes []node, need *Requirements) path {
	s := searcher{need: need, byFirst: make(map[int][]*node), steps: searchSteps}
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

type searcher struct {
	need    *Requirements
	byFirst map[int][]*node
	chain   []*node
	steps   int
}

func (s *searcher) extend(layer int) bool {
	if layer == s.need.Layers {
		return true
	}
	for _, n := range s.byFirst[layer] {
		if s.steps--; s.steps < 0 {
			return false
		}
		if s.used(n.cell) {
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

func (s *searcher) used(c *cell) bool {
	for _, n := range s.chain {
		if n.cell == c {
			return true
		}
	}
	return false
}
