package takeover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a layout that a new leader plans while it takes the layers of engines that
// it has not polled for held or for missing, and against one that waits although all are
// polled.
func TestSurvey_CompletesWithTheLastPoll(t *testing.T) {
	a, b := Engine{"a", 1}, Engine{"b", 1}
	for _, c := range []struct {
		age            time.Duration
		whole, current bool
	}{{MaxViewAge, true, true}, {MaxViewAge + 1, true, false}, {0, false, false}} {
		s := NewSurvey(c.age, c.whole, []Engine{a, b})
		s.RecordPoll(a)
		s.RecordPoll(Engine{b.ID, 2}) // a later process
		assert.Assert(t, !s.Complete())
		s.Retain(func(e Engine) bool { return e != b })
		assert.Equal(t, s.Complete(), c.current, "%+v", c)
	}
	assert.Assert(t, !NewSurvey(0, true, nil).Complete() && !new(Survey).Complete())
}
