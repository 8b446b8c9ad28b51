package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// A request that finds a later stage busy must move to a free one instead of
// queueing there with the head's slot idle. The refused stage must keep no
// session and no slot.
func TestGenerate_BusyLaterStageIsReplaced(t *testing.T) {
	const tokens = 10
	head := startEngineNode(t, "head", 0, 1, nil, nil)
	busy := startEngineNode(t, "busy", 2, testLayers-1, nil, func(o *standin.EngineOptions) { o.Slots = 1 })
	spare := startEngineNode(t, "spare", 2, testLayers-1, nil, nil)
	taken, err := busy.agent.queue.tryAcquire(sched.Request{Organisation: "other", Cost: 1, Deadline: time.Now().Add(time.Hour)})
	assert.NilError(t, err)
	p := promptOfLength(20)
	want := standin.ReferenceTokens(p, testLayers, testSeed, tokens)

	run := func(session string, choice *wirepb.StageChoice) (refused []string) {
		r := newGenerateRequest(session, 1, p, tokens, head, busy)
		r.LateStages = true
		var got []uint32
		_, err := newClient(t).Generate(context.Background(), r.Stages[0].Address, r, client.GenerateCallbacks{
			OnToken: func(tok *wirepb.Token) error { got = append(got, tok.Id); return nil },
			ChooseStages: func(q *wirepb.StageQuery) (*wirepb.StageChoice, error) {
				refused = append(refused, q.Refused...)
				if choice.Wait {
					taken.release()
				}
				return choice, nil
			},
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		return refused
	}
	assert.DeepEqual(t, run("s1", &wirepb.StageChoice{Stages: []*wirepb.StageRef{spare.ref()}}), []string{"busy"})
	assert.Equal(t, busy.engine.Records().Sessions, 0)
	assert.DeepEqual(t, run("s2", &wirepb.StageChoice{Stages: []*wirepb.StageRef{busy.ref()}, Wait: true}), []string{"busy"})
	waitFor(t, "free slots", func() bool {
		return head.agent.queue.load().Running == 0 && busy.agent.queue.load().Running == 0 && spare.agent.queue.load().Running == 0
	})
}
