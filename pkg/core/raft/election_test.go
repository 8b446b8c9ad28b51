package raft

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// slowDisk is a disk on which every sync takes the same number of ticks. Writes that
// arrive during a sync share the next one.
type slowDisk struct {
	syncTicks, elapsed, count int
	seq                       uint64
}

func (d *slowDisk) tick(m *model, p *peer) {
	if d.count == 0 && len(p.unsynced) > 0 {
		d.count, d.elapsed = len(p.unsynced), 0
		d.seq = p.unsynced[d.count-1].Seq
	}
	if d.count == 0 {
		return
	}
	d.elapsed++
	if d.elapsed < d.syncTicks {
		return
	}
	p.sync(d.count)
	d.count = 0
	p.node.Persisted(d.seq)
	m.process(p)
}

// ticksUntilCommit returns the number of ticks until a leader has committed an entry of
// its term, or limit if none does in time.
func ticksUntilCommit(m *model, syncTicks, limit int) int {
	disks := make([]slowDisk, len(m.peers))
	for ticks := range limit {
		for i, p := range m.peers {
			p.node.Tick()
			m.process(p)
			disks[i].syncTicks = syncTicks
			disks[i].tick(m, p)
		}
		for n := len(m.inFlight); n > 0; n-- {
			m.network(faults{})
		}
		for _, p := range m.peers {
			if p.node.role == Leader && p.node.committedInTerm() {
				return ticks
			}
		}
	}
	return limit
}

// Guards against a cluster that stays without a leader while a sync takes longer than the
// election timeout. A tick is 20 ms with the default election timeout of 200 ms.
func TestElection_SucceedsWhileSyncsAreSlow(t *testing.T) {
	for _, c := range []struct{ size, syncTicks, limit int }{
		{3, 1, 600}, {3, 10, 600}, {3, 30, 600}, {3, 100, 3000},
		{5, 1, 600}, {5, 10, 600}, {5, 30, 600}, {5, 100, 3000},
	} {
		t.Run(fmt.Sprintf("%d nodes, syncs of %d ticks", c.size, c.syncTicks), func(t *testing.T) {
			longest := 0
			for seed := range uint64(50) {
				m := newModel(seed, c.size, disabledSafeguards{})
				took := ticksUntilCommit(m, c.syncTicks, c.limit)
				assert.NilError(t, m.err)
				assert.Assert(t, took < c.limit, "seed %d: no leader after %d ticks", seed, took)
				longest = max(longest, took)
			}
			t.Logf("longest: %d ticks", longest)
		})
	}
}
