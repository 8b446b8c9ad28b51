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

func startChain(t testing.TB, change func(*Settings), engine func(*standin.EngineOptions)) []*testNode {
	t.Helper()
	return []*testNode{
		startEngineNode(t, "a", 0, 2, change, engine),
		startEngineNode(t, "b", 3, 5, change, engine),
		startEngineNode(t, "c", 6, 8, change, engine),
	}
}

// A chain must run every layer once and in order for each position. A chain and
// an engine that holds the whole model must both yield the reference tokens.
func TestGenerate_ChainAndWholeModelMatchReference(t *testing.T) {
	nodes := startChain(t, func(s *Settings) { s.PrefillChunkTokens = 16 }, nil)
	whole := startEngineNode(t, "w", 0, testLayers-1, nil, nil)
	c := newClient(t)
	for i, size := range []int{1, 15, 16, 17, 100} {
		p := promptOfLength(size)
		want := standin.ReferenceTokens(p, testLayers, testSeed, 20)
		name := "s" + string(rune('0'+i))
		got, done, err := collectTokens(context.Background(), c, newGenerateRequest(name, 1, p, 20, nodes...), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, done.CompletionTokens, uint32(20))
		cached := int(done.CachedTokens)
		for _, n := range nodes {
			n.checkLayers(t, name, 1, cached, size+19-cached)
		}
		got, _, err = collectTokens(context.Background(), c, newGenerateRequest(name, 1, p, 20, whole), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// The error must name the failed stage, and a replay under the next epoch must
// not repeat, skip or change tokens. The older epoch must be refused
// afterwards.
func TestGenerate_FailureNamesStageAndReplayContinues(t *testing.T) {
	const tokens = 30
	for _, mode := range []string{"die", "freeze"} {
		for stage := range 3 {
			t.Run(mode+string(rune('0'+stage)), func(t *testing.T) {
				quick := func(s *Settings) { s.StepTimeout = 300 * 1e6; s.PrefillTimeoutPerToken = 1e6 }
				nodes := startChain(t, quick, nil)
				spare := startEngineNode(t, "spare", nodes[stage].first, nodes[stage].last, quick, nil)
				p := promptOfLength(20)
				want := standin.ReferenceTokens(p, testLayers, testSeed, tokens)
				c := newClient(t)
				broken := nodes[stage]
				got, _, err := collectTokens(context.Background(), c, newGenerateRequest("s", 1, p, tokens, nodes...), func(tok *wirepb.Token) {
					if tok.Position != 4 {
						return
					}
					if mode == "die" {
						broken.engine.Crash()
						return
					}
					broken.engine.SetFaults(standin.Faults{Freeze: true})
				})
				f := fault.As(err)
				assert.Assert(t, f != nil, "the generation must fail")
				assert.Equal(t, f.FailedStage, stage, "%v", f)
				assert.Equal(t, int(f.Position), len(got))
				nodes[stage] = spare
				replay := newGenerateRequest("s", 2, p, uint32(tokens-len(got)), nodes...)
				replay.Emitted = got
				rest, done, err := collectTokens(context.Background(), c, replay, nil)
				assert.NilError(t, err)
				cached := int(done.CachedTokens)
				for _, n := range nodes {
					n.checkLayers(t, "s", 2, cached, len(p)+tokens-1-cached)
				}
				assert.DeepEqual(t, append(got, rest...), want)
				stale := newGenerateRequest("s", 1, p, tokens, nodes...)
				_, _, err = collectTokens(context.Background(), c, stale, nil)
				assert.Assert(t, fault.Is(err, fault.StaleEpoch), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			})
		}
	}
}

// A chain must fail when the agent of one stage is closed, and the error must
// name that stage and not the one that waited for it.
func TestGenerate_ClosedAgentIsNamedAsFailedStage(t *testing.T) {
	nodes := startChain(t, nil, nil)
	c := newClient(t)
	got, _, err := collectTokens(context.Background(), c, newGenerateRequest("s", 1, promptOfLength(20), 1000, nodes...), func(tok *wirepb.Token) {
		if tok.Position == 4 {
			go nodes[2].agent.Close()
		}
	})
	f := fault.As(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.FailedStage, 2, "%v", f)
	assert.Equal(t, int(f.Position), len(got))
}

// A cancelled request must free its slots on agents and engines, and a request
// that is cancelled while queued must not run.
func TestGenerate_CancelFreesSlots(t *testing.T) {
	slow := func(o *standin.EngineOptions) { o.Slots = 1; o.Timing.PerStep = time.Millisecond }
	nodes := startChain(t, nil, slow)
	whole := startEngineNode(t, "w", 0, testLayers-1, nil, slow)
	c := newClient(t)
	for name, chain := range map[string][]*testNode{"chain": nodes, "whole": {whole}} {
		ctx, cancel := context.WithCancel(context.Background())
		queued, stopQueued := context.WithCancel(context.Background())
		queuedEnded := make(chan error, 1)
		_, _, err := collectTokens(ctx, c, newGenerateRequest(name, 1, promptOfLength(5), 100000, chain...), func(tok *wirepb.Token) {
			switch tok.Position {
			case 2:
				go func() {
					_, _, err := collectTokens(queued, c, newGenerateRequest(name+"-queued", 1, promptOfLength(5), 10, chain...), nil)
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

// A shutdown must finish running and queued work and refuse new work.
func TestRun_DrainFinishesWorkInProgress(t *testing.T) {
	slow := func(o *standin.EngineOptions) { o.Slots = 1; o.Timing.PerStep = 2 * time.Millisecond }
	nodes := startChain(t, nil, slow)
	c := newClient(t)
	want := standin.ReferenceTokens(promptOfLength(5), testLayers, testSeed, 50)
	queued := make(chan error, 1)
	got, _, err := collectTokens(context.Background(), c, newGenerateRequest("s", 1, promptOfLength(5), 50, nodes...), func(tok *wirepb.Token) {
		if tok.Position != 3 {
			return
		}
		go func() {
			tokens, _, err := collectTokens(context.Background(), c, newGenerateRequest("queued", 1, promptOfLength(5), 50, nodes...), nil)
			if err == nil && !slices.Equal(tokens, want) {
				err = fault.New(fault.Internal, "queued request has wrong tokens")
			}
			queued <- err
		}()
		waitFor(t, "queued request", func() bool { return nodes[0].agent.queue.load().Ranks[1].Queued == 1 })
		nodes[0].stop()
		waitFor(t, "draining", func() bool { return nodes[0].agent.CurrentLoad().Draining })
		_, _, err := collectTokens(context.Background(), c, newGenerateRequest("new", 1, promptOfLength(5), 5, nodes...), nil)
		assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, <-queued)
	assert.NilError(t, <-nodes[0].ended)
	assert.Assert(t, nodes[0].control.deregistered)
}

// The announcement must be withdrawn when heartbeats stop and when the upstream
// refuses connections, so that a lost upstream gets no new work.
func TestUpstream_LostHeartbeatOrConnectionWithdrawsAnnouncement(t *testing.T) {
	quick := func(s *Settings) { s.HeartbeatTimeout = 300 * time.Millisecond }
	n := startEngineNode(t, "a", 0, testLayers-1, quick, nil)
	announced := func() bool {
		n.control.mu.Lock()
		defer n.control.mu.Unlock()
		return n.control.announced != nil
	}
	waitFor(t, "announcement", announced)
	n.engine.SetFaults(standin.Faults{Freeze: true})
	waitFor(t, "withdrawal without heartbeats", func() bool { return !announced() })
	_, _, err := collectTokens(context.Background(), newClient(t), newGenerateRequest("s", 1, promptOfLength(5), 5, n), nil)
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	n.engine.SetFaults(standin.Faults{})
	waitFor(t, "announcement after the engine resumes", announced)
	n.engine.Crash()
	waitFor(t, "withdrawal after the engine has ended", func() bool { return !announced() })
}

// A chain must not wait for a frozen or partitioned agent, whose sessions stay
// open and which refuses no connection.
func TestGenerate_FrozenAgentIsNamedAsFailedStage(t *testing.T) {
	h := startHelper(t, helperTask{Chain: []helperEngine{{First: 3, Last: 5, Slots: 16}}})
	first := startEngineNode(t, "a", 0, 2, nil, nil)
	last := startEngineNode(t, "c", 6, 8, nil, nil)
	r := newGenerateRequest("s", 1, promptOfLength(20), 100000, first, first, last)
	r.Stages[1] = &wirepb.StageRef{Host: "h0", Address: h.waitForField(t, "address"), FirstLayer: 3, LastLayer: 5}
	defer func() { _ = h.process.Signal(syscall.SIGCONT) }()
	var frozen time.Time
	_, _, err := collectTokens(context.Background(), newClient(t), r, func(tok *wirepb.Token) {
		if tok.Position == 4 {
			frozen = time.Now()
			assert.Check(t, h.process.Signal(syscall.SIGSTOP))
		}
	})
	f := fault.As(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.FailedStage, 1, "%v", f)
	t.Logf("failed stage named after %v", time.Since(frozen))
	waitFor(t, "free slots", func() bool {
		return first.engine.Records().Sessions == 0 && first.agent.queue.load().Running == 0
	})
}

// A stage must refuse a step with a wrong position or epoch before the engine
// sees it.
func TestStage_WrongPositionOrEpochIsRefused(t *testing.T) {
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
			assert.Equal(t, f.Kind, fault.StaleEpoch) // caused by the sender
		} else {
			assert.Equal(t, f.FailedStage, 2, "%v", f)
		}
		s.Close()
		_, err = c.OpenStage(context.Background(), n.agent.Address(), open, timeouts)
		assert.Assert(t, fault.Is(err, fault.StaleEpoch), "an epoch opens once: %v", err)
	}
	assert.Equal(t, len(n.engine.Records().Layers), 0)
}

// A new epoch must end the running older one, for example that of an entry
// behind a partition.
func TestGenerate_NewEpochEndsOlder(t *testing.T) {
	nodes := startChain(t, nil, func(o *standin.EngineOptions) { o.Timing.PerStep = time.Millisecond })
	c := newClient(t)
	p := promptOfLength(5)
	want := standin.ReferenceTokens(p, testLayers, testSeed, 10)
	var got []uint32
	var replaceErr error
	older, _, err := collectTokens(context.Background(), c, newGenerateRequest("s", 1, p, 100000, nodes...), func(tok *wirepb.Token) {
		if tok.Position == 3 {
			r := newGenerateRequest("s", 2, p, 6, nodes...)
			r.Emitted = want[:4]
			got, _, replaceErr = collectTokens(context.Background(), c, r, nil)
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
