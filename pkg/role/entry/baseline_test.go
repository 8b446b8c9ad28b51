package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a baseline that favours some upstreams or skips a layer, which
// would make the router look better in comparisons.
func TestRoundRobin_CoversAllLayersEvenly(t *testing.T) {
	const copies, rounds = 3, 4
	s := &snapshot{view: &control.View{Upstreams: map[string]*wirepb.Announcement{}}, table: route.NewTable()}
	for stage := range 2 {
		for i := range copies {
			u := &route.Upstream{
				Host:     fmt.Sprintf("h%d-%d", stage, i),
				Models:   []route.ModelShard{{Model: "m", Version: "v", FirstLayer: 2 * stage, LastLayer: 2*stage + 1}},
				Services: []string{"orders"},
			}
			s.view.Upstreams[u.Host] = &wirepb.Announcement{Host: u.Host}
			s.table.Update(u)
		}
	}
	b := &roundRobin{}
	requirements := route.Requirements{Model: "m", Layers: 4}
	count := make(map[string]int)
	for range copies * rounds {
		chain, err := b.nextChain(s, requirements)
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 2)
		next := 0
		for _, st := range chain {
			assert.Equal(t, st.FirstLayer, next)
			next = st.LastLayer + 1
			count[st.Host]++
		}
		assert.Equal(t, next, requirements.Layers)
	}
	for host, n := range count {
		assert.Equal(t, n, rounds, host)
	}
	requirements.ExcludedHosts = map[string]bool{"h1-0": true, "h1-1": true, "h1-2": true}
	_, err := b.nextChain(s, requirements)
	assert.ErrorContains(t, err, "no upstream holds the next layers")
	up, err := b.nextService(s, "orders", requirements)
	assert.NilError(t, err)
	assert.Assert(t, !requirements.ExcludedHosts[up.Host])
	_, err = b.nextService(s, "other", requirements)
	assert.ErrorContains(t, err, "no upstream offers the service")
}
