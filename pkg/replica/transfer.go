package replica

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// transferLeadership transfers the leadership to another replica before this one
// stops, which saves the others the election timeout.
func (r *Replica) transferLeadership() {
	done := make(chan struct{})
	if r.Status().Role != raft.Leader {
		return
	}
	r.post(func() { r.startTransfer(done) })
	timer := time.NewTimer(r.opts.ElectionTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-r.done:
	}
}

func (r *Replica) startTransfer(done chan struct{}) {
	r.transferDone = done
	if r.failure.Load() != nil || r.node == nil || !r.node.TransferLeader(r.node.BestFollower()) {
		r.finishTransfer()
	}
}

func (r *Replica) finishTransfer() {
	if r.transferDone != nil {
		close(r.transferDone)
		r.transferDone = nil
	}
}

// checkSyncStall transfers the leadership when a write does not finish in time. A quorum
// can still commit without this disk, but the log in memory can't be compacted until the
// write finishes.
func (r *Replica) checkSyncStall() {
	if r.durableSeq >= r.submittedSeq {
		r.stalledTicks = 0
		return
	}
	r.stalledTicks++
	if r.stalledTicks < durationToTicks(r.opts.SyncStallTimeout, r.opts.TickInterval) {
		return
	}
	r.stalledTicks = 0
	metricSyncStalls.Inc()
	r.log.Warn("Log write is stalled.", logs.Dur("waited", r.opts.SyncStallTimeout))
	if r.node.Role() == raft.Leader {
		r.node.TransferLeader(r.node.BestFollower())
	}
}
