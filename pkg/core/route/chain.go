package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// retryAfterNoRoute is the Retry-After when no upstream is available: about the
// time in which a failed upstream is ejected and another one registers.
const retryAfterNoRoute = time.Second

// SelectChain returns stages that cover the layers 0 to Layers-1 exactly once, in
// order, each on a different host. It uses layer ranges only as upstreams
// announced them: the first layer of a stage follows the last layer of the stage
// before. It samples candidates of each range and returns the cheapest chain
// of the sampled graph.
func (t *Table) SelectChain(need Requirements, rng *rand.Rand) ([]Stage, error) {
	if err := need.check(); err != nil {
		return nil, err
	}
	versions := t.index.Load().models[need.Model]
	if len(versions) == 0 {
		return nil, noRoute(fault.NotFound, "model %q is not held by any engine", need.Model)
	}
	var best costedChain
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

// SelectService returns the cheapest of a few sampled upstreams of a service.
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
	best.hostRecord.sent.Add(1)
	return best.up, nil
}

func (r *Requirements) check() error {
	if r.Layers <= 0 {
		return fault.New(fault.Invalid, "model needs at least one layer").WithField("layers")
	}
	if r.Rank < 0 || r.Rank >= sched.NumRanks {
		return fault.New(fault.Invalid, "rank %d does not exist", r.Rank).WithField("rank")
	}
	return nil
}

func noRoute(kind fault.Kind, format string, args ...any) error {
	return fault.New(kind, format, args...).
		WithOutcome(fault.NotRun).
		WithRetryAfter(retryAfterNoRoute)
}

// costedChain is a chain of nodes with its estimated cost.
type costedChain struct {
	nodes []*node
	cost  time.Duration
}

// node is a candidate for one layer range, a vertex of the graph of chains.
type node struct {
	candidate
	first, last int
	totalCost   time.Duration // lowest cost of a chain from the caller to this node, inclusive
	before      *node         // previous node of that chain
	reachable   bool
}

// stages returns the stages of p and counts the request as sent to each of their
// hosts. A head that already runs the request is not counted again.
func (p costedChain) stages(headCounted bool) []Stage {
	out := make([]Stage, 0, len(p.nodes))
	for i, n := range p.nodes {
		if i > 0 || !headCounted {
			n.hostRecord.sent.Add(1)
		}
		out = append(out, Stage{Upstream: n.up, FirstLayer: n.first, LastLayer: n.last})
	}
	return out
}

// chain returns the cheapest chain of sampled candidates of v, or an empty one.
func (v *version) chain(need *Requirements, rng *rand.Rand) costedChain {
	return cheapestChain(v.sampleNodes(need, rng), need)
}

// cheapestChain returns a chain of nodes, which are sorted by first layer. It is the
// cheapest one if each host holds a single range; otherwise it may be any chain.
func cheapestChain(nodes []node, need *Requirements) costedChain {
	if p := shortestPath(nodes, need); p.nodes != nil {
		return p
	}
	return searchAnyChain(nodes, need)
}

// sampleNodes returns sampled candidates of every range that lies inside the
// model, sorted by first layer.
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

// randomDataCentre returns the data centre of a random host. When every range is
// sampled in the same data centre, the sample contains chains that use only the
// fast links inside it.
func (v *version) randomDataCentre(rng *rand.Rand) string {
	g := v.ranges[rng.IntN(len(v.ranges))].group
	return g.all[rng.IntN(len(g.all))].up.Load().DataCentre
}

// shortestPath computes the cheapest chain as a shortest path, by relaxing the nodes
// in order of their first layer. A host that is already in the best chain up to a node
// is not used again. In rare graphs this rule excludes every chain; searchAnyChain
// handles those.
func shortestPath(nodes []node, need *Requirements) costedChain {
	byLast := make(map[int][]*node, 8)
	var best *node
	for i := range nodes {
		n := &nodes[i]
		n.relax(byLast[n.first-1], need)
		if !n.reachable {
			continue
		}
		if n.last == need.Layers-1 {
			if best == nil || n.totalCost < best.totalCost {
				best = n
			}
			continue
		}
		byLast[n.last] = append(byLast[n.last], n)
	}
	return best.chainTo()
}

func (n *node) relax(before []*node, need *Requirements) {
	if n.first == 0 {
		n.reachable = true
		n.totalCost = n.cost + need.headCost(n.up)
		return
	}
	for _, b := range before {
		if b.chainContains(n.hostRecord) {
			continue
		}
		totalCost := b.totalCost + need.linkCost(b.up, n.up) + n.cost
		if !n.reachable || totalCost < n.totalCost {
			n.reachable = true
			n.totalCost = totalCost
			n.before = b
		}
	}
}

func (n *node) chainContains(record *hostRecord) bool {
	for ; n != nil; n = n.before {
		if n.hostRecord == record {
			return true
		}
	}
	return false
}

func (n *node) chainTo() costedChain {
	if n == nil {
		return costedChain{}
	}
	p := costedChain{cost: n.totalCost}
	for ; n != nil; n = n.before {
		p.nodes = append(p.nodes, n)
	}
	slices.Reverse(p.nodes)
	return p
}
