package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	client "github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/replica"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// cluster runs control replicas on real Raft replicas and real sessions. An
// isolated replica exchanges no consensus messages with the others. A replica
// in commitsHidden receives them without the commit index.
type cluster struct {
	t      testing.TB
	voters []*wirepb.Voter
	dirs   []string
	fs     wal.FS

	mu       sync.Mutex
	replicas []*Control // nil while stopped
	isolated map[uint64]bool

	commitsHidden map[uint64]bool
}

// partitionedTransport drops messages from and to isolated replicas, and
// clears the commit index in messages to replicas in commitsHidden.
type partitionedTransport struct {
	*replicalink.Transport
	replicaID uint64
	cluster   *cluster
}

func (c partitionedTransport) Send(msgs []*wirepb.RaftMessage) {
	var pass []*wirepb.RaftMessage
	for _, m := range msgs {
		if !c.cluster.connected(c.replicaID, m.To) {
			continue
		}
		if c.cluster.hidesCommits(m.To) {
			m = proto.CloneOf(m)
			m.Commit = 0
		}
		pass = append(pass, m)
	}
	c.Transport.Send(pass)
}

func (c partitionedTransport) SendSnapshot(to *wirepb.Voter, meta *wirepb.SnapshotMeta, data []byte) {
	if c.cluster.connected(c.replicaID, to.Id) {
		c.Transport.SendSnapshot(to, meta, data)
	}
}

func (c *cluster) connected(a, b uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isolated[a] && !c.isolated[b]
}

func (c *cluster) hidesCommits(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commitsHidden[id]
}

func (c *cluster) hideCommits(id uint64, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commitsHidden[id] = on
}

func (c *cluster) isolate(id uint64, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = on
}

// unsyncedFS is the real file system without syncs, for tests whose limits of time leave no
// room for those of a slow disk.
type unsyncedFS struct{ wal.OS }

type unsyncedFile struct{ wal.File }

func (unsyncedFile) Sync() error { return nil }

func (f unsyncedFS) Create(name string) (wal.File, error) { return withoutSyncs(f.OS.Create(name)) }

func (f unsyncedFS) Append(name string) (wal.File, error) { return withoutSyncs(f.OS.Append(name)) }

func (unsyncedFS) SyncDir(string) error { return nil }

func withoutSyncs(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return unsyncedFile{file}, nil
}

func startCluster(t testing.TB, size int) *cluster {
	t.Helper()
	return startClusterOn(t, size, wal.OS{})
}

func startClusterOn(t testing.TB, size int, fs wal.FS) *cluster {
	t.Helper()
	c := &cluster{t: t, fs: fs, replicas: make([]*Control, size), isolated: make(map[uint64]bool), commitsHidden: make(map[uint64]bool)}
	var listeners []net.Listener
	for i := range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, ln)
		c.dirs = append(c.dirs, t.TempDir())
		c.voters = append(c.voters, &wirepb.Voter{
			Id: uint64(i + 1), PeerAddress: ln.Addr().String(), AdminAddress: fmt.Sprintf("admin-%d", i+1), Host: fmt.Sprintf("c%d", i+1)})
	}
	for i, ln := range listeners {
		c.start(i, ln)
	}
	t.Cleanup(func() {
		for i := range c.replicas {
			c.stop(i)
		}
	})
	c.waitUntil("a leader", func() bool { return c.leader() >= 0 })
	return c
}

func (c *cluster) start(i int, ln net.Listener) {
	c.t.Helper()
	if ln == nil {
		var err error
		ln, err = net.Listen("tcp", c.voters[i].PeerAddress)
		assert.NilError(c.t, err)
	}
	id := c.voters[i].Id
	m, err := Start(Options{
		ID:       id,
		Host:     c.voters[i].Host,
		Listener: ln,
		Link:     link.Options{Identity: link.Identity{Role: roleControl, Host: c.voters[i].Host}},
		Seeds:    c.voters,
		Log:      logs.Nop(),
		OpenNode: func(m *StateMachine, t *replicalink.Transport) (Node, error) {
			r, err := replica.Open(replica.Options{
				ID: id, Dir: c.dirs[i], Bootstrap: c.voters, StateMachine: m,
				Transport: partitionedTransport{t, id, c}, Log: logs.Nop(), FS: c.fs, SnapshotEntries: 200,
			})
			return replicaNode{r}, err
		},
	})
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas[i] = m
}

// replica returns the replica with index i, or nil while it is stopped.
func (c *cluster) replica(i int) *Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[i]
}

func (c *cluster) stop(i int) {
	c.mu.Lock()
	m := c.replicas[i]
	c.replicas[i] = nil
	c.mu.Unlock()
	if m != nil {
		assert.Check(c.t, m.Close())
	}
}

// leader returns the index of the leading replica, or -1.
func (c *cluster) leader() int {
	best, term := -1, uint64(0)
	for i, m := range c.replicas {
		if m == nil {
			continue
		}
		if s := m.node.Status(); s.Leader == s.ID && s.Term > term {
			best, term = i, s.Term
		}
	}
	return best
}

func (c *cluster) waitUntil(what string, cond func() bool) {
	c.t.Helper()
	waitUntil(c.t, what, cond)
}

func waitUntil(t testing.TB, what string, cond func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}
	poll.WaitOn(t, check, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func (c *cluster) client(role, host string) *client.Client {
	c.t.Helper()
	var addresses []string
	for _, v := range c.voters {
		addresses = append(addresses, v.PeerAddress)
	}
	k := client.NewClient(client.Options{
		Addresses: addresses, Role: role, Host: host, WatchUpstreams: role == roleEntry, Log: logs.Nop(),
		Link: link.Options{Identity: link.Identity{Role: role, Host: host}},
	})
	c.t.Cleanup(k.Close)
	return k
}

// run keeps the client watching until the test ends.
func (c *cluster) run(k *client.Client) *client.Client {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	c.t.Cleanup(func() { cancel(); <-done })
	return k
}

func serviceEntry(name, owner string) operators.Entry {
	return operators.Entry{Value: &wirepb.Entry{Kind: "service", Name: name, Owner: owner, Service: &wirepb.ServiceSpec{}}}
}

func changeRequest(base uint64, request, owner string) *operators.ChangeRequest {
	return &operators.ChangeRequest{BaseRevision: base, RequestID: request, Put: []operators.Entry{serviceEntry("pay", owner)}}
}

func background(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}
