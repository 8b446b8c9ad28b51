package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const benchLayers = 48

// fleet returns a table of hosts and their states. Round trips between data centres
// are a hundred times those within one. A quarter of the hosts hold the whole model
// "m"; the others hold a half, a third or a quarter of it.
func fleet(hosts, dataCentres int, rng *rand.Rand) (*Table, []*Upstream) {
	tab := NewTable()
	ups := make([]*Upstream, hosts)
	for i := range ups {
		parts := 1 + i%4
		part := rng.IntN(parts)
		size := benchLayers / parts
		ups[i] = &Upstream{
			Host:              fmt.Sprint("h", i),
			DataCentre:        fmt.Sprint("d", rng.IntN(dataCentres)),
			Models:            []ModelShard{{Model: "m", Version: "v1", FirstLayer: part * size, LastLayer: part*size + size - 1}},
			Slots:             8,
			Running:           rng.IntN(8),
			TimeToFirstToken:  time.Duration(50+rng.IntN(200)) * time.Millisecond / time.Duration(parts),
			InterTokenLatency: time.Duration(10+rng.IntN(20)) * time.Millisecond / time.Duration(parts),
			RoundTrip:         time.Millisecond,
		}
	}
	for _, u := range ups {
		u.PeerRoundTrips = map[string]time.Duration{}
		for range 8 {
			peer := ups[rng.IntN(hosts)]
			u.PeerRoundTrips[peer.Host] = benchLink(u, peer)
		}
		tab.Update(u)
	}
	return tab, ups
}

func benchLink(a, b *Upstream) time.Duration {
	if a.DataCentre == b.DataCentre {
		return 100 * time.Microsecond
	}
	return 10 * time.Millisecond
}

var fleetSizes = []int{43, 1000, 11000}

func dataCentresOf(hosts int) int {
	if hosts < 100 {
		return 3
	}
	return 14
}

func BenchmarkChain(b *testing.B) {
	for _, hosts := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", hosts), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			tab, _ := fleet(hosts, dataCentresOf(hosts), rng)
			need := Requirements{Model: "m", Layers: benchLayers, MaxTokens: 200, DataCentre: "d1", PromptPrefixes: []uint64{1, 2, 3}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := tab.SelectChain(need, rng); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Measures an update by a load report, which does not change the index.
func BenchmarkUpdateLoad(b *testing.B) { benchmarkUpdate(b, false) }

// Measures an update that changes a host's layer range, and with it the index.
func BenchmarkUpdateHoldings(b *testing.B) { benchmarkUpdate(b, true) }

func benchmarkUpdate(b *testing.B, holdings bool) {
	for _, hosts := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", hosts), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			tab, ups := fleet(hosts, dataCentresOf(hosts), rng)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				u := *ups[i%hosts]
				if holdings {
					u.Models = []ModelShard{{Model: "m", Version: "v1", FirstLayer: 0, LastLayer: i % 7}}
				}
				tab.Update(&u)
			}
		})
	}
}

// Measures the cost of selected chains relative to the cheapest chain over all
// hosts, and the percentage of the requests sent between two load reports that the
// busiest head receives, with and without counting requests sent since the report.
func BenchmarkQuality(b *testing.B) {
	for _, hosts := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				rng := rand.New(rand.NewPCG(2, 2))
				tab, ups := fleet(hosts, dataCentresOf(hosts), rng)
				need := Requirements{Model: "m", Layers: benchLayers, MaxTokens: 200, DataCentre: "d1"}
				meanCost, uncounted := choose(b, tab, need, rng, true)
				_, counted := choose(b, tab, need, rng, false)
				b.ReportMetric(meanCost/float64(need.bestOf(ups)), "cost/best")
				b.ReportMetric(uncounted, "busiest-%-uncounted")
				b.ReportMetric(counted, "busiest-%")
			}
		})
	}
}

// choose returns the mean cost of the selected chains and the percentage of them
// that went to the busiest head. If forget is set, two updates after each choice
// clear the counts of sent requests.
func choose(b *testing.B, tab *Table, need Requirements, rng *rand.Rand, forget bool) (mean, busiest float64) {
	const choices = 500
	sent := map[string]int{}
	most := 0
	for range choices {
		p := tab.index.Load().models["m"][0].chain(&need, rng)
		mean += float64(p.cost) / choices
		chain := p.stages(false)
		sent[chain[0].Host]++
		most = max(most, sent[chain[0].Host])
		for _, s := range chain {
			if forget {
				tab.Update(s.Upstream)
				tab.Update(s.Upstream)
			}
		}
	}
	return mean, 100 * float64(most) / choices
}

// Measures the shortest path over all hosts, for comparison with sampling.
func BenchmarkAllHosts(b *testing.B) {
	for _, hosts := range fleetSizes {
		b.Run(fmt.Sprintf("upstreams=%d", hosts), func(b *testing.B) {
			_, ups := fleet(hosts, dataCentresOf(hosts), rand.New(rand.NewPCG(1, 1)))
			need := Requirements{Model: "m", Layers: benchLayers, MaxTokens: 200, DataCentre: "d1"}
			for b.Loop() {
				need.bestOf(ups)
			}
		})
	}
}

// bestOf returns the cost of the cheapest chain over all hosts.
func (r *Requirements) bestOf(ups []*Upstream) time.Duration {
	nodes := make([]node, 0, len(ups))
	for first := range r.Layers {
		for _, u := range ups {
			if h := u.Models[0]; h.FirstLayer == first {
				c := candidate{hostRecord: &hostRecord{host: u.Host}, up: u, cost: r.nodeCost(u, 0)}
				nodes = append(nodes, node{candidate: c, first: first, last: h.LastLayer})
			}
		}
	}
	p := shortestPath(nodes, r)
	if p.nodes == nil {
		return math.MaxInt64
	}
	return p.cost
}
