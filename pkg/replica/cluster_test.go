package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// register is a state machine that holds one value and the number of applied commands.
type register struct {
	mu    sync.Mutex
	value string
	count uint64
}

func (s *register) Apply(_ uint64, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = string(data)
	s.count++
	return s.count
}

func (s *register) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, s.count), s.value...), nil
}

func (s *register) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count = binary.BigEndian.Uint64(data)
	s.value = string(data[8:])
	return nil
}

func (s *register) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

func (s *register) applied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// network delivers messages between the replicas of a test.
type network struct {
	mu           sync.Mutex
	replicas     map[uint64]*Replica
	disconnected map[[2]uint64]bool // from, to
	counts       map[[2]uint64]int  // from, type
	known        map[[2]uint64]bool // from, to: pairs for which the sender knows the address
}

// sent returns how many messages of a type a replica has sent.
func (n *network) sent(id uint64, kind raft.MessageType) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[[2]uint64{id, uint64(kind)}]
}

func (n *network) deliver(from, to uint64, f func(*Replica)) {
	n.mu.Lock()
	r := n.replicas[to]
	disconnect := n.disconnected[[2]uint64{from, to}] || !n.known[[2]uint64{from, to}]
	n.mu.Unlock()
	if r != nil && !disconnect {
		f(r)
	}
}

func (n *network) set(id uint64, r *Replica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas[id] = r
}

// isolate disconnects a replica from all others, or reconnects it.
func (n *network) isolate(id uint64, disconnect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.replicas {
		n.disconnected[[2]uint64{id, other}] = disconnect
		n.disconnected[[2]uint64{other, id}] = disconnect
	}
}

// testTransport is the Transport of one replica.
type testTransport struct {
	net *network
	id  uint64
}

func (p testTransport) Send(msgs []*wirepb.RaftMessage) {
	for _, m := range msgs {
		c := proto.CloneOf(m)
		p.net.mu.Lock()
		p.net.counts[[2]uint64{p.id, uint64(m.Type)}]++
		p.net.mu.Unlock()
		p.net.deliver(p.id, m.To, func(r *Replica) { r.Step(c) })
	}
}

func (p testTransport) SendSnapshot(to *wirepb.Voter, meta *wirepb.SnapshotMeta, data []byte) {
	p.net.deliver(p.id, to.Id, func(r *Replica) {
		go func() { _ = r.InstallSnapshot(proto.CloneOf(meta), p.id, meta.SenderTerm, data) }()
	})
}

func (p testTransport) SetVoters(voters []*wirepb.Voter) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for _, v := range voters {
		p.net.known[[2]uint64{p.id, v.Id}] = true
	}
}

// cluster is a set of replicas with their state machines and directories.
type cluster struct {
	t         testing.TB
	net       *network
	dir       string
	voters    []*wirepb.Voter
	machines  map[uint64]*register
	configure func(*Options)
}

func voter(id uint64) *wirepb.Voter {
	return &wirepb.Voter{Id: id, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 7000+id)}
}

func newCluster(t testing.TB, size uint64, configure func(*Options)) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), configure: configure, machines: map[uint64]*register{},
		net: &network{replicas: map[uint64]*Replica{}, disconnected: map[[2]uint64]bool{}, counts: map[[2]uint64]int{}, known: map[[2]uint64]bool{}},
	}
	for id := uint64(1); id <= size; id++ {
		c.voters = append(c.voters, voter(id))
	}
	for _, v := range c.voters {
		c.start(v.Id, nil)
	}
	t.Cleanup(func() {
		for id := range c.machines {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) path(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

func (c *cluster) open(id uint64, change func(*Options)) (*Replica, error) {
	m := &register{}
	o := Options{
		ID: id, Dir: c.path(id), Bootstrap: c.voters, StateMachine: m,
		Transport: testTransport{net: c.net, id: id}, Log: logs.Nop(),
	}
	if c.configure != nil {
		c.configure(&o)
	}
	if change != nil {
		change(&o)
	}
	r, err := Open(o)
	if err == nil {
		c.machines[id] = m
		c.net.set(id, r)
	}
	return r, err
}

func (c *cluster) start(id uint64, change func(*Options)) *Replica {
	c.t.Helper()
	r, err := c.open(id, change)
	assert.NilError(c.t, err)
	return r
}

func (c *cluster) replica(id uint64) *Replica {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.replicas[id]
}

func (c *cluster) stop(id uint64) {
	r := c.replica(id)
	if r == nil {
		return
	}
	assert.NilError(c.t, r.Close())
	c.net.set(id, nil)
}

const testTimeout = 20 * time.Second

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(2*time.Millisecond))
}

// leader waits for a leader that is none of the given replicas.
func (c *cluster) leader(except ...uint64) *Replica {
	c.t.Helper()
	var found *Replica
	eventually(c.t, "no leader", func() bool {
		for id := range c.machines {
			r := c.replica(id)
			if r == nil || contains(except, id) {
				continue
			}
			s := r.Status()
			if s.Role == raft.Leader && s.FatalError == nil {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

func contains(ids []uint64, id uint64) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// propose proposes a value to the current leader. It returns false when the outcome is
// unknown.
func (c *cluster) propose(value string, except ...uint64) bool {
	c.t.Helper()
	ctx := testContext(c.t)
	for {
		_, err := c.leader(except...).Propose(ctx, []byte(value))
		switch {
		case err == nil:
			return true
		case fault.As(err).Outcome != fault.NotRun:
			return false
		case ctx.Err() != nil:
			c.t.Fatalf("no proposal was accepted: %v", err)
		}
	}
}

func (c *cluster) mustPropose(value string, except ...uint64) {
	c.t.Helper()
	eventually(c.t, "proposal not confirmed", func() bool { return c.propose(value, except...) })
}

func (c *cluster) waitValue(id uint64, value string) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("replica %d lacks %s", id, value), func() bool { return c.machines[id].get() == value })
}
