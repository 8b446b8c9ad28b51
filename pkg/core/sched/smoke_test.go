package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is lost between submission and its end.
func TestSubmitNextFinish(t *testing.T) {
	s := New(Config{Slots: 1})
	now := time.Unix(0, 0)
	assert.NilError(t, s.Submit(now, Request{ID: 1, Organisation: "a", Cost: 10}))
	r, ok := s.Next(now)
	assert.Assert(t, ok && r.ID == 1)
	_, ok = s.Next(now)
	assert.Assert(t, !ok)
	s.Finish(now.Add(time.Second), 1)
	l := s.Load(now)
	assert.Equal(t, l.Running, 0)
}
