package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// startNodeWithoutOrderState starts an agent for one engine with all layers and a
// service. Control has not sent the agent an order state yet.
func startNodeWithoutOrderState(t *testing.T) *testNode {
	fake := newFakeControl()
	fake.orders = control.OrderState{}
	n := startAgent(t, "a", fake, nil)
	n.last = testLayers - 1
	models := []upstreams.ModelShard{{Model: "m", Version: "v", LastLayer: testLayers - 1}}
	n.engine = standin.NewEngine(standin.EngineOptions{Name: "a", ModelLayers: testLayers, Slots: 16, KVTokens: 4096, Models: models})
	t.Cleanup(n.engine.Close)
	n.server = standin.ServeEngine(n.engine, listen(t))
	t.Cleanup(n.server.Close)
	assert.NilError(t, n.agent.upstream.HandleAnnouncement(&upstreams.Announcement{
		Name: "a", Kind: upstreams.KindEngine, Address: n.server.Address(), Models: models, Services: []string{"pay"}, Slots: 16, KVTokens: 4096,
	}))
	return n
}

// After an agent restart no work may reach a drained upstream: neither before
// control has sent the order state, nor while the drain is in force. An older
// state that arrives after a resume must not drain it again.
func TestDrain_AgentRestartKeepsUpstreamDrained(t *testing.T) {
	n := startNodeWithoutOrderState(t)
	c := newClient(t)
	ctx := context.Background()
	refused := func(kind fault.Kind, state string) {
		t.Helper()
		_, _, generated := collectTokens(ctx, c, newGenerateRequest("s", 1, promptOfLength(3), 2, n), nil)
		_, staged := c.OpenStage(ctx, n.agent.Address(), &wirepb.StageOpen{Session: "t", Epoch: 1, Model: "m", Version: "v", Stages: []*wirepb.StageRef{n.ref()}}, client.StageTimeouts{Ready: time.Second, Result: time.Second})
		keyed := newCall("r1", "k")
		repeatable := newCall("r2", "")
		repeatable.Repeatable = true
		_, once := c.Call(ctx, n.agent.Address(), keyed)
		_, called := c.Call(ctx, n.agent.Address(), repeatable)
		for i, err := range []error{generated, staged, once, called} {
			assert.Assert(t, fault.Is(err, kind), "work %d: %v", i, err)
			assert.Equal(t, fault.As(err).Outcome, fault.NotRun, "work %d", i)
		}
		assert.Equal(t, n.agent.upstream.announcement().State, state)
		assert.Assert(t, n.agent.buildReport().Draining)
	}
	tell := func(o control.OrderState) {
		n.control.set(func() { n.control.orders = o })
		n.agent.orders.syncWithControl()
	}
	served := func(session string) {
		t.Helper()
		tokens, _, err := collectTokens(ctx, c, newGenerateRequest(session, 1, promptOfLength(3), 2, n), nil)
		assert.NilError(t, err)
		assert.Equal(t, len(tokens), 2)
		waitFor(t, "the announcement", func() bool {
			n.control.mu.Lock()
			defer n.control.mu.Unlock()
			return n.control.announced.GetState() == stateServing
		})
	}
	refused(fault.Unavailable, stateServing)
	tell(control.OrderState{Known: true, OrderEpoch: 4, Drained: true})
	refused(fault.Draining, stateDraining)
	resumed := n.agent.orders.executeOrder(&wirepb.Order{Id: "r", Epoch: 5, Action: actionResume})
	assert.Assert(t, resumed.Error == nil, "%v", resumed.Error)
	served("u")
	tell(control.OrderState{Known: true, OrderEpoch: 4, Drained: true})
	served("v")
	tell(control.OrderState{Known: true, OrderEpoch: 6, Drained: true}) // the drain order itself was lost
	refused(fault.Draining, stateDraining)
	late := n.agent.orders.executeOrder(&wirepb.Order{Id: "late", Epoch: 5, Action: actionResume})
	assert.Equal(t, late.Error.GetKind(), string(fault.StaleEpoch))
	refused(fault.Draining, stateDraining)
}
