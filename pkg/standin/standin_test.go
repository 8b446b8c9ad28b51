package standin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const layers = 4

func startEngine(t testing.TB, change func(*EngineOptions)) (*Engine, string, *upstreams.Client) {
	t.Helper()
	opts := EngineOptions{
		Name: "e", ModelLayers: layers, Slots: 4, KVTokens: 1024, ChecksFencing: true,
		Models: []upstreams.ModelShard{
			{Model: "m", Version: "v", LastLayer: layers - 1}, {Model: "m", Version: "v", LastLayer: 1},
			{Model: "m", Version: "v", FirstLayer: 2, LastLayer: layers - 1},
		},
	}
	if change != nil {
		change(&opts)
	}
	e := NewEngine(opts)
	t.Cleanup(e.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := ServeEngine(e, ln)
	t.Cleanup(s.Close)
	c := upstreams.NewClient(upstreams.Options{})
	t.Cleanup(c.Close)
	return e, s.Address(), c
}

func stageOpen(session string, epoch uint64, first, last uint32) *upstreams.StageOpen {
	return &upstreams.StageOpen{
		Session: session, Epoch: epoch, Model: "m", Version: "v", FirstLayer: first, LastLayer: last, Last: last == layers-1,
	}
}

func openStage(t testing.TB, c *upstreams.Client, address string, o *upstreams.StageOpen) *upstreams.Stage {
	t.Helper()
	s, err := c.OpenStage(context.Background(), address, o, time.Minute)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond))
}

// Guards against a model whose result does not show that a layer was skipped,
// repeated or swapped: each must change every later hidden state.
func TestModel_SkippedRepeatedOrSwappedLayerChangesResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.SliceOfN(rapid.Uint32(), 2, 30).Draw(t, "prompt")
		at := rapid.IntRange(0, len(prompt)-1).Draw(t, "position")
		mode := rapid.SampledFrom([]string{"skip", "repeat", "swap"}).Draw(t, "mode")
		layer := rapid.IntRange(0, layers-2).Draw(t, "layer")
		wantKV, gotKV := make([]uint64, layers), make([]uint64, layers)
		var want, got uint64
		for p, token := range prompt {
			want = runLayers(0, wantKV, uint64(token))
			if p != at {
				got = runLayers(0, gotKV, uint64(token))
				continue
			}
			got = runFaultyLayers(gotKV, uint64(token), layer, mode)
		}
		assert.Assert(t, want != got)
	})
}

func runFaultyLayers(kv []uint64, input uint64, index int, mode string) uint64 {
	order := []int{0, 1, 2, 3}
	switch mode {
	case "skip":
		order = append(order[:index:index], order[index+1:]...)
	case "repeat":
		order = append(order[:index+1:index+1], order[index:]...)
	case "swap":
		order[index], order[index+1] = order[index+1], order[index]
	}
	for _, l := range order {
		input = runLayer(uint32(l), input, kv[l])
		kv[l] = input
	}
	return input
}

// Guards against an engine that runs a position twice, out of order or in a stale
// epoch.
func TestEngine_RejectsUnexpectedPositionsAndStaleEpochs(t *testing.T) {
	e, address, c := startEngine(t, nil)
	token := []uint32{1}
	s := openStage(t, c, address, stageOpen("s", 2, 0, 1))
	_, err := s.Step(&upstreams.StageStep{Epoch: 2, Position: 0, Tokens: token}, time.Minute)
	assert.NilError(t, err)
	_, err = s.Step(&upstreams.StageStep{Epoch: 2, Position: 0, Tokens: token}, time.Minute)
	assert.Assert(t, fault.Is(err, fault.OutOfOrder), "%v", err)
	_, err = c.OpenStage(context.Background(), address, stageOpen("s", 1, 0, 1), time.Minute)
	assert.Assert(t, fault.Is(err, fault.StaleEpoch), "%v", err)
	waitFor(t, "the slot of the rejected stage", func() bool { return e.Records().Sessions == 0 })
	_, err = c.OpenStage(context.Background(), address, stageOpen("s", 2, 0, 1), time.Minute)
	assert.Assert(t, fault.Is(err, fault.OutOfOrder), "an epoch that has ended: %v", err)
	old := openStage(t, c, address, stageOpen("s", 3, 0, 1))
	openStage(t, c, address, stageOpen("s", 4, 0, 1))
	_, err = old.Step(&upstreams.StageStep{Epoch: 3, Position: 0, Tokens: token}, time.Minute)
	assert.Assert(t, err != nil, "a replaced epoch must not run")
	assert.NilError(t, c.CancelSession(context.Background(), address, "s", 4))
	assert.Equal(t, e.Records().Cancelled, 1)
	waitFor(t, "slots of ended sessions", func() bool { return e.Records().Sessions == 0 })
	assert.Equal(t, len(e.Records().Layers), 1)
	for epoch, kind := range map[uint64]fault.Kind{5: "", 4: fault.StaleEpoch} {
		if epoch == 4 {
			assert.NilError(t, c.SendOrder(context.Background(), address, &upstreams.Order{ID: "o", OrderEpoch: 5}))
		}
		err := c.SendOrder(context.Background(), address, &upstreams.Order{ID: "o", OrderEpoch: epoch})
		assert.Equal(t, fault.KindOf(err), kind)
	}
}

// Guards against KV state that is altered by export and import.
func TestEngine_ContinuesFromImportedKVState(t *testing.T) {
	_, from, c := startEngine(t, nil)
	_, to, _ := startEngine(t, nil)
	prompt := []uint32{5, 6, 7}
	want := ReferenceTokens(prompt, layers, 0, 2)
	s := openStage(t, c, from, stageOpen("s", 1, 0, layers-1))
	line, err := s.Step(&upstreams.StageStep{Epoch: 1, Tokens: prompt}, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, line.Token, want[0])
	state, err := c.ExportKV(context.Background(), from, "s", 1)
	assert.NilError(t, err)
	assert.NilError(t, c.ImportKV(context.Background(), to, "s", 2, state))
	moved := openStage(t, c, to, stageOpen("s", 2, 0, layers-1))
	assert.Equal(t, moved.CachedTokens(), uint32(3))
	line, err = moved.Step(&upstreams.StageStep{Epoch: 2, Position: 3, Tokens: want[:1]}, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, line.Token, want[1])
}

// Guards against a prefix cache that exceeds its capacity or returns the wrong KV
// state.
func TestEngine_PrefixCacheStaysWithinLimitAndKeepsTokens(t *testing.T) {
	e, address, c := startEngine(t, func(o *EngineOptions) { o.KVTokens = 4 * upstreams.PrefixBlockTokens })
	rapid.Check(t, func(rt *rapid.T) {
		session := rapid.StringMatching(`[a-z]{16}`).Draw(rt, "session")
		prompt := make([]uint32, rapid.IntRange(1, 80).Draw(rt, "length"))
		for i := range prompt {
			prompt[i] = uint32(i / 32) // prompts share prefixes
		}
		var got []uint32
		r := &upstreams.GenerateRequest{Session: session, Epoch: 1, Model: "m", Version: "v", Prompt: prompt, MaxTokens: 3, Seed: 9}
		_, err := c.Generate(context.Background(), address, r, time.Minute, func(l *upstreams.GenerateLine) error {
			got = append(got, l.Token)
			return nil
		})
		if fault.Is(err, fault.OutOfOrder) {
			return // the session id was generated before
		}
		assert.NilError(rt, err)
		assert.DeepEqual(rt, got, ReferenceTokens(prompt, layers, 9, 3))
		assert.Assert(rt, len(e.cache.entries) <= 4)
	})
	assert.Assert(t, e.Records().CacheHits > 0)
}

// Guards against reports that do not show the loss of cache events or the age of
// the load, and against a step time that does not grow with the batch.
func TestEngine_BatchCostAndReportsOfLoadAgeAndCacheGaps(t *testing.T) {
	got := &reports{}
	agent := httptest.NewServer(upstreams.NewReceiver(got))
	defer agent.Close()
	b := newBatcher(Timing{PerStep: 3, PerSession: 5, PerPromptToken: 7}, newFaultInjector(), newRecorder(false))
	assert.Equal(t, b.cost([]*batchJob{{}, {prefill: 10}}), time.Duration(3+2*5+10*7))
	_, address, c := startEngine(t, func(o *EngineOptions) {
		o.Report = ReportOptions{
			AgentAddress: agent.Listener.Addr().String(), AnnouncementInterval: 5 * time.Millisecond, LoadInterval: 5 * time.Millisecond,
			LoadLag: 15 * time.Millisecond, DropEveryNthCacheReport: 2,
		}
	})
	for i := uint32(0); !got.complete(); i++ {
		prompt := make([]uint32, upstreams.PrefixBlockTokens)
		prompt[0] = i
		r := &upstreams.GenerateRequest{Session: time.Now().String(), Epoch: 1, Model: "m", Version: "v", Prompt: prompt, MaxTokens: 1}
		_, err := c.Generate(context.Background(), address, r, time.Minute, func(*upstreams.GenerateLine) error { return nil })
		assert.NilError(t, err)
	}
}

// Guards against an upstream that is announced only after another announcement
// interval because its agent started later.
func TestServer_AnnouncesAsSoonAsAgentListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	startEngine(t, func(o *EngineOptions) {
		o.Report = ReportOptions{AgentAddress: ln.Addr().String(), AnnouncementInterval: time.Hour}
	})
	first, err := ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, first.Close())
	got := &reports{}
	agent := &http.Server{Handler: upstreams.NewReceiver(got)}
	go func() { _ = agent.Serve(ln) }()
	defer func() { _ = agent.Close() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got.mu.Lock()
		defer got.mu.Unlock()
		if got.announced {
			return poll.Success()
		}
		return poll.Continue("the engine is not announced")
	}, poll.WithDelay(5*time.Millisecond))
}

// reports records whether an announcement, a delayed load report and a gap in the
// cache events have arrived.
type reports struct {
	mu                  sync.Mutex
	announced, lag, gap bool
	next                uint64
}

func (r *reports) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced && r.lag && r.gap
}

func (r *reports) HandleAnnouncement(a *upstreams.Announcement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = a.Slots == 4
	return nil
}

func (r *reports) HandleDeparture() {}

func (r *reports) HandleLoad(l *upstreams.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = l.AgeMs == 15
}

func (r *reports) HandleCacheEvents(c *upstreams.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap = r.gap || c.Sequence > r.next
	r.next = c.Sequence + uint64(len(c.Events))
}

// Guards against a frozen stand-in that still responds to requests other than POST
// /fault and GET /records, or that does not resume.
func TestEngine_DoesNotRespondWhileFrozen(t *testing.T) {
	e, address, c := startEngine(t, nil)
	s := openStage(t, c, address, stageOpen("s", 1, 0, 1))
	e.SetFaults(Faults{Freeze: true})
	_, err := s.Step(&upstreams.StageStep{Epoch: 1, Tokens: []uint32{1}}, 50*time.Millisecond)
	assert.ErrorContains(t, err, "silent")
	resp, err := http.Get("http://" + address + "/records")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	e.SetFaults(Faults{})
	openStage(t, c, address, stageOpen("s", 2, 0, 1))
}
