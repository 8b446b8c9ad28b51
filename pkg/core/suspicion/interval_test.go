package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a loaded or suspicious engine that is polled rarely, and against polls of
// idle engines that callers pay for without use.
func TestPollInterval_LongOnlyForLowLoad(t *testing.T) {
	const usual = 300 * time.Millisecond
	low := Load{Requests: 3, Slots: 10, KVUsed: 39, KVTotal: 100}
	assert.Equal(t, PollInterval(usual, low, false), 2*usual)
	assert.Equal(t, PollInterval(usual, low, true), usual)
	for _, l := range []Load{{}, {Requests: 4, Slots: 10, KVUsed: 39, KVTotal: 100}, {Requests: 3, Slots: 10, KVUsed: 40, KVTotal: 100}, {Slots: 10}} {
		assert.Equal(t, PollInterval(usual, l, false), usual, "%+v", l)
	}
}
