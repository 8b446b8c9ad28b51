package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against too few early refusals, so that accepted requests expire in the
// queue, and against too many, so that slots stay idle. The upstream's speed is
// halved in the middle of the run, and the estimated wait must follow.
func TestSubmit_EarlyRefusalFollowsServiceRate(t *testing.T) {
	const seed, deadline = 3, 3 * time.Second
	for _, batchFlood := range []float64{0.001, 4} {
		m := newSimulatedUpstream(Config{Slots: 16, UrgentReserve: -1}, seed)
		load := []arrivals{
			{rank: Standard, perSecond: 16, organisations: 8, prompt: 50, mean: 100, deadline: deadline},
			{rank: Batch, perSecond: batchFlood, organisations: 3, prompt: 100, mean: 400},
		}
		m.run(10*time.Minute, load)
		m.perToken *= 2
		m.run(10*time.Minute, load)
		started := len(m.waits[Standard])
		lost := float64(m.expired[Standard]) / float64(started+m.expired[Standard])
		idle := m.idle / (20 * 60 * 16)
		t.Logf("batch %v/s: started %d, refused %d, expired %.1f%%, idle %.1f%%",
			batchFlood, started, m.refused[Standard], 100*lost, 100*idle)
		assert.Assert(t, m.refused[Standard] > 0)
		assert.Assert(t, lost < 0.15, "%.1f%% of the accepted requests expired", 100*lost)
		assert.Assert(t, idle < 0.02, "%.1f%% of the slot time was idle", 100*idle)
	}
}

// Guards against a flood of one rank or organisation that fills the queue and blocks
// the others.
func TestSubmit_FloodLeavesQueueRoomForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Config{Slots: 1, MaxQueued: 1000})
	id := uint64(0)
	submit := func(r Rank, org string) error {
		id++
		return s.Submit(now, Request{ID: id, Rank: r, Organisation: org, Cost: 10})
	}
	var last error
	for last == nil {
		last = submit(Batch, "large")
	}
	assert.Assert(t, fault.Is(last, fault.Overloaded))
	for range 50 {
		assert.NilError(t, submit(Batch, "small"))
		assert.NilError(t, submit(Standard, "large"))
		assert.NilError(t, submit(Urgent, "large"))
	}
}
