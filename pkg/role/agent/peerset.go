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
	// peerSilence is the time after which a peer that answers no ping is given
	// up, which ends every stream to it.
	peerSilence = time.Second
	// peerIdle is the time after which an unused peer is no longer measured.
	peerIdle = time.Minute
	maxPeers = 64
)

// peerSet measures the round trips to the agents of next stages and drops the
// sessions to those that fall silent.
type peerSet struct {
	pool *link.Pool
	now  func() time.Time

	mu    sync.Mutex
	peers map[string]*peer // by address
}

type peer struct {
	host      string
	used      time.Time
	roundTrip time.Duration
	lost      bool // the last ping failed
	pinging   bool
}

func newPeerSet(pool *link.Pool, now func() time.Time) *peerSet {
	return &peerSet{pool: pool, now: now, peers: make(map[string]*peer)}
}

// use marks a peer as in use.
func (p *peerSet) use(ref *wirepb.StageRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[ref.Address]
	if known == nil {
		if len(p.peers) >= maxPeers {
			return
		}
		known = &peer{}
		p.peers[ref.Address] = known
	}
	known.host = ref.Host
	known.used = p.now()
}

// links returns the measured round trips. A lost link counts as slow as the
// silence that gave it up: without a figure, entries would assume a good one.
func (p *peerSet) links() []*wirepb.PeerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*wirepb.PeerLink
	for _, known := range p.peers {
		roundTrip := known.roundTrip
		if known.lost {
			roundTrip = peerSilence
		}
		if roundTrip > 0 {
			out = append(out, &wirepb.PeerLink{Host: known.host, RoundTripUs: uint32(roundTrip / time.Microsecond)})
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
	for addr, known := range p.peers {
		if p.now().Sub(known.used) > peerIdle {
			delete(p.peers, addr)
			continue
		}
		if !known.pinging {
			known.pinging = true
			go p.ping(ctx, addr, known)
		}
	}
}

func (p *peerSet) ping(ctx context.Context, addr string, known *peer) {
	silence := time.AfterFunc(peerSilence, func() { p.pool.Drop(addr) })
	defer silence.Stop()
	var roundTrip time.Duration
	s, err := p.pool.Session(ctx, addr)
	if err == nil {
		roundTrip, err = s.RoundTrip()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known.pinging = false
	known.lost = err != nil
	if err != nil {
		known.roundTrip = 0 // the average starts anew with the next answer
		return
	}
	known.roundTrip = smooth(known.roundTrip, roundTrip)
}

// smooth averages round trips, recent ones most.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/4
}
