// Package replicalink carries consensus messages and snapshots between control
// replicas.
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
	// peerQueue bounds the messages that wait for one replica. Consensus
	// repeats what is dropped.
	peerQueue    = 1024
	peerWrite    = 2 * time.Second
	peerRetry    = 50 * time.Millisecond
	peerRetryMax = 500 * time.Millisecond
	// MaxFrame lets a raft message carry several commands of the
	// largest size.
	MaxFrame = 4 << 20
)

// Transport carries messages to the other replicas. It implements
// replica.Transport.
type Transport struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	self   uint64
	pool   *link.Pool
	log    logs.Logger
	// Dropped is called for each message that was not queued, OnVoters after a
	// change of the voters. Both are set before the first message.
	Dropped  func()
	OnVoters func([]*wirepb.Voter)
	// leaderTerm returns the term in which this replica leads.
	leaderTerm func() (uint64, bool)

	mu       sync.Mutex
	seeds    []*wirepb.Voter
	joining  []*wirepb.Voter // known while this replica joins
	followed []*wirepb.Voter
	peers    map[uint64]*peerSender
	sending  map[uint64]bool // replicas that a snapshot is being sent to
	isClosed bool
}

// peerSender writes the messages for one replica.
type peerSender struct {
	addr   string
	queue  chan *wirepb.Frame
	cancel context.CancelFunc
}

// NewTransport returns a transport that knows the seeds until it learns the
// voters.
func NewTransport(self uint64, seeds []*wirepb.Voter, pool *link.Pool, log logs.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		ctx:        ctx,
		cancel:     cancel,
		self:       self,
		pool:       pool,
		log:        log,
		Dropped:    func() {},
		OnVoters:   func([]*wirepb.Voter) {},
		leaderTerm: func() (uint64, bool) { return 0, false },
		seeds:      seeds,
		peers:      make(map[uint64]*peerSender),
		sending:    make(map[uint64]bool),
	}
	t.follow(nil)
	return t
}

// SetLeaderTerm is called once the node runs.
func (t *Transport) SetLeaderTerm(f func() (uint64, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderTerm = f
}

// Send queues messages. A message for a full queue is dropped.
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
		t.Dropped()
		return
	}
	select {
	case p.queue <- f:
	default:
		t.Dropped()
	}
}

// SetVoters follows a change of the voters and learners.
func (t *Transport) SetVoters(voters []*wirepb.Voter) {
	t.follow(voters)
	t.OnVoters(voters)
}

// Know adds replicas that messages may go to before the log names them, as for
// a replica that joins.
func (t *Transport) Know(replicas []*wirepb.Voter) {
	t.mu.Lock()
	t.joining = replicas
	followed := t.followed
	t.mu.Unlock()
	t.follow(followed)
}

// follow starts and stops senders. Seeds stay known, because a replica that
// joins receives messages before it learns the voters.
func (t *Transport) follow(voters []*wirepb.Voter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := make(map[uint64]string)
	for _, v := range slices.Concat(t.seeds, t.joining, voters) {
		if v.GetId() != t.self && v.GetPeerAddress() != "" {
			wanted[v.GetId()] = v.GetPeerAddress()
		}
	}
	t.followed = voters
	for id, p := range t.peers {
		if wanted[id] != p.addr {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, addr := range wanted {
		if t.peers[id] == nil && !t.isClosed {
			t.peers[id] = t.start(addr)
		}
	}
}

func (t *Transport) start(addr string) *peerSender {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peerSender{addr: addr, queue: make(chan *wirepb.Frame, peerQueue), cancel: cancel}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.run(ctx, p)
	}()
	return p
}

// run keeps one stream to the replica and writes the queue to it.
func (t *Transport) run(ctx context.Context, p *peerSender) {
	backoff := peerRetry
	for ctx.Err() == nil {
		started := time.Now()
		err := t.stream(ctx, p)
		if ctx.Err() != nil {
			return
		}
		t.log.Debug("stream to replica ended", logs.Str("address", p.addr), logs.Err(err))
		t.pool.CloseSession(p.addr)
		if time.Since(started) > peerRetryMax {
			backoff = peerRetry
		}
		delay.Wait(ctx, backoff)
		drain(p.queue)
		backoff = min(2*backoff, peerRetryMax)
	}
}

// drain drops messages that became stale while there was no connection.
func drain(queue chan *wirepb.Frame) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// stream opens a stream with the first message: a replica that hears nothing on
// a new stream closes it, and writes to a stream that the peer closed are lost
// without an error.
func (t *Transport) stream(ctx context.Context, p *peerSender) error {
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
			_ = s.SetDeadline(time.Now().Add(peerWrite))
			if err := s.Write(f); err != nil {
				return err
			}
		}
	}
}

// Close ends all senders.
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

func writeWithin(s *wire.Stream, d time.Duration, f *wirepb.Frame) error {
	_ = s.SetDeadline(time.Now().Add(d))
	if err := s.Write(f); err != nil {
		return fault.Wrap(err, fault.Unavailable, "send snapshot")
	}
	return nil
}
