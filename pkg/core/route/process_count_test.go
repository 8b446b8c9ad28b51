package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against processes that each take more than their share of what is divided between
// all of them while a new leader has heard of few, and against a share that stays too small
// once processes are gone.
func TestProcessCount_StaysWhileALeaderLearnsOfProcesses(t *testing.T) {
	var c ProcessCount
	now := time.Unix(1_000_000, 0)
	assert.Equal(t, c.Update(now, 13), 13)
	assert.Equal(t, c.Update(now.Add(time.Second), 1), 13)
	assert.Equal(t, c.Update(now.Add(2*time.Second), 12), 13)
	assert.Equal(t, c.Update(now.Add(processCountAge), 12), 13)
	assert.Equal(t, c.Update(now.Add(processCountAge+3*time.Second), 11), 12)
	assert.Equal(t, c.Update(now.Add(2*processCountAge), 14), 14)
	assert.Equal(t, c.Update(now.Add(3*processCountAge), 0), 14)
	assert.Equal(t, c.Update(now.Add(5*processCountAge), 0), 1)
}
