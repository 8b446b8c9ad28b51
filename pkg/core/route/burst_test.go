package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against several entries that send a burst of requests to the same chain,
// where they queue although another chain has free slots. Between two load reports
// two entries place 6 requests each; there are two chains of 8 slots, one with
// shorter links.
func TestChain_BurstOfSeveralEntriesFindsFreeSlots(t *testing.T) {
	const slots, requests = 8, 12
	tables := []*Table{NewTable(), NewTable()}
	for _, tab := range tables {
		for i := range 4 {
			first := i / 2 * 2
			tab.Update(&Upstream{
				Host:              fmt.Sprintf("h%d", i),
				DataCentre:        fmt.Sprintf("d%d", i%2), // h0 and h2 share a data centre, as do h1 and h3
				Slots:             slots,
				InterTokenLatency: 5 * time.Millisecond,
				RoundTrip:         time.Duration(1+i) * 200 * time.Microsecond,
				Models:            []ModelShard{{Model: "m", Version: "v", FirstLayer: first, LastLayer: first + 1}},
			})
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	used := map[string]int{}
	for i := range requests {
		need := Requirements{Model: "m", Layers: 4, MaxTokens: 120, DataCentre: "d0", EntryCount: len(tables)}
		chain, err := tables[i%len(tables)].SelectChain(need, rng)
		assert.NilError(t, err)
		for _, s := range chain {
			used[s.Host]++
		}
	}
	for host, n := range used {
		assert.Assert(t, n <= slots, "%s got %d requests for %d slots: %v", host, n, slots, used)
	}
}
