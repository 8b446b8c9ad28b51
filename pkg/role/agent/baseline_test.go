package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// With DisableQueue every request must get a slot at once; without it requests
// beyond the slots must queue.
func TestSetSlots_DisabledQueueGrantsAtOnce(t *testing.T) {
	for _, baseline := range []bool{false, true} {
		a := &Agent{queue: newQueue(sched.Config{}, time.Now)}
		a.settings.DisableQueue = baseline
		a.setSlots(1)
		_, err := a.queue.acquire(t.Context(), sched.Request{Organisation: "o"})
		assert.NilError(t, err)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = a.queue.acquire(ended, sched.Request{Organisation: "o"})
		assert.ErrorContains(t, err, "cancelled while queued")
		assert.Equal(t, a.queue.load().Running, 1)
		_, w, err := a.queue.submit(sched.Request{Organisation: "o"}, true)
		assert.NilError(t, err)
		granted := false
		select {
		case <-w.waitEnded:
			granted = true
		default:
		}
		assert.Equal(t, granted, baseline)
		assert.Equal(t, a.engineRank(wirepb.Rank_RANK_URGENT) == "", baseline)
	}
}
