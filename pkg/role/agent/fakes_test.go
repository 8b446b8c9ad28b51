package agent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// fakeControl keeps claims in memory and follows the rules of the replicated
// state machine.
type fakeControl struct {
	mu           sync.Mutex
	view         *control.View
	stale        bool
	orders       control.OrderState
	claims       map[string]*fakeClaim
	released     map[string]bool
	unreachable  bool                 // every request fails without being applied
	loseAnswer   func(op string) bool // the request is applied, but its answer is lost
	resolves     int
	announced    *wirepb.Announcement
	deregistered bool
	onOrder      control.OrderHandler
}

type fakeClaim struct {
	attempt  string
	digest   string
	response *wirepb.CallResponse
	settled  bool
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		view:       &control.View{Revision: 7, Organisations: map[string]*wirepb.Entry{"o": {}}, Services: map[string]*wirepb.Entry{}},
		orders:     control.OrderState{Known: true},
		claims:     make(map[string]*fakeClaim),
		released:   make(map[string]bool),
		loseAnswer: func(string) bool { return false },
	}
}

func (f *fakeControl) View() *control.View { return f.view }

func (f *fakeControl) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale {
		return time.Time{}
	}
	return time.Now()
}

func (f *fakeControl) Orders() control.OrderState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}

func (f *fakeControl) Register(ctx context.Context, announce func() *wirepb.Announcement, changed <-chan struct{}, onOrder control.OrderHandler) {
	f.set(func() { f.onOrder = onOrder })
	for {
		f.set(func() { f.announced = announce() })
		select {
		case <-ctx.Done():
			f.set(func() { f.deregistered, f.announced = true, nil })
			return
		case <-changed:
		}
	}
}

func (f *fakeControl) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeControl) applyRequest(op string, c *wirepb.ClaimRequest, apply func(id string, known *fakeClaim) *wirepb.ClaimReply) (*wirepb.ClaimReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, fault.New(fault.Unavailable, "control is unreachable").WithOutcome(fault.MayHaveRun)
	}
	id := c.Organisation + "/" + c.Service + "/" + c.Key
	known := f.claims[id]
	reply := &wirepb.ClaimReply{Status: control.ClaimMismatch}
	if known == nil || known.digest == string(c.RequestDigest) {
		reply = apply(id, known)
	}
	if f.loseAnswer(op) {
		return nil, fault.New(fault.Unavailable, "answer lost").WithOutcome(fault.MayHaveRun)
	}
	return reply, nil
}

func claimReplyOf(known *fakeClaim) *wirepb.ClaimReply {
	switch {
	case known == nil:
		return &wirepb.ClaimReply{Status: control.ClaimAbsent}
	case known.settled:
		return &wirepb.ClaimReply{Status: control.ClaimAnswered, Attempt: known.attempt}
	case known.response != nil:
		return &wirepb.ClaimReply{Status: control.ClaimAnswered, Attempt: known.attempt, Response: known.response}
	}
	return &wirepb.ClaimReply{Status: control.ClaimPending, Attempt: known.attempt}
}

func (f *fakeControl) Claim(_ context.Context, c *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	return f.applyRequest("claim", c, func(id string, known *fakeClaim) *wirepb.ClaimReply {
		if f.released[c.Attempt] {
			return &wirepb.ClaimReply{Status: control.ClaimAbsent}
		}
		if known == nil {
			f.claims[id] = &fakeClaim{attempt: c.Attempt, digest: string(c.RequestDigest)}
			return &wirepb.ClaimReply{Status: control.ClaimWon, Attempt: c.Attempt}
		}
		return claimReplyOf(known)
	})
}

func (f *fakeControl) Resolve(_ context.Context, r *wirepb.ClaimResolve) (*wirepb.ClaimReply, error) {
	return f.applyRequest("resolve", r.Claim, func(_ string, known *fakeClaim) *wirepb.ClaimReply {
		f.resolves++
		if known != nil && known.attempt == r.Claim.Attempt && known.response == nil {
			known.response = r.Response
		}
		return claimReplyOf(known)
	})
}

func (f *fakeControl) Release(_ context.Context, c *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	return f.applyRequest("release", c, func(id string, known *fakeClaim) *wirepb.ClaimReply {
		f.released[c.Attempt] = true
		if known != nil && known.attempt == c.Attempt && known.response == nil {
			delete(f.claims, id)
			known = nil
		}
		return claimReplyOf(known)
	})
}

func (f *fakeControl) ReadClaim(ctx context.Context, c *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error) {
	limit := time.Now().Add(wait)
	for {
		reply, err := f.applyRequest("read", c, func(_ string, known *fakeClaim) *wirepb.ClaimReply { return claimReplyOf(known) })
		if err != nil || reply.Status != control.ClaimPending || !time.Now().Before(limit) || ctx.Err() != nil {
			return reply, err
		}
		delay.Wait(ctx, 5*time.Millisecond)
	}
}

// testNode is one agent with its upstream.
type testNode struct {
	agent   *Agent
	control *fakeControl
	engine  *standin.Engine
	service *standin.Service
	server  *standin.Server
	host    string
	first   uint32
	last    uint32
	ended   chan error
	stop    context.CancelFunc
}

const (
	testLayers = 9
	testSeed   = 42
)

func testSettings(t testing.TB, host string) Settings {
	t.Helper()
	text := "[process]\nhost=" + host + "\ndata_centre=dc1\n[agent]\nlisten=127.0.0.1:0\nupstream_listen=127.0.0.1:0\n" +
		"[platform]\nlisten=127.0.0.1:0\n[control]\naddresses=127.0.0.1:1\n"
	var set Settings
	assert.NilError(t, config.Parse("test", []byte(text), &set))
	return set
}

func startAgent(t testing.TB, host string, fake *fakeControl, change func(*Settings)) *testNode {
	t.Helper()
	set := testSettings(t, host)
	if change != nil {
		change(&set)
	}
	incarnation := uint64(time.Now().UnixNano())
	a := New(Options{
		Settings: set, ControlClient: fake, Incarnation: incarnation, Log: logs.Nop(),
		Link: link.Options{Identity: link.Identity{Role: Role, Host: host, Incarnation: incarnation}},
	})
	assert.NilError(t, a.Start())
	n := &testNode{agent: a, control: fake, host: host, ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); a.Close() })
	return n
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

// startEngineNode starts an agent with an engine that holds the layers first to
// last.
func startEngineNode(t testing.TB, host string, first, last uint32, change func(*Settings), engine func(*standin.EngineOptions)) *testNode {
	t.Helper()
	n := startAgent(t, host, newFakeControl(), change)
	n.first, n.last = first, last
	opts := standin.EngineOptions{
		Name: host, ModelLayers: testLayers, Slots: 16, KVTokens: 4096, ChecksFencing: true,
		Models: []upstreams.ModelShard{{Model: "m", Version: "v", FirstLayer: first, LastLayer: last}},
		Report: standin.ReportOptions{AgentAddress: n.agent.UpstreamListenAddress(), AnnouncementInterval: 50 * time.Millisecond, LoadInterval: 20 * time.Millisecond},
	}
	if engine != nil {
		engine(&opts)
	}
	n.engine = standin.NewEngine(opts)
	t.Cleanup(n.engine.Close)
	n.server = standin.ServeEngine(n.engine, listen(t))
	t.Cleanup(n.server.Close)
	n.waitAnnounced(t)
	return n
}

func startServiceNode(t testing.TB, host string, fake *fakeControl, change func(*Settings), service *standin.Service) *testNode {
	t.Helper()
	n := startAgent(t, host, fake, change)
	n.service = service
	n.server = standin.ServeService(service, listen(t))
	t.Cleanup(n.server.Close)
	announce(t, n, n.server.Address())
	return n
}

// announce announces a service that sends no heartbeats.
func announce(t testing.TB, n *testNode, address string) {
	t.Helper()
	assert.NilError(t, n.agent.upstream.HandleAnnouncement(&upstreams.Announcement{
		Name: "s", Kind: upstreams.KindService, Address: address, Services: []string{"pay"}, Slots: 64,
	}))
}

func (n *testNode) waitAnnounced(t testing.TB) {
	t.Helper()
	waitFor(t, "announcement of "+n.host, func() bool { return n.agent.upstream.currentUpstream() != nil })
}

func (n *testNode) ref() *wirepb.StageRef {
	return &wirepb.StageRef{
		Host: n.host, Address: n.agent.Address(), Incarnation: n.agent.upstream.incarnation(), FirstLayer: n.first, LastLayer: n.last,
	}
}

func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(15*time.Second))
}

func newClient(t testing.TB) *client.Client {
	t.Helper()
	pool := link.NewPool(link.Options{Identity: link.Identity{Role: "entry", Host: "e"}})
	t.Cleanup(pool.Close)
	return client.NewClient(pool)
}

func promptOfLength(words int) []uint32 {
	out := make([]uint32, words)
	for i := range out {
		out[i] = uint32(i*7919 + 3)
	}
	return out
}

func newGenerateRequest(session string, epoch uint64, prompt []uint32, tokens uint32, nodes ...*testNode) *wirepb.GenerateRequest {
	r := &wirepb.GenerateRequest{
		Session: session, Epoch: epoch, Organisation: "o", Rank: wirepb.Rank_RANK_STANDARD, Model: "m", Version: "v",
		Prompt: prompt, MaxTokens: tokens, Seed: testSeed,
	}
	for _, n := range nodes {
		r.Stages = append(r.Stages, n.ref())
	}
	return r
}

// collectTokens runs a generation and returns its tokens.
func collectTokens(ctx context.Context, c *client.Client, r *wirepb.GenerateRequest, onToken func(*wirepb.Token)) ([]uint32, *wirepb.GenerateDone, error) {
	var tokens []uint32
	done, err := c.Generate(ctx, r.Stages[0].Address, r, client.GenerateCallbacks{OnToken: func(tok *wirepb.Token) error {
		if tok.Position != uint32(len(r.Emitted)+len(tokens)) || tok.Epoch != r.Epoch || tok.Session != r.Session {
			return fault.New(fault.OutOfOrder, "position %d epoch %d", tok.Position, tok.Epoch)
		}
		tokens = append(tokens, tok.Id)
		if onToken != nil {
			onToken(tok)
		}
		return nil
	}})
	return tokens, done, err
}

// checkLayers asserts that every position of the session's epoch ran exactly
// once on this node.
func (n *testNode) checkLayers(t testing.TB, session string, epoch uint64, from, positions int) {
	t.Helper()
	seen := 0
	for _, run := range n.engine.Records().Layers {
		if run.Session != session || run.Epoch != epoch {
			continue
		}
		seen++
		assert.Equal(t, run.Runs, 1, "%s position %d", n.host, run.Position)
		assert.Equal(t, run.FirstLayer, n.first)
		assert.Equal(t, run.LastLayer, n.last)
		assert.Assert(t, int(run.Position) >= from && int(run.Position) < from+positions, "%s position %d", n.host, run.Position)
	}
	assert.Equal(t, seen, positions, "positions at %s", n.host)
}
