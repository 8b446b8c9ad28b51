package agent

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func startChain(t testing.TB, change func(*Settings), engine func(*standin.EngineOptions)) []*node {
	t.Helper()
	return []*node{
		startEngineNode(t, "a", 0, 2, change, engine),
		startEngineNode(t, "b", 3, 5, change, engine),
		startEngineNode(t, "c", 6, 8, change, engine),
	}
}

// Guards against a layer that is skipped, repeated or run out of order, and
// against an engine's own loop that differs from a chain.
func TestGenerate_ChainAndWholeModelMatchReference(t *testing.T) {
	nodes := startChain(t, func(s *Settings) { s.PrefillChunk = 16 }, nil)
	whole := startEngineNode(t, "w", 0, testLayers-1, nil, nil)
	c := newClient(t)
	for i, size := range []int{1, 15, 16, 17, 100} {
		p := prompt(size)
		want := standin.Reference(p, testLayers, testSeed, 20)
		name := "s" + string(rune('0'+i))
		got, done, err := collect(context.Background(), c, request(name, 1, p, 20, nodes...), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, done.CompletionTokens, uint32(20))
		cached := int(done.CachedTokens)
		for _, n := range nodes {
			n.checkLayers(t, name, 1, cached, size+19-cached)
		}
		got, _, err = collect(context.Background(), c, request(name, 1, p, 20, whole), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// Guards against a replay that repeats, skips or changes tokens, or runs a
// layer of the older epoch again.
func TestGenerate_FailureNamesStageAndReplayContinues(t *testing.T) {
	const tokens = 30
	for _, mode := range []string{"die", "freeze"} {
		for stage := range 3 {
			t.Run(mode+string(rune('0'+stage)), func(t *testing.T) {
				quick := func(s *Settings) { s.StepTimeout = 300 * 1e6; s.PrefillTimeout = 1e6 }
				nodes := startChain(t, quick, nil)
				spare := startEngineNode(t, "spare", nodes[stage].first, nodes[stage].last, quick, nil)
				p := prompt(20)
				want := standin.Reference(p, testLayers, testSeed, tokens)
				c := newClient(t)
				broken := nodes[stage]
				got, _, err := collect(context.Background(), c, request("s", 1, p, tokens, nodes...), func(tok *wirepb.Token) {
					if tok.Position != 4 {
						return
					}
					if mode == "die" {
						broken.engine.Die()
						return
					}
					broken.engine.SetFaults(standin.Faults{Freeze: true})
				})
				f := fault.As(err)
				assert.Assert(t, f != nil, "the generation must fail")
				assert.Equal(t, f.FailedStage, stage, "%v", f)
				assert.Equal(t, int(f.Position), len(got))
				nodes[stage] = spare
				replay := request("s", 2, p, uint32(tokens-len(got)), nodes...)
				replay.Emitted = got
				rest, done, err := collect(context.Background(), c, replay, nil)
				assert.NilError(t, err)
				cached := int(done.CachedTokens)
				for _, n := range nodes {
					n.checkLayers(t, "s", 2, cached, len(p)+tokens-1-cached)
				}
				assert.DeepEqual(t, append(got, rest...), want)
				stale := request("s", 1, p, tokens, nodes...)
				_, _, err = collect(context.Background(), c, stale, nil)
				assert.Assert(t, fault.Is(err, fault.StaleEpoch), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			})
		}
	}
}

// Guards against a chain that hangs when the agent of a stage is gone, and
// against blame on the stage that only waited.
func TestGenerate_LostAgentIsBlamed(t *testing.T) {
	nodes := startChain(t, nil, nil)
	c := newClient(t)
	got, _, err := collect(context.Background(), c, request("s", 1, prompt(20), 1000, nodes...), func(tok *wirepb.Token) {
		if tok.Position == 4 {
			go nodes[2].agent.Close()
		}
	})
	f := fault.As(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.FailedStage, 2, "%v", f)
	assert.Equal(t, int(f.Position), len(got))
}

// Guards against a cancelled request that keeps its slot at an agent or at an
// engine, and against a queued one that still runs.
func TestGenerate_CancelFreesSlots(t *testing.T) {
	slow := func(o *standin.EngineOptions) { o.Slots = 1; o.Timing.Step = time.Millisecond }
	nodes := startChain(t, nil, slow)
	whole := startEngineNode(t, "w", 0, testLayers-1, nil, slow)
	c := newClient(t)
	for name, chain := range map[string][]*node{"chain": nodes, "whole": {whole}} {
		ctx, cancel := context.WithCancel(context.Background())
		queued, stopQueued := context.WithCancel(context.Background())
		queuedEnded := make(chan error, 1)
		_, _, err := collect(ctx, c, request(name, 1, prompt(5), 100000, chain...), func(tok *wirepb.Token) {
			switch tok.Position {
			case 2:
				go func() {
					_, _, err := collect(queued, c, request(name+"-queued", 1, prompt(5), 10, chain...), nil)
					queuedEnded <- err
				}()
				waitFor(t, "queued request", func() bool { return chain[0].agent.queue.load().Ranks[1].Queued == 1 })
				stopQueued()
				waitFor(t, "removal from the queue", func() bool { return chain[0].agent.queue.load().Ranks[1].Queued == 0 })
				cancel()
			}
		})
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Assert(t, fault.Is(<-queuedEnded, fault.Cancelled))
		for _, n := range chain {
			waitFor(t, "free slots at "+n.host, func() bool {
				return n.agent.queue.load().Running == 0 && n.engine.Records().Sessions == 0 && n.agent.lifecycle.InFlight() == 0
			})
			for _, run := range n.engine.Records().Layers {
				assert.Assert(t, run.Session != name+"-queued", "a cancelled request ran")
			}
		}
	}
}

// Guards against a shutdown that interrupts work in progress or takes new work.
func TestRun_DrainFinishesWork(t *testing.T) {
	slow := func(o *standin.EngineOptions) { o.Slots = 1; o.Timing.Step = 2 * time.Millisecond }
	nodes := startChain(t, nil, slow)
	c := newClient(t)
	want := standin.Reference(prompt(5), testLayers, testSeed, 50)
	queued := make(chan error, 1)
	got, _, err := collect(context.Background(), c, request("s", 1, prompt(5), 50, nodes...), func(tok *wirepb.Token) {
		if tok.Position != 3 {
			return
		}
		go func() {
			tokens, _, err := collect(context.Background(), c, request("queued", 1, prompt(5), 50, nodes...), nil)
			if err == nil && !slices.Equal(tokens, want) {
				err = fault.New(fault.Internal, "queued request has wrong tokens")
			}
			queued <- err
		}()
		waitFor(t, "queued request", func() bool { return nodes[0].agent.queue.load().Ranks[1].Queued == 1 })
		nodes[0].stop()
		waitFor(t, "draining", func() bool { return nodes[0].agent.CurrentLoad().Draining })
		_, _, err := collect(context.Background(), c, request("new", 1, prompt(5), 5, nodes...), nil)
		assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, <-queued)
	assert.NilError(t, <-nodes[0].ended)
	assert.Assert(t, nodes[0].control.left)
}

// Guards against new work for an upstream that is gone: its announcement must
// end when heartbeats stop, when it refuses connections and when it leaves.
func TestUpstream_AnnouncementWithdrawn(t *testing.T) {
	quick := func(s *Settings) { s.UpstreamSilence = 300 * time.Millisecond }
	n := startEngineNode(t, "a", 0, testLayers-1, quick, nil)
	announced := func() bool {
		n.control.mu.Lock()
		defer n.control.mu.Unlock()
		return n.control.announced != nil
	}
	waitFor(t, "announcement", announced)
	n.engine.SetFaults(standin.Faults{Freeze: true})
	waitFor(t, "withdrawal after silence", func() bool { return !announced() })
	_, _, err := collect(context.Background(), newClient(t), request("s", 1, prompt(5), 5, n), nil)
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	n.engine.SetFaults(standin.Faults{})
	waitFor(t, "announcement after the thaw", announced)
	n.engine.Die()
	waitFor(t, "withdrawal after death", func() bool { return !announced() })
}

// Guards against a chain that waits for a host that is frozen or cut off: its
// sessions stay open and no connection is refused.
func TestGenerate_FrozenAgentIsBlamed(t *testing.T) {
	h := startHelper(t, helperTask{Chain: []helperEngine{{First: 3, Last: 5, Slots: 16}}})
	first := startEngineNode(t, "a", 0, 2, nil, nil)
	last := startEngineNode(t, "c", 6, 8, nil, nil)
	r := request("s", 1, prompt(20), 100000, first, first, last)
	r.Stages[1] = &wirepb.StageRef{Host: "h0", Address: h.word(t, "address"), FirstLayer: 3, LastLayer: 5}
	defer func() { _ = h.process.Signal(syscall.SIGCONT) }()
	var frozen time.Time
	_, _, err := collect(context.Background(), newClient(t), r, func(tok *wirepb.Token) {
		if tok.Position == 4 {
			frozen = time.Now()
			assert.Check(t, h.process.Signal(syscall.SIGSTOP))
		}
	})
	f := fault.As(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.FailedStage, 1, "%v", f)
	t.Logf("blamed after %v", time.Since(frozen))
	waitFor(t, "free slots", func() bool {
		return first.engine.Records().Sessions == 0 && first.agent.queue.load().Running == 0
	})
}

// Guards against a stage that runs a step of another position or epoch.
func TestStage_RefusesPositionAndEpoch(t *testing.T) {
	n := startEngineNode(t, "a", 6, 8, nil, nil)
	c := newClient(t)
	open := &wirepb.StageOpen{Session: "s", Epoch: 2, Model: "m", Version: "v", Index: 2, Stages: []*wirepb.StageRef{n.ref()}}
	timeouts := client.StageTimeouts{Ready: time.Minute, Result: time.Minute}
	hidden := [][]byte{make([]byte, 8)}
	for name, step := range map[string]*wirepb.StageStep{
		"position": {Epoch: 2, Position: 1, Hidden: hidden},
		"epoch":    {Epoch: 1, Position: 0, Hidden: hidden},
		"empty":    {Epoch: 2},
	} {
		open.Session = name
		s, err := c.OpenStage(context.Background(), n.agent.Address(), open, timeouts)
		assert.NilError(t, err)
		assert.NilError(t, s.Send(step))
		_, err = s.Receive()
		f := fault.As(err)
		assert.Assert(t, f != nil, name)
		assert.Assert(t, !strings.Contains(f.Message, "upstream:"), "the agent must not leave the check to the engine: %v", f)
		if name == "epoch" {
			assert.Equal(t, f.Kind, fault.StaleEpoch) // the sender's fault
		} else {
			assert.Equal(t, f.FailedStage, 2, "%v", f)
		}
		s.Close()
		_, err = c.OpenStage(context.Background(), n.agent.Address(), open, timeouts)
		assert.Assert(t, fault.Is(err, fault.StaleEpoch), "an epoch opens once: %v", err)
	}
	assert.Equal(t, len(n.engine.Records().Layers), 0)
}

// Guards against an older epoch that goes on after its replacement has begun,
// as that of an entry that was cut off does.
func TestGenerate_NewEpochEndsOlder(t *testing.T) {
	nodes := startChain(t, nil, func(o *standin.EngineOptions) { o.Timing.Step = time.Millisecond })
	c := newClient(t)
	p := prompt(5)
	want := standin.Reference(p, testLayers, testSeed, 10)
	var got []uint32
	var replaceErr error
	older, _, err := collect(context.Background(), c, request("s", 1, p, 100000, nodes...), func(tok *wirepb.Token) {
		if tok.Position == 3 {
			r := request("s", 2, p, 6, nodes...)
			r.Emitted = want[:4]
			got, _, replaceErr = collect(context.Background(), c, r, nil)
		}
	})
	assert.NilError(t, replaceErr)
	assert.DeepEqual(t, got, want[4:])
	f := fault.As(err)
	assert.Equal(t, f.Kind, fault.StaleEpoch, "%v after %d tokens", err, len(older))
	assert.Assert(t, strings.Contains(f.Message, "replaced"), "%v", f)
	for _, n := range nodes {
		waitFor(t, "free slots", func() bool { return n.agent.queue.load().Running == 0 && n.engine.Records().Sessions == 0 })
	}
}
