package takeover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a layout that a new leader plans while it takes the layers of engines that
// it has not polled for held or for missing, and against one that waits although all are
// polled.
func TestSurvey_CompletesWithTheLastPoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "engines")
		age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "view age")) * time.Millisecond
		whole := rapid.Bool().Draw(t, "whole view")
		var engines []Engine
		for i := range n {
			engines = append(engines, Engine{ID: fmt.Sprint(i), StartUnixMs: 1})
		}
		s := NewSurvey(age, whole, engines)
		may := whole && age <= MaxViewAge && n > 0
		for i, e := range engines {
			assert.Assert(t, !s.Complete(), "complete before engine %d of %d", i, n)
			s.RecordPoll(Engine{ID: e.ID, StartUnixMs: 2}) // a later process of the same engine
			assert.Assert(t, !s.Complete())
			if rapid.Bool().Draw(t, "left") {
				s.Retain(func(o Engine) bool { return o != e })
			} else {
				s.RecordPoll(e)
			}
		}
		assert.Equal(t, s.Complete(), may)
	})
	assert.Assert(t, !new(Survey).Complete())
}
