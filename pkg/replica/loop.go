package replica

import (
	"math/rand/v2"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxInputsPerStep limits the proposals, or the messages after the first one, that are
// handled in one step, so that ticks are not delayed.
const maxInputsPerStep = 256

func randomInt(n int) int { return rand.IntN(n) }

// run is the goroutine that owns the state of the replica.
func (r *Replica) run() {
	defer close(r.done)
	ticks := r.opts.Ticks
	if ticks == nil {
		ticker := time.NewTicker(r.opts.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	if r.bootstrapping && !r.runBootstrap(ticks) {
		if r.failure.Load() != nil {
			r.rejectUntilClosed()
		}
		return
	}
	r.startWorkers()
	defer func() { r.stopWorkers() }()
	for r.step(ticks) {
		r.processOutput()
		if r.diskFull() && !r.restartOnceThereIsRoom(ticks) {
			return
		}
	}
}

// startWorkers starts the writer and the applier once the node exists.
func (r *Replica) startWorkers() {
	r.writer = newWriter(r.wal, r.opts)
	r.applier = newApplier(r.opts, r.applied)
	go r.writer.run()
	go r.applier.run()
	r.processOutput()
}

func (r *Replica) stopWorkers() {
	if r.writer == nil {
		return
	}
	r.writer.close()
	r.applier.close()
	r.writer = nil
	r.failPendingRequests(fault.New(fault.UnknownOutcome, "replica was closed before the proposal was committed").WithOutcome(fault.MayHaveRun))
}

// step waits for one input and handles it. Messages and proposals that are already
// queued are handled with it. It returns false when the replica was closed.
func (r *Replica) step(ticks <-chan time.Time) bool {
	select {
	case <-r.stop:
		return false
	case <-ticks:
		r.tick()
	case m := <-r.messages:
		r.stepMessages(m)
	case p := <-r.proposals:
		r.propose(p)
	case f := <-r.calls:
		f()
	case <-r.writer.notify:
		r.handleWritten()
	case <-r.applier.notify:
		r.handleApplied()
	}
	return true
}

func (r *Replica) tick() {
	if r.failure.Load() != nil {
		return
	}
	r.node.Tick()
	r.retryReads()
	r.checkSyncStall()
}

func (r *Replica) stepMessages(m *wirepb.RaftMessage) {
	for i := 0; ; i++ {
		r.stepMessage(m)
		if i >= maxInputsPerStep {
			return
		}
		select {
		case m = <-r.messages:
		default:
			return
		}
	}
}

func (r *Replica) stepMessage(m *wirepb.RaftMessage) {
	if r.failure.Load() != nil {
		return
	}
	if raft.MessageType(m.Type) != raft.MsgBootstrap {
		r.node.Step(m)
		return
	}
	if r.bootstrap == nil {
		return
	}
	if reply := r.bootstrap.ReplyTo(m); reply != nil {
		r.opts.Transport.Send([]*wirepb.RaftMessage{reply})
	}
}

// processOutput performs the actions that the node requests.
func (r *Replica) processOutput() {
	if r.failure.Load() == nil {
		out := r.node.TakeOutput()
		if out.Voters != nil {
			r.updateVoters(out.Voters)
		}
		if len(out.Messages) > 0 {
			r.opts.Transport.Send(out.Messages)
		}
		r.sendSnapshots(out.SnapshotTargets)
		r.submitWrite(out.Write)
		r.submitCommitted(out.Committed)
		r.handleReadStates(out.ReadStates)
		r.finishVoterChanges()
		r.checkLeadership()
	}
	r.publishStatus()
}

func (r *Replica) updateVoters(voters []*wirepb.Voter) {
	r.opts.Transport.SetVoters(voters)
	for _, v := range voters {
		if v.Id == r.opts.ID && v.Member != 0 && v.Member != r.hardState.Member {
			r.fail(identityConflictError(r.opts.ID))
		}
	}
}

func identityConflictError(id uint64) error {
	return fault.New(fault.Conflict, "replica ID %d is registered with another data directory; join with a new ID", id)
}

// checkLeadership detects that the leadership was won or lost. After a loss, the pending
// proposals fail with an unknown outcome, because the next leader may still commit them.
func (r *Replica) checkLeadership() {
	leader := r.node.Role() == raft.Leader
	if r.wasLeader && !leader {
		r.log.Info("Leadership lost.", logs.Uint("term", r.node.Term()))
		metricLeadershipLost.Inc()
		r.finishTransfer()
		r.failPendingRequests(fault.New(fault.UnknownOutcome, "leadership was lost before the proposal was committed").WithOutcome(fault.MayHaveRun))
	}
	if !r.wasLeader && leader {
		r.log.Info("Leadership won.", logs.Uint("term", r.node.Term()))
		metricLeadershipWon.Inc()
	}
	r.wasLeader = leader
}

// fail makes the replica reject all requests and send no more messages until it is
// closed, or restarted because its disk has room again. The other replicas elect a new
// leader.
func (r *Replica) fail(err error) {
	if r.failure.Load() != nil {
		return
	}
	r.failure.Store(fault.As(err))
	r.log.Error("Replica stopped.", logs.Err(err))
	metricFailures.Inc()
	r.failPendingRequests(fault.Wrap(err, fault.UnknownOutcome, "replica failed before the proposal was committed").WithOutcome(fault.MayHaveRun))
}

// failureError returns the failure as the error of a request that was not executed.
func (r *Replica) failureError() error {
	f := *r.failure.Load()
	f.Outcome = fault.NotRun
	return &f
}

// rejectUntilClosed rejects requests until the replica is closed.
func (r *Replica) rejectUntilClosed() {
	r.publishStatus()
	for {
		select {
		case <-r.stop:
			return
		case <-r.messages:
		case p := <-r.proposals:
			p.finish(nil, r.failureError())
		case f := <-r.calls:
			f()
		}
	}
}

func (r *Replica) publishStatus() {
	s := &Status{ID: r.opts.ID, Role: raft.Follower, Bootstrapping: r.bootstrapping, Applied: r.applied}
	if r.node != nil {
		s.Role = r.node.Role()
		s.Term = r.node.Term()
		s.Leader = r.node.Leader()
		s.LeaderPeerAddress = r.leaderAddress()
		s.Commit = r.node.Commit()
		s.Last = r.node.Last()
		s.Voters = r.node.Voters()
		s.CommittedVoters = r.node.VotersAt(s.Commit)
	}
	if r.latestSnapshot.meta != nil {
		s.Snapshot = r.latestSnapshot.meta.Index
	}
	r.status.Store(s)
}

func (r *Replica) leaderAddress() string {
	for _, v := range r.node.Voters() {
		if v.Id == r.node.Leader() {
			return v.PeerAddress
		}
	}
	return ""
}
