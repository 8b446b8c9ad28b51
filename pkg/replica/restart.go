package replica

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wal"
)

// roomCheckInterval is the interval at which a replica whose disk is full looks for room.
const roomCheckInterval = time.Second

// diskFull reports whether the replica failed because its disk has no room.
func (r *Replica) diskFull() bool {
	f := r.failure.Load()
	return f != nil && wal.IsFull(f)
}

// restartOnceThereIsRoom rejects requests until the disk has room again, and then goes on
// from what is durable, as after a restart of the process. It returns false if the replica
// was closed.
//
// Nothing was sent that depends on a write that failed, so the replica did not promise more
// than it finds on its disk. The state machine stays: it holds committed entries only.
func (r *Replica) restartOnceThereIsRoom(ticks <-chan time.Time) bool {
	r.stopWorkers()
	if s := r.applier.takeState(); s.err == nil {
		r.applied = s.applied
	}
	for sinceCheck := 0; ; {
		select {
		case <-r.stop:
			return false
		case <-ticks:
			sinceCheck++
		case <-r.messages:
		case p := <-r.proposals:
			p.finish(nil, r.failureError())
		case f := <-r.calls:
			f()
		}
		if sinceCheck < durationToTicks(roomCheckInterval, r.opts.TickInterval) {
			continue
		}
		sinceCheck = 0
		if wal.CheckRoom(r.opts.FS, r.opts.Dir) != nil {
			continue
		}
		if err := r.reopen(); err != nil {
			r.log.Error("Replica not restarted.", logs.Err(err))
			if !wal.IsFull(err) {
				r.failure.Store(fault.As(err))
				r.rejectUntilClosed()
				return false
			}
			continue
		}
		r.log.Info("Replica restarted, its disk has room again.", logs.Uint("applied", r.applied), logs.Uint("last", r.node.Last()))
		return true
	}
}

// reopen opens the log again and replaces the node by one that continues from it.
func (r *Replica) reopen() error {
	_ = r.wal.Close() // it failed before
	l, state, err := wal.Open(r.walOptions())
	if err != nil {
		return err
	}
	r.wal = l
	if err := r.restore(state); err != nil {
		return err
	}
	if r.bootstrapping || r.node == nil {
		return fault.New(fault.Internal, "the log of a running replica has no cluster")
	}
	r.installingSnapshot, r.savingSnapshot, r.wasLeader = nil, nil, false
	r.submittedSeq, r.durableSeq, r.stalledTicks = 0, 0, 0
	r.failure.Store(nil)
	r.startWorkers()
	return nil
}
