package replica

import (
	"math/rand/v2"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxDrain bounds the inputs taken in one step, so that ticks are not delayed.
const maxDrain = 256

func randomInt(n int) int { return rand.IntN(n) }

// run owns the state of the replica.
func (r *Replica) run() {
	defer close(r.done)
	ticks := r.opts.Ticks
	if ticks == nil {
		ticker := time.NewTicker(r.opts.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	if r.forming && !r.form(ticks) {
		if r.failure.Load() != nil {
			r.answerFailed()
		}
		return
	}
	r.start()
	defer r.finish()
	for r.step(ticks) {
		r.process()
	}
}

// start begins normal operation, once the node exists.
func (r *Replica) start() {
	r.writer = newWriter(r.wal, r.opts)
	r.applier = newApplier(r.opts, r.applied)
	go r.writer.run()
	go r.applier.run()
	r.process()
}

func (r *Replica) finish() {
	r.writer.close()
	r.applier.close()
	r.failPending(fault.New(fault.Unknown, "replica was closed before the commit").WithOutcome(fault.MayHaveRun))
}

// step waits for one input and handles those that are ready behind it. It
// returns false when the replica was closed.
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
		r.collectWrites()
	case <-r.applier.notify:
		r.collectApplied()
	}
	return true
}

func (r *Replica) tick() {
	if r.failure.Load() != nil {
		return
	}
	r.node.Tick()
	r.retryReads()
	r.checkStall()
}

func (r *Replica) stepMessages(m *wirepb.RaftMessage) {
	for i := 0; ; i++ {
		r.stepMessage(m)
		if i >= maxDrain {
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
	if r.formation == nil {
		return
	}
	if reply := r.formation.ReplyTo(m); reply != nil {
		r.opts.Transport.Send([]*wirepb.RaftMessage{reply})
	}
}

// process carries out what the node asks for.
func (r *Replica) process() {
	if r.failure.Load() == nil {
		out := r.node.TakeOutput()
		if out.Voters != nil {
			r.votersChanged(out.Voters)
		}
		if len(out.Messages) > 0 {
			r.opts.Transport.Send(out.Messages)
		}
		r.sendSnapshots(out.SnapshotTargets)
		r.write(out.Write)
		r.apply(out.Committed)
		r.finishReads(out.ReadStates)
		r.finishChanges()
		r.checkLeadership()
	}
	r.publish()
}

func (r *Replica) votersChanged(voters []*wirepb.Voter) {
	r.opts.Transport.SetVoters(voters)
	for _, v := range voters {
		if v.Id == r.opts.ID && v.Member != 0 && v.Member != r.hard.Member {
			r.fail(identityFault(r.opts.ID))
		}
	}
}

func identityFault(id uint64) error {
	return fault.New(fault.Conflict, "replica %d belongs to another disk; join under a new id", id)
}

// checkLeadership fails the open proposals when the leadership was lost: the
// next leader may commit them or not.
func (r *Replica) checkLeadership() {
	leader := r.node.Role() == raft.Leader
	if r.wasLeader && !leader {
		r.log.Info("Leadership lost.", logs.Uint("term", r.node.Term()))
		metricLeadershipLost.Inc()
		r.finishHandOver()
		r.failPending(fault.New(fault.Unknown, "leadership was lost before the commit").WithOutcome(fault.MayHaveRun))
	}
	if !r.wasLeader && leader {
		r.log.Info("Leadership won.", logs.Uint("term", r.node.Term()))
		metricLeadershipWon.Inc()
	}
	r.wasLeader = leader
}

// fail stops the replica for good. It sends nothing any more, so that the
// others elect a new leader.
func (r *Replica) fail(err error) {
	if r.failure.Load() != nil {
		return
	}
	r.failure.Store(fault.As(err))
	r.log.Error("Replica stopped.", logs.Err(err))
	metricFailures.Inc()
	r.failPending(fault.Wrap(err, fault.Unknown, "replica failed before the commit").WithOutcome(fault.MayHaveRun))
}

// failedFault returns the failure for a request that was not started.
func (r *Replica) failedFault() error {
	f := *r.failure.Load()
	f.Outcome = fault.NotRun
	return &f
}

// answerFailed refuses requests until the replica is closed.
func (r *Replica) answerFailed() {
	r.publish()
	for {
		select {
		case <-r.stop:
			return
		case <-r.messages:
		case p := <-r.proposals:
			p.finish(nil, r.failedFault())
		case f := <-r.calls:
			f()
		}
	}
}

func (r *Replica) publish() {
	s := &Status{ID: r.opts.ID, Role: raft.Follower, Bootstrapping: r.forming, Applied: r.applied}
	if r.node != nil {
		s.Role = r.node.Role()
		s.Term = r.node.Term()
		s.Leader = r.node.Leader()
		s.LeaderAddress = r.leaderAddress()
		s.Commit = r.node.Commit()
		s.Last = r.node.Last()
		s.Voters = r.node.Voters()
	}
	if r.latest.meta != nil {
		s.Snapshot = r.latest.meta.Index
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
