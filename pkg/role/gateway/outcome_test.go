package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against a refusal that promises that the request has not run although an earlier
// attempt may have run it.
func TestFinalError_KeepsTheOutcomeOfEarlierAttempts(t *testing.T) {
	g := &Gateway{}
	g.load.init()
	g.requestLimits.init()
	g.view.Store(&view{})
	q := &request{route: &routing.Route{}, service: &routing.Service{Name: "s"}, deadline: time.Now().Add(time.Minute)}
	refusal := notRunError(fault.Overloaded, "no capacity")
	assert.Equal(t, statusOf(fault.As(g.finalError(context.Background(), q, refusal))), 503)
	q.mayHaveRun = true
	assert.Equal(t, statusOf(fault.As(g.finalError(context.Background(), q, refusal))), 502)
	assert.Equal(t, refusal.Outcome, fault.NotRun)
}

// Guards against streams that all move off a leaving engine at once, and against streams that
// would have ended there.
func TestMoveDue_SpreadsTheMovesOfALeavingEngine(t *testing.T) {
	now := time.Now()
	q := &request{service: &routing.Service{Model: &routing.Model{TypicalOutputTokens: 1}}, deadline: now.Add(time.Minute)}
	due := func(s *stream, after time.Duration) bool { return s.moveDue("e", now.Add(after)) }
	moved := [3]int{}
	for range 300 {
		s := &stream{q: q}
		due(s, 0)
		for i, after := range []time.Duration{moveSpread / 4, moveSpread / 2, moveSpread} {
			if due(s, after) {
				moved[i]++
			}
		}
	}
	assert.Assert(t, moved[0] > 30 && moved[0] < 120 && moved[1] > 100 && moved[1] < 200, "moved %v", moved)
	assert.Equal(t, moved[2], 300)
	ending := &stream{q: q, eventWrites: 10, firstEventAt: now.Add(-time.Second), lastEventAt: now}
	assert.Assert(t, !due(ending, 0) && !due(ending, moveSpread))
}
