package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// A lost link must be reported as slow. If it were not reported, entries would
// assume a fast one.
func TestPeerSet_LostLinkIsReported(t *testing.T) {
	pool := link.NewPool(link.Options{})
	defer pool.Close()
	p := newPeerSet(pool, time.Now)
	ref := &wirepb.StageRef{Host: "host2", Address: "127.0.0.1:1"} // refuses connections
	p.markUsed(ref)
	assert.Equal(t, len(p.links()), 0)
	p.ping(context.Background(), ref.Address, p.peers[ref.Address])
	links := p.links()
	assert.Equal(t, len(links), 1)
	assert.Equal(t, time.Duration(links[0].RoundTripUs)*time.Microsecond, peerTimeout)
}
