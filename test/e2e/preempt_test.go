package e2e

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
)

// Guards against urgent requests that wait for batch streams that hold all slots,
// and against batch streams that lose or alter a token when they are preempted.
// There is one chain with one slot, so each urgent request preempts a batch
// stream.
func TestChat_UrgentPreemptsBatch(t *testing.T) {
	const batchTokens, urgentTokens, urgentChats, batchChats = 150, 10, 3, 2
	d, ctx := launch(t, func(p *local.Plan) {
		p.Slots = 1
		for i := range p.Stages {
			p.Stages[i].EngineCount = 1
		}
	})
	batch := d.Plan.Organisations[2]
	assert.Equal(t, batch.Class, "batch")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := make(chan struct{}, batchChats)
	var running atomic.Int32
	running.Store(batchChats)
	results := make(chan chatResult, batchChats)
	for i := range batchChats {
		go func() {
			r := chatResult{content: []string{"a reminder", "another reminder"}[i]}
			r.text, r.err = chatAs(ctx, d, batch, i, r.content, batchTokens, func(chunk int) {
				if chunk == 3 {
					begun <- struct{}{}
				}
			})
			running.Add(-1)
			results <- r
		}()
	}
	waitBegun := func() {
		select {
		case <-begun:
		case <-ctx.Done():
			t.Fatal("no batch stream began")
		}
	}
	waitBegun() // one of the batch streams holds the slot
	for i := range urgentChats {
		content := "is this net safe"
		text, err := chat(ctx, d, i%len(d.Entries), content, urgentTokens, nil)
		assert.NilError(t, err)
		assert.Equal(t, text, reference(d.Plan, content, urgentTokens))
		assert.Equal(t, running.Load(), int32(batchChats), "urgent answer %d waited for a batch stream", i)
	}
	waitBegun()
	checkChats(t, d, results, batchChats, batchTokens)
	checkLayersPerUpstream(t, d)
}
