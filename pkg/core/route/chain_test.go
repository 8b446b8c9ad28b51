package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

const testLayers = 4

// drawUpstream returns a host with a random state and one or two layer ranges.
func drawUpstream(t *rapid.T, host string) *Upstream {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	u := &Upstream{
		Host:              host,
		DataCentre:        rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "data centre"),
		Slots:             rapid.IntRange(1, 4).Draw(t, "slots"),
		Running:           rapid.IntRange(0, 4).Draw(t, "running"),
		QueueWait:         [sched.NumRanks]time.Duration{0, ms("wait", 500), ms("wait", 5000)},
		TimeToFirstToken:  ms("first", 300),
		InterTokenLatency: ms("inter", 30),
		RoundTrip:         ms("rtt", 5),
		Draining:          rapid.IntRange(0, 9).Draw(t, "draining") == 0,
		Stale:             rapid.IntRange(0, 9).Draw(t, "stale") == 0,
		PromptPrefixes:    map[uint64]struct{}{uint64(rapid.IntRange(1, 3).Draw(t, "prefix")): {}},
		PeerRoundTrips:    map[string]time.Duration{"h0": ms("link", 20), "h1": ms("link", 20)},
	}
	for range rapid.IntRange(1, 2).Draw(t, "ranges") {
		first := rapid.IntRange(0, testLayers-1).Draw(t, "first layer")
		held := ModelShard{
			Model:      "m",
			Version:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			FirstLayer: first,
			LastLayer:  rapid.IntRange(first, testLayers-1).Draw(t, "last layer"),
		}
		if rapid.Bool().Draw(t, "adapter") {
			held.Adapters = []string{"a1"}
		}
		u.Models = append(u.Models, held)
	}
	return u
}

func drawNeed(t *rapid.T) Requirements {
	n := Requirements{
		Model:          "m",
		Version:        rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "need version"),
		Adapter:        rapid.SampledFrom([]string{"", "", "a1"}).Draw(t, "need adapter"),
		Layers:         testLayers,
		Rank:           sched.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		MaxTokens:      rapid.IntRange(0, 300).Draw(t, "max tokens"),
		PromptPrefixes: []uint64{1, 2, 3},
		DataCentre:     "d1",
		ExcludedHosts:  map[string]bool{"h2": rapid.Bool().Draw(t, "exclude")},
	}
	if rapid.Bool().Draw(t, "avoid") {
		n.AvoidDataCentre = "d2"
	}
	return n
}

// cheapestExhaustive returns the cost of the cheapest chain that n allows, by
// enumerating all chains.
func cheapestExhaustive(hosts []*Upstream, n *Requirements) (best time.Duration, found bool) {
	var walk func(layer int, version string, last *Upstream, used map[string]bool, cost time.Duration)
	walk = func(layer int, version string, last *Upstream, used map[string]bool, cost time.Duration) {
		if layer == n.Layers {
			if !found || cost < best {
				best, found = cost, true
			}
			return
		}
		for _, u := range hosts {
			for _, h := range u.Models {
				if used[u.Host] || h.FirstLayer != layer || (last != nil && h.Version != version) || !allowed(u, h, n) {
					continue
				}
				link := n.headCost(u)
				if last != nil {
					link = n.linkCost(last, u)
				}
				used[u.Host] = true
				walk(h.LastLayer+1, h.Version, u, used, cost+link+n.nodeCost(u, 0))
				used[u.Host] = false
			}
		}
	}
	walk(0, "", nil, map[string]bool{}, 0)
	return best, found
}

func allowed(u *Upstream, h ModelShard, n *Requirements) bool {
	if u.Draining || u.Stale || n.ExcludedHosts[u.Host] || (n.Version != "" && n.Version != h.Version) {
		return false
	}
	return n.Adapter == "" || (len(h.Adapters) > 0 && h.Adapters[0] == n.Adapter)
}

// checkChain checks that a chain covers every layer once and that its hosts are
// distinct, allowed and hold their ranges in the same version. It returns the cost.
func checkChain(t *rapid.T, chain []Stage, n *Requirements) time.Duration {
	cost, layer := time.Duration(0), 0
	used := map[string]bool{}
	for i, s := range chain {
		assert.Equal(t, s.FirstLayer, layer)
		layer = s.LastLayer + 1
		assert.Assert(t, !used[s.Host], "host used twice")
		used[s.Host] = true
		if i == 0 {
			cost += n.headCost(s.Upstream)
		} else {
			cost += n.linkCost(chain[i-1].Upstream, s.Upstream)
		}
		cost += n.nodeCost(s.Upstream, 0)
	}
	assert.Equal(t, layer, n.Layers)
	assert.Assert(t, allHoldVersion(chain, "v1", n) || allHoldVersion(chain, "v2", n), "no version is held by all stages")
	return cost
}

// allHoldVersion reports whether the host of every stage holds its layer range in
// the version.
func allHoldVersion(chain []Stage, version string, n *Requirements) bool {
	for _, s := range chain {
		holds := false
		for _, h := range s.Models {
			holds = holds || h.Version == version && h.FirstLayer == s.FirstLayer &&
				h.LastLayer == s.LastLayer && allowed(s.Upstream, h, n)
		}
		if !holds {
			return false
		}
	}
	return true
}

// Guards against chains that omit or repeat a layer, mix versions, use a host that
// is not allowed, cost more than the cheapest chain, or are not found. A table of at
// most samplesPerSet hosts is sampled completely.
func TestSelectChain_MatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := NewTable()
		var hosts []*Upstream
		for i := range rapid.IntRange(1, 7).Draw(t, "hosts") {
			u := drawUpstream(t, fmt.Sprint("h", i))
			hosts = append(hosts, u)
			tab.Update(u)
		}
		n := drawNeed(t)
		seed := rapid.Uint64().Draw(t, "seed")
		whole := len(hosts) <= samplesPerSet
		want, exists := cheapestExhaustive(hosts, &n)
		chain, err := tab.SelectChain(n, rand.New(rand.NewPCG(seed, 0)))
		if err != nil {
			assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			assert.Assert(t, !exists || !holdOneRange(hosts) && !whole, "chain not found")
			return
		}
		assert.Assert(t, exists)
		cost := checkChain(t, chain, &n)
		assert.Assert(t, cost >= want)
		if whole && holdOneRange(hosts) {
			assert.Equal(t, cost, want)
		}
	})
}

// holdOneRange reports whether each host holds a single layer range.
func holdOneRange(hosts []*Upstream) bool {
	for _, u := range hosts {
		if len(u.Models) > 1 {
			return false
		}
	}
	return true
}

// Guards against a path that is not the cheapest of the sampled graph, and against
// hosts with several layer ranges that are used twice or prevent any chain from
// being found.
func TestCheapestPath_MatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNeed(t)
		n.Version, n.Adapter, n.ExcludedHosts = "", "", nil
		var hosts []*Upstream
		var nodes []node
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			u := drawUpstream(t, fmt.Sprint("h", i))
			u.Draining, u.Stale = false, false
			c := candidate{hostRecord: &hostRecord{host: u.Host}, up: u, cost: n.nodeCost(u, 0)}
			for r := range u.Models {
				u.Models[r].Version = "v1"
				nodes = append(nodes, node{candidate: c, first: u.Models[r].FirstLayer, last: u.Models[r].LastLayer})
			}
			hosts = append(hosts, u)
		}
		slices.SortStableFunc(nodes, func(a, b node) int { return a.first - b.first })
		want, exists := cheapestExhaustive(hosts, &n)
		p := cheapestChain(nodes, &n)
		assert.Equal(t, p.nodes != nil, exists)
		if !exists {
			return
		}
		checkChain(t, p.stages(false), &n)
		assert.Assert(t, p.cost >= want)
		if holdOneRange(hosts) {
			assert.Equal(t, p.cost, want)
		}
	})
}

// Guards against a chain that is not found because the host with the cheapest first
// stage is also the only host of the last stage.
func TestSelectChain_CheapestHeadIsOnlyLastStage_IsFound(t *testing.T) {
	tab := NewTable()
	tab.Update(&Upstream{Host: "cheap", Models: []ModelShard{{Model: "m", LastLayer: 0}, {Model: "m", FirstLayer: 2, LastLayer: 3}}})
	tab.Update(&Upstream{Host: "dear", Models: []ModelShard{{Model: "m", LastLayer: 0}}, QueueWait: [sched.NumRanks]time.Duration{time.Minute}})
	tab.Update(&Upstream{Host: "middle", Models: []ModelShard{{Model: "m", FirstLayer: 1, LastLayer: 1}}})
	chain, err := tab.SelectChain(Requirements{Model: "m", Layers: testLayers}, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, chain[0].Host, "dear")
	assert.Equal(t, chain[2].Host, "cheap")
}

// Guards against a request with a fixed head that ignores the preferred host of a
// later stage, and against one that still uses this host when it is draining.
func TestSelectChain_PreferredHostIsUsedUntilDraining(t *testing.T) {
	tab := NewTable()
	tab.Update(&Upstream{Host: "head", Models: []ModelShard{{Model: "m", LastLayer: 1}}})
	for i := range 100 {
		tab.Update(&Upstream{Host: fmt.Sprint("h", i), Models: []ModelShard{{Model: "m", FirstLayer: 2, LastLayer: 3}}})
	}
	need := Requirements{Model: "m", Layers: testLayers, HeadHost: "head", PreferredHosts: []string{"h77"}}
	rng := rand.New(rand.NewPCG(1, 1))
	chain, err := tab.SelectChain(need, rng)
	assert.NilError(t, err)
	assert.Equal(t, chain[1].Host, "h77")
	tab.Update(&Upstream{Host: "h77", Draining: true, Models: []ModelShard{{Model: "m", FirstLayer: 2, LastLayer: 3}}})
	chain, err = tab.SelectChain(need, rng)
	assert.NilError(t, err)
	assert.Assert(t, chain[1].Host != "h77")
}

// Guards against a chain or service that is not found because only one of many
// hosts is eligible.
func TestSelect_OneOfManyHostsEligible_IsFound(t *testing.T) {
	const hosts = 500
	tab := NewTable()
	for i := range hosts {
		tab.Update(&Upstream{
			Host:     fmt.Sprint("h", i),
			Draining: i != 321,
			Services: []string{"s"},
			Models:   []ModelShard{{Model: "m", FirstLayer: 0, LastLayer: testLayers - 1}},
		})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		chain, err := tab.SelectChain(Requirements{Model: "m", Layers: testLayers}, rng)
		assert.NilError(t, err)
		assert.Equal(t, chain[0].Host, "h321")
		u, err := tab.SelectService("s", Requirements{}, rng)
		assert.NilError(t, err)
		assert.Equal(t, u.Host, "h321")
	}
}

// Guards against an index that, after updates and removals, differs from one built
// from the final state.
func TestTable_UpdatedIndexEqualsRebuiltIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := NewTable()
		state := map[string]*Upstream{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "host"))
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delete(state, host)
				tab.Remove(host)
				continue
			}
			u := drawUpstream(t, host)
			u.Services = rapid.SampledFrom([][]string{nil, {"s1"}, {"s1", "s2"}}).Draw(t, "services")
			state[host] = u
			tab.Update(u)
		}
		rebuilt := NewTable()
		for _, u := range state {
			rebuilt.Update(u)
		}
		assert.DeepEqual(t, indexEntries(tab.index.Load()), indexEntries(rebuilt.index.Load()))
		assert.Equal(t, tab.Len(), len(state))
	})
}

func indexEntries(x *index) map[string]bool {
	got := map[string]bool{}
	add := func(prefix string, g *group) {
		for _, c := range g.all {
			got[prefix+c.host] = true
		}
		for dc, hostRecords := range g.dataCentres {
			for _, c := range hostRecords {
				got[prefix+c.host+dc] = true
			}
		}
	}
	for _, v := range x.models["m"] {
		for _, r := range v.ranges {
			add(fmt.Sprint(v.name, r.first, r.last), r.group)
		}
	}
	for name, g := range x.services {
		add(name, g)
	}
	return got
}

// Guards against data races between selection and updates, and against a chain that
// combines layer ranges which a host never announced.
func TestSelectChain_DuringUpdates_ReturnsAnnouncedRanges(t *testing.T) {
	tab := NewTable()
	announce := func(i, first int) {
		held := []ModelShard{{Model: "m", FirstLayer: first, LastLayer: first + testLayers/2 - 1}}
		tab.Update(&Upstream{Host: fmt.Sprint("h", i), Models: held, PeerRoundTrips: map[string]time.Duration{}})
	}
	for i := range 8 {
		announce(i, i%2*testLayers/2)
	}
	var readers sync.WaitGroup
	for seed := range uint64(4) {
		readers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 0))
			for range 2000 {
				chain, err := tab.SelectChain(Requirements{Model: "m", Layers: testLayers}, rng)
				assert.Check(t, err == nil && len(chain) == 2 && chain[1].FirstLayer == testLayers/2)
			}
		})
	}
	for i := range 4000 { // two hosts of each half of the layers never change
		announce(4+i%4, (i/4+i)%2*testLayers/2)
	}
	readers.Wait()
}
