package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

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
				rest, _, err := collect(context.Background(), c, replay, nil)
				assert.NilError(t, err)
				assert.DeepEqual(t, append(got, rest...), want)
				stale := request("s", 1, p, tokens, nodes...)
				_, _, err = collect(context.Background(), c, stale, nil)
				assert.Assert(t, fault.Is(err, fault.StaleEpoch), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			})
		}
	}
}
