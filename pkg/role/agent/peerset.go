package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	pingInterval = 250 * time.Millisecond
	// peerTimeout is the time after which the session to a peer without a ping
	// answer is dropped, which ends all its streams.
	peerTimeout = time.Second
	// peerIdleTimeout is the time after which an unused peer is no longer
	// pinged.
	peerIdleTimeout = time.Minute
	maxPeers        = 64
)

// peerSet measures the round-trip times to the agents of next stages and drops
// the sessions to agents that do not answer.
type peerSet struct {
	pool *link.Pool
	now  func() time.Time

	mu    sync.Mutex
	peers map[string]*peer // by address
}

type peer struct {
	host        string
	lastUsed    time.Time
	roundTrip   time.Duration
	unreachable bool // the last ping failed
	pinging     bool
}

func newPeerSet(pool *link.Pool, now func() time.Time) *peerSet {
	return &peerSet{pool: pool, now: now, peers: make(map[string]*peer)}
}

// markUsed records that the peer is in use. It ignores new peers beyond
// maxPeers.
func (p *peerSet) markUsed(ref *wirepb.StageRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.peers[ref.Address]
	if target == nil {
		if len(p.peers) >= maxPeers {
			return
		}
		target = &peer{}
		p.peers[ref.Address] = target
	}
	target.host = ref.Host
	target.lastUsed = p.now()
}

// links returns the measured round-trip times. An unreachable peer is reported
// with peerTimeout, because entries would assume a fast link to a peer without
// a measurement.
func (p *peerSet) links() []*wirepb.PeerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*wirepb.PeerLink
	for _, target := range p.peers {
		roundTrip := target.roundTrip
		if target.unreachable {
			roundTrip = peerTimeout
		}
		if roundTrip > 0 {
			out = append(out, &wirepb.PeerLink{Host: target.host, RoundTripUs: uint32(roundTrip / time.Microsecond)})
		}
	}
	return out
}

// run pings the peers until ctx ends.
func (p *peerSet) run(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.pingAll(ctx)
		}
	}
}

func (p *peerSet) pingAll(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, target := range p.peers {
		if p.now().Sub(target.lastUsed) > peerIdleTimeout {
			delete(p.peers, addr)
			continue
		}
		if !target.pinging {
			target.pinging = true
			go p.ping(ctx, addr, target)
		}
	}
}

func (p *peerSet) ping(ctx context.Context, addr string, target *peer) {
	dropTimer := time.AfterFunc(peerTimeout, func() { p.pool.CloseSession(addr) })
	defer dropTimer.Stop()
	var roundTrip time.Duration
	s, err := p.pool.Session(ctx, addr)
	if err == nil {
		roundTrip, err = s.MeasureRTT()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	target.pinging = false
	target.unreachable = err != nil
	if err != nil {
		target.roundTrip = 0 // the next answer starts a new average
		return
	}
	target.roundTrip = smoothRoundTrip(target.roundTrip, roundTrip)
}

// smoothRoundTrip returns the exponentially weighted moving average of
// round-trip times, with weight 1/4 for the new sample.
func smoothRoundTrip(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/4
}
