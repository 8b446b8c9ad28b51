package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against a replica with a full disk that acknowledges or leads, one that stays out
// once there is room, and one that then applies entries twice or misses some.
func TestDiskFull_ReplicaGoesOnOnceThereIsRoom(t *testing.T) {
	files := map[uint64]*faultyFS{1: {}, 2: {}, 3: {}}
	c := newCluster(t, 3, func(o *Options) { o.FS = files[o.ID]; o.SnapshotEntries = 7 })
	proposals := 0
	propose := func(except ...uint64) string {
		proposals++
		value := fmt.Sprintf("value %d", proposals)
		c.mustPropose(value, except...)
		return value
	}
	for round := range 6 {
		for range 5 {
			propose()
		}
		lead := c.leader()
		full := lead
		if round%2 == 1 {
			full = c.replica(lead.opts.ID%3 + 1)
		}
		id := full.opts.ID
		files[id].full.Store(true)
		if full == lead {
			_, err := lead.Propose(testContext(t), []byte("not durable"))
			assert.Assert(t, err == nil || fault.As(err).Outcome == fault.MayHaveRun, "%v", err)
		}
		value := ""
		for range 10 {
			value = propose(id)
		}
		eventually(t, "the replica does not notice", func() bool { return full.Status().FatalError != nil })
		assert.Assert(t, full.Status().Role != raft.Leader)
		_, err := full.Propose(testContext(t), []byte("refused"))
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
		checks := files[id].fullWrites.Load()
		eventually(t, "the replica does not look for room", func() bool { return files[id].fullWrites.Load() > checks })
		assert.Assert(t, full.Status().FatalError != nil)
		files[id].full.Store(false)
		eventually(t, "the replica does not go on", func() bool { return full.Status().FatalError == nil })
		c.waitValue(id, value)
	}
	last := propose()
	for id := range files {
		c.waitValue(id, last)
	}
	// A command of unknown outcome may or may not have been applied, everywhere alike.
	counts := c.machines[1].applied()
	assert.Assert(t, counts >= uint64(proposals))
	for id := range files {
		eventually(t, "counts differ", func() bool { return c.machines[id].applied() == c.machines[1].applied() })
	}
	// What was written since is durable.
	for id := range files {
		c.stop(id)
		c.start(id, nil)
	}
	for id := range files {
		c.waitValue(id, last)
	}
}

// Guards against a replica that goes on after a failed sync: what its log holds is unknown.
func TestDiskFull_FailedSyncIsFinal(t *testing.T) {
	files := map[uint64]*faultyFS{1: {}, 2: {}, 3: {}}
	c := newCluster(t, 3, func(o *Options) { o.FS = files[o.ID] })
	c.mustPropose("before")
	lead := c.leader()
	files[lead.opts.ID].failSyncs.Store(true)
	_, _ = lead.Propose(testContext(t), []byte("failed"))
	eventually(t, "leader did not stop", func() bool { return lead.Status().FatalError != nil })
	assert.Assert(t, !lead.diskFull())
}
