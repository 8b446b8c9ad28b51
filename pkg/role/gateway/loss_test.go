package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against reports of one loss by each stream that it interrupts, and against reports
// without a bound.
func TestLossReports_EachEngineOnceInABoundedReport(t *testing.T) {
	now, l := time.Now(), newLossReports()
	for i, want := range []int{1, 0, 1} { // each half of lossRepeatDelay
		at := now.Add(time.Duration(i) * lossRepeatDelay / 2)
		for range 3 {
			l.record(at, path.PipelineStage{ID: "e"}, wirepb.LossCause_LOSS_CAUSE_CONNECTION)
		}
		assert.Equal(t, len(l.take(at)), want)
	}
	for i := range 2 * maxRecentLosses {
		l.record(now, path.PipelineStage{ID: fmt.Sprint(i)}, wirepb.LossCause_LOSS_CAUSE_SILENT_STREAM)
	}
	assert.Equal(t, len(l.take(now.Add(2*lossRepeatDelay))), maxPendingLosses)
	assert.Equal(t, len(l.recent), 0)
}

// Guards against reports of engines that said that they are busy, and of connections that the
// caller or this gateway ended.
func TestRecordLoss_OnlyWhatMayBeLost(t *testing.T) {
	g := &Gateway{losses: newLossReports()}
	stages := []path.PipelineStage{{ID: "a", Address: "10.0.0.1:80"}, {ID: "b", Address: "10.0.0.2:80"}}
	broken := fault.New(fault.Upstream, "stream was interrupted")
	ended, end := context.WithCancel(t.Context())
	end()
	g.recordLostConnection(ended, stages[0], broken)
	g.recordLostConnection(t.Context(), stages[0], fault.New(fault.Cancelled, "caller disconnected"))
	g.recordLostConnection(t.Context(), stages[0], nil)
	g.recordRefusalBy(stages, stages[0].Address, 0) // the first engine has answered
	g.recordRefusalBy(stages, stages[1].Address, time.Second)
	g.recordRefusalBy(stages, "", 0)
	assert.Equal(t, len(g.losses.take(time.Now())), 0)
	g.recordLostConnection(t.Context(), stages[0], broken)
	g.recordRefusalBy(stages, stages[1].Address, 0)
	assert.Equal(t, len(g.losses.take(time.Now())), 2)
}
