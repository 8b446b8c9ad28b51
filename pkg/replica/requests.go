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

// proposal is one call of Propose.
type proposal struct {
	data   []byte
	term   uint64
	result chan result
}

func (p *proposal) finish(value any, err error) { p.result <- result{value: value, err: err} }

// afterClose returns the result when it came before the replica was closed. A
// proposal that the owner had not taken is indistinguishable from one it had.
func (p *proposal) afterClose(r *Replica) (any, error) {
	select {
	case res := <-p.result:
		return res.value, res.err
	default:
		return nil, r.closedFault(fault.MayHaveRun)
	}
}

// maxBatchBytes bounds the proposals appended in one step.
const maxBatchBytes = 1 << 20

// propose appends a proposal together with those that wait behind it.
func (r *Replica) propose(first *proposal) {
	batch := []*proposal{first}
	size := len(first.data)
	for len(batch) < maxDrain && size < maxBatchBytes {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			size += len(p.data)
			continue
		default:
		}
		break
	}
	if refusal := r.refusal(); refusal != nil {
		for _, p := range batch {
			p.finish(nil, refusal)
		}
		return
	}
	r.appendProposals(batch)
}

// refusal returns why no proposal is taken now, or nil.
func (r *Replica) refusal() error {
	switch {
	case r.failure.Load() != nil:
		return r.failedFault()
	case r.node.Role() != raft.Leader:
		return r.notLeader()
	case len(r.pending) >= r.opts.MaxPendingProposals:
		return fault.New(fault.Overloaded, "%d proposals wait for their commit", len(r.pending)).
			WithOutcome(fault.NotRun).WithRetryAfter(r.opts.HeartbeatInterval)
	default:
		return nil
	}
}

func (r *Replica) notLeader() *fault.Error {
	e := fault.New(fault.NotLeader, "replica %d is not the leader", r.opts.ID).WithOutcome(fault.NotRun)
	if r.node.Leader() != r.opts.ID { // else it is handing the leadership over
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
			p.finish(nil, r.notLeader())
			continue
		}
		p.term = term
		r.pending[index+uint64(i)] = p
	}
}

func (r *Replica) failPending(err error) {
	for index, p := range r.pending {
		p.finish(nil, err)
		delete(r.pending, index)
	}
	for _, c := range r.changes {
		c.result <- err
	}
	r.changes = nil
	for context, rd := range r.reads {
		rd.result <- readResult{err: r.readFault()}
		delete(r.reads, context)
	}
}

// read is one call of ReadIndex.
type read struct {
	context   uint64
	confirmed bool
	index     uint64
	age       int // ticks since the last request
	result    chan readResult
}

type readResult struct {
	index uint64
	err   error
}

// readRetryTicks is the time after which a follower asks the leader again, as
// a message may have been lost.
const readRetryTicks = 5

func (r *Replica) startRead(rd *read) {
	if r.failure.Load() != nil {
		rd.result <- readResult{err: r.failedFault()}
		return
	}
	if r.node == nil {
		rd.result <- readResult{err: r.readFault()}
		return
	}
	r.readContext++
	rd.context = r.readContext
	r.reads[rd.context] = rd
	r.node.ReadIndex(rd.context)
}

func (r *Replica) retryReads() {
	for _, rd := range r.reads {
		rd.age++
		if rd.confirmed || rd.age < readRetryTicks || r.node.Role() == raft.Leader {
			continue
		}
		rd.age = 0
		r.node.ReadIndex(rd.context)
	}
}

func (r *Replica) readFault() *fault.Error {
	return fault.New(fault.Unavailable, "no leader confirmed the read").
		WithOutcome(fault.NotRun).WithRetryAfter(r.opts.HeartbeatInterval)
}

func (r *Replica) finishReads(states []raft.ReadState) {
	for _, s := range states {
		rd := r.reads[s.Context]
		switch {
		case rd == nil || rd.confirmed:
		case s.Rejected:
			delete(r.reads, s.Context)
			rd.result <- readResult{err: r.readFault()}
		default:
			rd.confirmed = true
			rd.index = s.Index
		}
	}
	r.releaseReads()
}

// releaseReads answers the confirmed reads whose index is applied.
func (r *Replica) releaseReads() {
	for context, rd := range r.reads {
		if rd.confirmed && rd.index <= r.applied {
			delete(r.reads, context)
			rd.result <- readResult{index: rd.index}
		}
	}
}

// voterChange is one call of ChangeVoter.
type voterChange struct {
	id     uint64
	remove bool
	result chan error
}

func (r *Replica) startChange(c *voterChange, v *wirepb.Voter) {
	switch {
	case r.failure.Load() != nil:
		c.result <- r.failedFault()
		return
	case r.node == nil || r.node.Role() != raft.Leader:
		c.result <- r.changeNotLeader()
		return
	}
	if err := r.node.ChangeVoter(v, c.remove); err != nil {
		c.result <- err
		return
	}
	r.changes = append(r.changes, c)
}

func (r *Replica) changeNotLeader() error {
	if r.node == nil {
		return fault.New(fault.NotLeader, "the cluster is not formed").WithOutcome(fault.NotRun)
	}
	return r.notLeader()
}

func (r *Replica) forgetChange(c *voterChange) {
	r.changes = slices.DeleteFunc(r.changes, func(other *voterChange) bool { return other == c })
}

// finishChanges answers the voter changes whose configuration is committed.
func (r *Replica) finishChanges() {
	if len(r.changes) == 0 {
		return
	}
	voters := r.node.VotersAt(r.node.Commit())
	r.changes = slices.DeleteFunc(r.changes, func(c *voterChange) bool {
		if !c.doneIn(voters) {
			return false
		}
		c.result <- nil
		return true
	})
}

func (c *voterChange) doneIn(voters []*wirepb.Voter) bool {
	for _, v := range voters {
		if v.Id == c.id {
			return !c.remove && !v.Learner
		}
	}
	return c.remove
}

// ticksOf converts a duration to ticks, at least one.
func ticksOf(d, tick time.Duration) int { return max(1, int(d/tick)) }
