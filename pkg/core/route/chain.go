package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// retryAfterNoRoute is the Retry-After when no chain is available: about the
// time in which a lost upstream is ejected and another announces itself.
const retryAfterNoRoute = time.Second

// SelectChain chooses stages that cover the layers 0 to Layers-1 exactly once, in
// order, each on another host. Ranges are used as announced: the last layer of
// a stage is followed by the first layer of the next. It samples candidates of
// each range and takes the cheapest path through the sampled graph.
func (t *Table) SelectChain(need Requirements, rng *rand.Rand) ([]Stage, error) {
	if err := need.check(); err != nil {
		return nil, err
	}
	versions := t.index.Load().models[need.Model]
	if len(versions) == 0 {
		return nil, noRoute(fault.NotFound, "model %q is not held by any engine", need.Model)
	}
	var best path
	for _, v := range versions {
		if need.Version != "" && need.Version != v.name {
			continue
		}
		p := v.chain(&need, rng)
		if p.nodes != nil && (best.nodes == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best.nodes == nil {
		return nil, noRoute(fault.Unavailable, "no chain covers the %d layers of model %q", need.Layers, need.Model)
	}
	return best.stages(need.HeadHost != ""), nil
}

// SelectService chooses an upstream of a service: the best of a few samples.
func (t *Table) SelectService(service string, need Requirements, rng *rand.Rand) (*Upstream, error) {
	if need.Rank < 0 || need.Rank >= sched.NumRanks {
		return nil, fault.New(fault.Invalid, "rank %d does not exist", need.Rank).WithField("rank")
	}
	g := t.index.Load().services[service]
	if g == nil {
		return nil, noRoute(fault.NotFound, "service %q is not offered by any upstream", service)
	}
	need.MaxTokens = 1
	s := sampler{need: &need, rng: rng, service: service}
	found := s.sample(g, need.DataCentre, nil)
	if len(found) == 0 {
		return nil, noRoute(fault.Unavailable, "no upstream of service %q is available", service)
	}
	best := slices.MinFunc(found, func(a, b candidate) int {
		return cmp.Compare(a.cost+a.up.RoundTrip, b.cost+b.up.RoundTrip)
	})
	best.cell.sent.Add(1)
	return best.up, nil
}

func (n *Requirements) check() error {
	if n.Layers <= 0 {
		return fault.New(fault.Invalid, "model needs at least one layer").WithField("layers")
	}
	if n.Rank < 0 || n.Rank >= sched.NumRanks {
		return fault.New(fault.Invalid, "rank %d does not exist", n.Rank).WithField("rank")
	}
	return nil
}

func noRoute(kind fault.Kind, format string, args ...any) error {
	return fault.New(kind, format, args...).
		WithOutcome(fault.NotRun).
		WithRetryAfter(retryAfterNoRoute)
}

// path is a chain with its estimated cost.
type path struct {
	nodes []*node
	cost  time.Duration
}

// node is a candidate in the layered graph.
type node struct {
	candidate
	first, last int
	total       time.Duration // cheapest cost from the caller up to this node
	before      *node
	reached     bool
}

// stages counts the request at each host, except at a head that has it already.
func (p path) stages(headHasIt bool) []Stage {
	out := make([]Stage, 0, len(p.nodes))
	for i, n := range p.nodes {
		if i > 0 || !headHasIt {
			n.cell.sent.Add(1)
		}
		out = append(out, Stage{Upstream: n.up, FirstLayer: n.first, LastLayer: n.last})
	}
	return out
}

// chain returns the cheapest path over sampled candidates of v, or no nodes.
func (v *version) chain(need *Requirements, rng *rand.Rand) path {
	return cheapest(v.sampleNodes(need, rng), need)
}

// cheapest returns a chain through nodes sorted by first layer: the cheapest
// when each host holds one range, and any chain otherwise.
func cheapest(nodes []node, need *Requirements) path {
	if p := shortest(nodes, need); p.nodes != nil {
		return p
	}
	return search(nodes, need)
}

// sampleNodes samples every range that lies inside the model. The result is
// sorted by first layer.
func (v *version) sampleNodes(need *Requirements, rng *rand.Rand) []node {
	s := sampler{need: need, rng: rng, version: v.name}
	remote := v.randomDataCentre(rng)
	var nodes []node
	var found []candidate
	for _, r := range v.ranges {
		if r.first < 0 || r.last < r.first || r.last >= need.Layers {
			continue
		}
		s.first, s.last = r.first, r.last
		found = s.sample(r.group, remote, found[:0])
		for _, c := range found {
			nodes = append(nodes, node{candidate: c, first: r.first, last: r.last})
		}
	}
	return nodes
}

// randomDataCentre picks the data centre of a random host. Sampling the same
// one in every range finds chains that stay on its fast links.
func (v *version) randomDataCentre(rng *rand.Rand) string {
	g := v.ranges[rng.IntN(len(v.ranges))].group
	return g.all[rng.IntN(len(g.all))].up.Load().DataCentre
}

// shortest relaxes the nodes in order of their first layer. A host that is
// already on the best path to a node is not used again; search covers the
// rare graphs in which this loses every chain.
func shortest(nodes []node, need *Requirements) path {
	byLast := make(map[int][]*node, 8)
	var best *node
	for i := range nodes {
		n := &nodes[i]
		n.relax(byLast[n.first-1], need)
		if !n.reached {
			continue
		}
		if n.last == need.Layers-1 {
			if best == nil || n.total < best.total {
				best = n
			}
			continue
		}
		byLast[n.last] = append(byLast[n.last], n)
	}
	return best.path()
}

func (n *node) relax(before []*node, need *Requirements) {
	if n.first == 0 {
		n.reached = true
		n.total = n.cost + need.headCost(n.up)
		return
	}
	for _, b := range before {
		if b.uses(n.cell) {
			continue
		}
		total := b.total + need.linkCost(b.up, n.up) + n.cost
		if !n.reached || total < n.total {
			n.reached = true
			n.total = total
			n.before = b
		}
	}
}

func (n *node) uses(c *cell) bool {
	for ; n != nil; n = n.before {
		if n.cell == c {
			return true
		}
	}
	return false
}

func (n *node) path() path {
	if n == nil {
		return path{}
	}
	p := path{cost: n.total}
	for ; n != nil; n = n.before {
		p.nodes = append(p.nodes, n)
	}
	slices.Reverse(p.nodes)
	return p
}
