package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// Guards against calls to an upstream that states in its answers that it leaves or wants no
// calls for some time, and against a belief that outlives that run of the upstream.
func TestCall_HeedsWhatUpstreamStatesOfItself(t *testing.T) {
	fake := newFakeControl()
	service := newService()
	n := startServiceNode(t, "a", fake, shortClaimTimeouts, service)
	c := newClient(t)
	call := func(id string) error {
		r := newCall(id, "")
		r.Repeatable = true
		_, err := c.Call(context.Background(), n.agent.Address(), r)
		return err
	}
	assert.NilError(t, call("served"))
	const pause = 400 * time.Millisecond
	service.SetFaults(standin.Faults{Answer: standin.AnswerShed, AnswerDelayMs: int(pause.Milliseconds())})
	assert.NilError(t, call("shed")) // the refusal of the service is its answer
	service.SetFaults(standin.Faults{Answer: standin.AnswerLeaving})
	err := call("paused")
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
	e := fault.As(err)
	assert.Equal(t, e.Outcome, fault.NotRun)
	assert.Assert(t, e.RetryAfter > 0 && e.RetryAfter <= pause, "%s", e.RetryAfter)
	waitFor(t, "the end of the pause", func() bool { return call("after") == nil })

	err = call("left")
	assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	waitFor(t, "the announcement as draining", func() bool {
		state := ""
		fake.set(func() { state = fake.announced.GetState() })
		return state == stateDraining
	})
	announce(t, n, n.server.Address()) // an announcement that says ready
	assert.Assert(t, fault.Is(call("still left"), fault.Draining))
	for _, e := range service.Records().Executions {
		for _, id := range e.RequestIDs {
			assert.Assert(t, id == "served" || id == "after", "%s ran", id)
		}
	}

	assert.NilError(t, n.agent.upstream.HandleAnnouncement(&upstreams.Announcement{
		Name: "s", Kind: upstreams.KindService, Address: n.server.Address(), Services: []string{"pay"}, Slots: 64, RunID: 2,
	}))
	assert.NilError(t, call("next run"))
}
