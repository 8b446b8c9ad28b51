package replica

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// handOver passes the leadership on before the replica stops, which saves the
// others the election time-out.
func (r *Replica) handOver() {
	done := make(chan struct{})
	if r.Status().Role != raft.Leader {
		return
	}
	r.post(func() { r.startHandOver(done) })
	limit := time.NewTimer(r.opts.ElectionTimeout)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	case <-r.done:
	}
}

func (r *Replica) startHandOver(done chan struct{}) {
	r.handedOver = done
	if r.failure.Load() != nil || r.node == nil || !r.node.TransferLeader(r.node.BestFollower()) {
		r.finishHandOver()
	}
}

func (r *Replica) finishHandOver() {
	if r.handedOver != nil {
		close(r.handedOver)
		r.handedOver = nil
	}
}

// checkStall hands the leadership over when a write does not finish. A quorum
// still commits without this disk, but the log in memory can't be compacted
// until the write finishes.
func (r *Replica) checkStall() {
	if r.durableSeq >= r.writtenSeq {
		r.stalled = 0
		return
	}
	r.stalled++
	if r.stalled < ticksOf(r.opts.SyncStallTimeout, r.opts.TickInterval) {
		return
	}
	r.stalled = 0
	metricSyncStalls.Inc()
	r.log.Warn("Log write does not finish.", logs.Dur("waited", r.opts.SyncStallTimeout))
	if r.node.Role() == raft.Leader {
		r.node.TransferLeader(r.node.BestFollower())
	}
}
