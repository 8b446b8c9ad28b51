package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func withOneSlot(o *standin.EngineOptions) { o.Slots = 1 }

func batchRequest(session string, tokens uint32, nodes ...*testNode) *wirepb.GenerateRequest {
	r := newGenerateRequest(session, 1, promptOfLength(20), tokens, nodes...)
	r.Rank = wirepb.Rank_RANK_BATCH
	return r
}

// Urgent work must preempt a batch generation at the head or at a later stage.
// The preempted generation must report its exact position for the replay, and
// no slot or session may remain at either stage.
func TestGenerate_UrgentPreemptsBatch(t *testing.T) {
	const tokens, endless = 10, 100_000
	for _, place := range []string{"head", "later stage"} {
		t.Run(place, func(t *testing.T) {
			head := startEngineNode(t, "head", 0, 1, nil, withOneSlot)
			later := startEngineNode(t, "later", 2, testLayers-1, nil, withOneSlot)
			other := startEngineNode(t, "other", 0, 1, nil, withOneSlot)
			batch := batchRequest("batch", endless, head, later)
			begun := make(chan struct{})
			received := 0
			ended := make(chan error, 1)
			go func() {
				_, _, err := collectTokens(context.Background(), newClient(t), batch, func(*wirepb.Token) {
					if received++; received == 3 {
						close(begun)
					}
				})
				ended <- err
			}()
			<-begun
			first := head
			if place == "later stage" {
				first = other
			}
			urgent := newGenerateRequest("urgent", 1, promptOfLength(30), tokens, first, later)
			urgent.Rank = wirepb.Rank_RANK_URGENT
			got, _, err := collectTokens(context.Background(), newClient(t), urgent, nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, standin.ReferenceTokens(urgent.Prompt, testLayers, testSeed, tokens))

			f := fault.As(<-ended)
			assert.Equal(t, f.Kind, fault.Preempted)
			assert.Equal(t, f.Outcome, fault.MayHaveRun)
			assert.Equal(t, f.FailedStage, fault.NoStage, "no stage is at fault")
			assert.Equal(t, f.Position, uint32(received))
			waitFor(t, "free slots", func() bool {
				return head.agent.queue.load().Running == 0 && later.agent.queue.load().Running == 0
			})
			assert.Equal(t, len(head.agent.queue.preemptionsByID)+len(later.agent.queue.preemptionsByID), 0)
		})
	}
}

// With the preemption setting off, requests must not be preemptible.
func TestGenerate_PreemptionDisabledMakesRequestNotPreemptible(t *testing.T) {
	n := startEngineNode(t, "host", 0, testLayers-1, func(s *Settings) { s.Preemption = false }, withOneSlot)
	r := n.agent.schedulerRequest(generateWorkItem(batchRequest("b", 1, n)))
	assert.Assert(t, !r.Preemptible)
}

// A preemption that arrives before the request has its context must still
// cancel the request. A request that must not wait must not preempt.
func TestQueue_PreemptionBeforeContextExistsCancelsRequest(t *testing.T) {
	q := newQueue(sched.Config{Slots: 1}, time.Now)
	r := sched.Request{Rank: sched.Batch, Organisation: "b", Cost: 1, Preemptible: true, Deadline: time.Now().Add(time.Hour)}
	s, err := q.acquire(context.Background(), r)
	assert.NilError(t, err)

	urgent := sched.Request{Rank: sched.Urgent, Organisation: "u", Cost: 1, Deadline: r.Deadline}
	_, err = q.tryAcquire(urgent)
	assert.Assert(t, fault.Is(err, fault.Overloaded))
	ctx, stop := s.preemptibleContext(context.Background())
	assert.NilError(t, ctx.Err())
	stop()

	_, w, err := q.submit(urgent, true)
	assert.NilError(t, err)
	ctx, stop = s.preemptibleContext(context.Background())
	defer stop()
	assert.Assert(t, fault.Is(context.Cause(ctx), fault.Preempted))
	s.release()
	<-w.waitEnded
}

// Freed stages must expire, because others may have taken their slots since,
// and their number must be bounded.
func TestFreedStages_ExpireAndAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	f := freedStageList{now: func() time.Time { return now }}
	f.put([]*wirepb.StageRef{{Host: "a"}})
	f.put(nil)
	f.put([]*wirepb.StageRef{{Host: "b"}, {Host: "c"}})
	assert.DeepEqual(t, f.take(), []string{"b", "c"})
	now = now.Add(freedStagesTTL + 1)
	assert.Assert(t, f.take() == nil)
	for range 2 * maxFreedChains {
		f.put([]*wirepb.StageRef{{Host: "d"}})
	}
	assert.Equal(t, len(f.chains), maxFreedChains)
}
