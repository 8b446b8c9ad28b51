// Package replicalink carries Raft messages and snapshots between control replicas.
package replicalink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// peerQueueLength limits the messages queued for one replica. Raft repeats messages
	// that are dropped.
	peerQueueLength   = 1024
	peerWriteTimeout  = 2 * time.Second
	minPeerRetryDelay = 50 * time.Millisecond
	maxPeerRetryDelay = 500 * time.Millisecond
	// MaxFrameBytes is the size of the largest frame. It allows a Raft message to contain several
	// commands of the largest size.
	MaxFrameBytes = 4 << 20
)

// Transport carries messages to the other replicas. It implements
// replica.Transport.
type Transport struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	selfID uint64
	pool   *link.Pool
	log    logs.Logger
	// OnMessageDropped is called for each message that was dropped because its replica is
	// unknown or its queue is full, OnVotersChanged after a change of the voters. Both
	// must be set before the first message.
	OnMessageDropped func()
	OnVotersChanged  func([]*wirepb.Voter)
	// leaderTerm returns the term in which this replica is the leader, and false if it is
	// not.
	leaderTerm func() (uint64, bool)

	mu              sync.Mutex
	seeds           []*wirepb.Voter
	joinPeers       []*wirepb.Voter // replicas known while this one joins
	currentVoters   []*wirepb.Voter
	peers           map[uint64]*peerSender
	sendingSnapshot map[uint64]bool // replicas to which a snapshot is being sent
	isClosed        bool
}

// peerSender sends messages to one replica.
type peerSender struct {
	addr   string
	queue  chan *wirepb.Frame
	cancel context.CancelFunc
}

// NewTransport returns a transport that can send to the seeds until it learns the voters.
func NewTransport(self uint64, seeds []*wirepb.Voter, pool *link.Pool, log logs.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		ctx:              ctx,
		cancel:           cancel,
		selfID:           self,
		pool:             pool,
		log:              log,
		OnMessageDropped: func() {},
		OnVotersChanged:  func([]*wirepb.Voter) {},
		leaderTerm:       func() (uint64, bool) { return 0, false },
		seeds:            seeds,
		peers:            make(map[uint64]*peerSender),
		sendingSnapshot:  make(map[uint64]bool),
	}
	t.updatePeers(nil)
	return t
}

// SetLeaderTermFunc sets the function that returns the term in which this replica is the
// leader, and false if it is not. Until it is set, the replica is not the leader.
func (t *Transport) SetLeaderTermFunc(f func() (uint64, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderTerm = f
}

// Send queues messages. It drops a message whose queue is full.
func (t *Transport) Send(msgs []*wirepb.RaftMessage) {
	for _, m := range msgs {
		t.enqueue(m.GetTo(), &wirepb.Frame{Body: &wirepb.Frame_Raft{Raft: m}})
	}
}

// Broadcast queues a frame for every other replica.
func (t *Transport) Broadcast(f *wirepb.Frame) {
	t.mu.Lock()
	ids := make([]uint64, 0, len(t.peers))
	for id := range t.peers {
		ids = append(ids, id)
	}
	t.mu.Unlock()
	for _, id := range ids {
		t.enqueue(id, f)
	}
}

func (t *Transport) enqueue(to uint64, f *wirepb.Frame) {
	t.mu.Lock()
	p := t.peers[to]
	t.mu.Unlock()
	if p == nil {
		t.OnMessageDropped()
		return
	}
	select {
	case p.queue <- f:
	default:
		t.OnMessageDropped()
	}
}

// SetVoters updates the voters and learners that messages can be sent to.
func (t *Transport) SetVoters(voters []*wirepb.Voter) {
	t.updatePeers(voters)
	t.OnVotersChanged(voters)
}

// SetJoinPeers sets replicas that messages can be sent to while this replica joins and
// its log does not contain the voters yet.
func (t *Transport) SetJoinPeers(replicas []*wirepb.Voter) {
	t.mu.Lock()
	t.joinPeers = replicas
	voters := t.currentVoters
	t.mu.Unlock()
	t.updatePeers(voters)
}

// updatePeers starts and stops senders. The seeds remain peers, so that a joining replica
// can reply to them before its log contains the voters.
func (t *Transport) updatePeers(voters []*wirepb.Voter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := make(map[uint64]string)
	for _, v := range slices.Concat(t.seeds, t.joinPeers, voters) {
		if v.GetId() != t.selfID && v.GetPeerAddress() != "" {
			wanted[v.GetId()] = v.GetPeerAddress()
		}
	}
	t.currentVoters = voters
	for id, p := range t.peers {
		if wanted[id] != p.addr {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, addr := range wanted {
		if t.peers[id] == nil && !t.isClosed {
			t.peers[id] = t.startSender(addr)
		}
	}
}

func (t *Transport) startSender(addr string) *peerSender {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peerSender{addr: addr, queue: make(chan *wirepb.Frame, peerQueueLength), cancel: cancel}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.runSender(ctx, p)
	}()
	return p
}

// runSender keeps a stream to the replica open and writes the queued frames to it.
func (t *Transport) runSender(ctx context.Context, p *peerSender) {
	backoff := minPeerRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := t.sendOnStream(ctx, p)
		if ctx.Err() != nil {
			return
		}
		t.log.Debug("stream to replica ended", logs.Str("address", p.addr), logs.Err(err))
		t.pool.CloseSession(p.addr)
		if time.Since(started) > maxPeerRetryDelay {
			backoff = minPeerRetryDelay
		}
		delay.Wait(ctx, backoff)
		discardQueued(p.queue)
		backoff = min(2*backoff, maxPeerRetryDelay)
	}
}

// discardQueued discards frames that became stale while there was no connection.
func discardQueued(queue chan *wirepb.Frame) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendOnStream opens a stream when there is a first message to send: a replica that
// receives nothing on a new stream closes it, and writes to a stream that the peer has
// closed are lost without an error.
func (t *Transport) sendOnStream(ctx context.Context, p *peerSender) error {
	var s *wire.Stream
	defer func() {
		if s != nil {
			_ = s.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-p.queue:
			if s == nil {
				opened, err := t.pool.Open(ctx, p.addr)
				if err != nil {
					return err
				}
				s = opened
			}
			_ = s.SetDeadline(time.Now().Add(peerWriteTimeout))
			if err := s.Write(f); err != nil {
				return err
			}
		}
	}
}

// Close stops all senders and waits until they have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	t.isClosed = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}

var _ interface {
	Send([]*wirepb.RaftMessage)
	SendSnapshot(*wirepb.Voter, *wirepb.SnapshotMeta, []byte)
	SetVoters([]*wirepb.Voter)
} = (*Transport)(nil)

func writeWithTimeout(s *wire.Stream, d time.Duration, f *wirepb.Frame) error {
	_ = s.SetDeadline(time.Now().Add(d))
	if err := s.Write(f); err != nil {
		return fault.Wrap(err, fault.Unavailable, "send snapshot")
	}
	return nil
}
