package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a baseline that prefers some upstreams or leaves out a layer,
// which would flatter the router that is compared with it.
func TestRoundRobin(t *testing.T) {
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
	need := route.Requirements{Model: "m", Layers: 4}
	count := make(map[string]int)
	for range copies * rounds {
		chain, err := b.chain(s, need)
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 2)
		next := 0
		for _, st := range chain {
			assert.Equal(t, st.FirstLayer, next)
			next = st.LastLayer + 1
			count[st.Host]++
		}
		assert.Equal(t, next, need.Layers)
	}
	for host, n := range count {
		assert.Equal(t, n, rounds, host)
	}
	need.ExcludedHosts = map[string]bool{"h1-0": true, "h1-1": true, "h1-2": true}
	_, err := b.chain(s, need)
	assert.ErrorContains(t, err, "no upstream holds the next layers")
	up, err := b.service(s, "orders", need)
	assert.NilError(t, err)
	assert.Assert(t, !need.ExcludedHosts[up.Host])
	_, err = b.service(s, "other", need)
	assert.ErrorContains(t, err, "no upstream offers the service")
}
