package control

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// fakeReplica answers watches with a full state at a settable revision.
type fakeReplica struct {
	server   *link.Server
	revision atomic.Uint64
	silent   atomic.Bool
	watches  atomic.Int64
	claims   atomic.Int64
}

func startReplica(t *testing.T, revision uint64) *fakeReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &fakeReplica{}
	r.revision.Store(revision)
	r.server = link.NewServer(ln, link.Options{}, r.serve, nil)
	t.Cleanup(func() { _ = r.server.Close() })
	return r
}

func (r *fakeReplica) serve(_ link.Identity, s *wire.Stream) {
	defer s.Close()
	for {
		f, err := s.Read()
		if err != nil {
			return
		}
		if r.silent.Load() {
			continue
		}
		switch {
		case f.GetWatch() != nil:
			r.watches.Add(1)
			_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_WatchEvent{WatchEvent: r.full()}})
		case f.GetPing() != nil:
			cur := &wirepb.Current{Sequence: f.GetPing().Sequence, Revision: r.revision.Load()}
			_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_Current{Current: cur}})
		case f.GetClaim() != nil:
			r.claims.Add(1)
			reply := &wirepb.ClaimReply{Status: ClaimWon, Attempt: f.GetClaim().Attempt}
			_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_ClaimReply{ClaimReply: reply}})
		}
	}
}

func (r *fakeReplica) full() *wirepb.WatchEvent {
	org := &wirepb.Entry{Kind: KindOrganisation, Name: "o", Organisation: &wirepb.OrganisationSpec{KeySha256: []string{"k"}}}
	return &wirepb.WatchEvent{Revision: r.revision.Load(), Full: true, Entries: []*wirepb.Entry{org}, UpstreamsFull: true}
}

func runClient(t *testing.T, replicas ...*fakeReplica) *Client {
	t.Helper()
	var addresses []string
	for _, r := range replicas {
		addresses = append(addresses, r.server.Address())
	}
	c := NewClient(Options{Addresses: addresses, Log: logs.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against a configuration that reverts when a watcher switches to a
// replica that is behind the one it watched before.
func TestClient_NeverAppliesLowerRevision(t *testing.T) {
	behind, ahead := startReplica(t, 5), startReplica(t, 9)
	c := runClient(t, behind, ahead)
	waitUntil(t, "revision 9", func() bool {
		if v := c.View(); v != nil && v.Revision == 5 {
			behind.silent.Store(true)
		}
		return c.View() != nil && c.View().Revision == 9
	})
	behind.silent.Store(false)
	before := behind.watches.Load()
	ahead.silent.Store(true)
	waitUntil(t, "a watch on the replica behind", func() bool { return behind.watches.Load() > before })
	assert.Equal(t, c.View().Revision, uint64(9))
	assert.Assert(t, c.View().OrganisationsByKey["k"] != nil)
}

// Guards against a watcher that counts its view as current while its replica
// is silent.
func TestClient_SilentReplicaDoesNotConfirm(t *testing.T) {
	r := startReplica(t, 1)
	c := runClient(t, r)
	waitUntil(t, "a confirmation", func() bool { return !c.Confirmed().IsZero() })
	r.silent.Store(true)
	silentAt := time.Now()
	waitUntil(t, "two more attempts", func() bool { return time.Since(silentAt) > 2*silenceTimeout })
	assert.Assert(t, c.Confirmed().Before(silentAt.Add(pingInterval)))
}

// Guards against a claim that fails while another replica could answer it.
func TestClient_ClaimTriesOtherReplica(t *testing.T) {
	silent, good := startReplica(t, 1), startReplica(t, 1)
	silent.silent.Store(true)
	c := NewClient(Options{Addresses: []string{silent.server.Address(), good.server.Address()}, Log: logs.Nop()})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := c.Claim(ctx, &wirepb.ClaimRequest{Attempt: "a"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, ClaimWon)
	good.silent.Store(true)
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Claim(short, &wirepb.ClaimRequest{Attempt: "b"})
	assert.Assert(t, fault.Is(err, fault.Unavailable))
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
}

// Guards against a delayed announcement of an earlier incarnation that
// replaces the present one.
func TestView_KeepsHigherIncarnation(t *testing.T) {
	v, err := emptyView().withEvent(&wirepb.WatchEvent{Upstreams: []*wirepb.Announcement{{Host: "h", Incarnation: 2}}})
	assert.NilError(t, err)
	v, err = v.withEvent(&wirepb.WatchEvent{Upstreams: []*wirepb.Announcement{{Host: "h", Incarnation: 1}}})
	assert.NilError(t, err)
	assert.Equal(t, v.Upstreams["h"].Incarnation, uint64(2))
}

// Guards against a view built from an event whose parts have not all arrived.
func TestWatch_PublishesOnlyCompleteEvents(t *testing.T) {
	c := NewClient(Options{Log: logs.Nop()})
	defer c.Close()
	w := newWatch(c, "")
	part := func(name string, more bool) *wirepb.WatchEvent {
		e := &wirepb.Entry{Kind: KindModel, Name: name}
		return &wirepb.WatchEvent{Revision: 3, Full: name == "a", Entries: []*wirepb.Entry{e}, More: more}
	}
	assert.NilError(t, w.apply(part("a", true)))
	assert.NilError(t, w.apply(part("b", true)))
	assert.Assert(t, c.View() == nil)
	_, err := w.mergeParts(&wirepb.WatchEvent{Revision: 4})
	assert.Assert(t, fault.Is(err, fault.Protocol))
	ev, err := w.mergeParts(part("c", false))
	assert.NilError(t, err)
	assert.Equal(t, len(ev.Entries), 3)
	assert.Assert(t, ev.Full)
}

// Guards against a resumed upstream that is drained again because a replica
// repeats the order state of an earlier registration.
func TestClient_IgnoresOlderOrderState(t *testing.T) {
	calls := 0
	c := NewClient(Options{Log: logs.Nop(), OnOrderState: func() { calls++ }})
	defer c.Close()
	tell := func(read bool, epoch uint64, drained bool) OrderState {
		c.updateOrderState(&wirepb.HeartbeatReply{OrderEpochRead: read, OrderEpoch: epoch, Drained: drained})
		return c.Orders()
	}
	assert.Equal(t, tell(false, 9, true), OrderState{})
	assert.Equal(t, tell(true, 0, false), OrderState{Known: true})
	assert.Equal(t, tell(true, 2, false), OrderState{Known: true, OrderEpoch: 2})
	assert.Equal(t, tell(true, 1, true), OrderState{Known: true, OrderEpoch: 2})
	assert.Equal(t, calls, 2)
}
