package replica

import (
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

type result struct {
	value any
	err   error
}

// proposal is one Propose call.
type proposal struct {
	data   []byte
	term   uint64
	result chan result
}

func (p *proposal) finish(value any, err error) { p.result <- result{value: value, err: err} }

// resultAfterClose returns the result if there was one before the replica was closed.
// Otherwise the outcome is unknown, because it can't be told whether the run goroutine
// had received the proposal.
func (p *proposal) resultAfterClose(r *Replica) (any, error) {
	select {
	case res := <-p.result:
		return res.value, res.err
	default:
		return nil, r.closedError(fault.MayHaveRun)
	}
}

// maxBatchBytes limits the size of the proposals appended in one step.
const maxBatchBytes = 1 << 20

// propose appends a proposal together with those queued after it.
func (r *Replica) propose(first *proposal) {
	batch := []*proposal{first}
	size := len(first.data)
	for len(batch) < maxInputsPerStep && size < maxBatchBytes {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			size += len(p.data)
			continue
		default:
		}
		break
	}
	if err := r.proposalError(); err != nil {
		for _, p := range batch {
			p.finish(nil, err)
		}
		return
	}
	r.appendProposals(batch)
}

// proposalError returns why proposals can't be accepted now, or nil.
func (r *Replica) proposalError() error {
	switch {
	case r.failure.Load() != nil:
		return r.failureError()
	case r.node.Role() != raft.Leader:
		return r.notLeaderError()
	case len(r.pendingProposals) >= r.opts.MaxPendingProposals:
		return fault.New(fault.Overloaded, "%d proposals are waiting to be committed", len(r.pendingProposals)).
			WithOutcome(fault.NotRun).WithRetryAfter(r.opts.HeartbeatInterval)
	default:
		return nil
	}
}

func (r *Replica) notLeaderError() *fault.Error {
	e := fault.New(fault.NotLeader, "replica %d is not the leader", r.opts.ID).WithOutcome(fault.NotRun)
	if r.node.Leader() != r.opts.ID { // otherwise it is transferring the leadership
		e.Leader = r.leaderAddress()
	}
	if e.Leader == "" {
		e.RetryAfter = r.opts.ElectionTimeout
	}
	return e
}

func (r *Replica) appendProposals(batch []*proposal) {
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	index, term, ok := r.node.Propose(commands)
	if ok {
		metricProposals.Add(len(batch))
	}
	for i, p := range batch {
		if !ok {
			p.finish(nil, r.notLeaderError())
			continue
		}
		p.term = term
		r.pendingProposals[index+uint64(i)] = p
	}
}

// failPendingRequests fails the pending proposals and voter changes with err, and the
// pending reads as not run.
func (r *Replica) failPendingRequests(err error) {
	for index, p := range r.pendingProposals {
		p.finish(nil, err)
		delete(r.pendingProposals, index)
	}
	for _, c := range r.pendingChanges {
		c.result <- err
	}
	r.pendingChanges = nil
	for id, req := range r.pendingReads {
		req.result <- readResult{err: r.readError()}
		delete(r.pendingReads, id)
	}
}

// readRequest is one ReadIndex call.
type readRequest struct {
	id                uint64 // the context of its raft.ReadState
	confirmed         bool
	index             uint64
	ticksSinceRequest int
	result            chan readResult
}

type readResult struct {
	index uint64
	err   error
}

// readRetryTicks is the time after which a follower asks the leader again, because a
// message may have been lost.
const readRetryTicks = 5

func (r *Replica) startRead(req *readRequest) {
	if r.failure.Load() != nil {
		req.result <- readResult{err: r.failureError()}
		return
	}
	if r.node == nil {
		req.result <- readResult{err: r.readError()}
		return
	}
	r.lastReadID++
	req.id = r.lastReadID
	r.pendingReads[req.id] = req
	r.node.ReadIndex(req.id)
}

func (r *Replica) retryReads() {
	for _, req := range r.pendingReads {
		req.ticksSinceRequest++
		if req.confirmed || req.ticksSinceRequest < readRetryTicks || r.node.Role() == raft.Leader {
			continue
		}
		req.ticksSinceRequest = 0
		r.node.ReadIndex(req.id)
	}
}

func (r *Replica) readError() *fault.Error {
	return fault.New(fault.Unavailable, "no leader confirmed the read").
		WithOutcome(fault.NotRun).WithRetryAfter(r.opts.HeartbeatInterval)
}

func (r *Replica) handleReadStates(states []raft.ReadState) {
	for _, s := range states {
		req := r.pendingReads[s.Context]
		switch {
		case req == nil || req.confirmed:
		case s.Rejected:
			delete(r.pendingReads, s.Context)
			req.result <- readResult{err: r.readError()}
		default:
			req.confirmed = true
			req.index = s.Index
		}
	}
	r.answerReads()
}

// answerReads answers the confirmed reads whose index is applied.
func (r *Replica) answerReads() {
	for id, req := range r.pendingReads {
		if req.confirmed && req.index <= r.applied {
			delete(r.pendingReads, id)
			req.result <- readResult{index: req.index}
		}
	}
}

// voterChange is one ChangeVoter or ReplaceVoter call.
type voterChange struct {
	id       uint64
	remove   bool
	replaced uint64 // id of the voter that is replaced, or raft.None
	result   chan error
}

func (c *voterChange) start(n *raft.Node, v *wirepb.Voter) error {
	if c.replaced != raft.None {
		return n.ReplaceVoter(v, c.replaced)
	}
	return n.ChangeVoter(v, c.remove)
}

func (r *Replica) startVoterChange(c *voterChange, v *wirepb.Voter) {
	switch {
	case r.failure.Load() != nil:
		c.result <- r.failureError()
		return
	case r.node == nil || r.node.Role() != raft.Leader:
		c.result <- r.notLeaderOrBootstrappingError()
		return
	}
	if err := c.start(r.node, v); err != nil {
		c.result <- err
		return
	}
	r.pendingChanges = append(r.pendingChanges, c)
}

// notLeaderOrBootstrappingError returns the error for a replica that is not the leader,
// possibly because the cluster is not bootstrapped yet.
func (r *Replica) notLeaderOrBootstrappingError() error {
	if r.node == nil {
		return fault.New(fault.NotLeader, "the cluster is not bootstrapped yet").WithOutcome(fault.NotRun)
	}
	return r.notLeaderError()
}

func (r *Replica) dropVoterChange(c *voterChange) {
	r.pendingChanges = slices.DeleteFunc(r.pendingChanges, func(other *voterChange) bool { return other == c })
}

// finishVoterChanges answers the voter changes that are part of the committed
// configuration.
func (r *Replica) finishVoterChanges() {
	if len(r.pendingChanges) == 0 {
		return
	}
	voters := r.node.VotersAt(r.node.Commit())
	r.pendingChanges = slices.DeleteFunc(r.pendingChanges, func(c *voterChange) bool {
		if !c.satisfiedBy(voters) {
			return false
		}
		c.result <- nil
		return true
	})
}

func (c *voterChange) satisfiedBy(voters []*wirepb.Voter) bool {
	has := func(id uint64, condition func(*wirepb.Voter) bool) bool {
		return slices.ContainsFunc(voters, func(v *wirepb.Voter) bool { return v.Id == id && condition(v) })
	}
	isMember := func(*wirepb.Voter) bool { return true }
	isVoter := func(v *wirepb.Voter) bool { return !v.Learner && v.Replaces == raft.None }
	switch {
	case c.remove:
		return !has(c.id, isMember)
	case c.replaced != raft.None && has(c.replaced, isMember):
		return false
	}
	return has(c.id, isVoter)
}

// durationToTicks converts a duration to a number of ticks, at least one.
func durationToTicks(d, tick time.Duration) int { return max(1, int(d/tick)) }
