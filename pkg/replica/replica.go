// Package replica runs one replica of the replicated state: it connects the Raft
// node with its log, snapshots, transport and state machine.
package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Status is the state of a replica at one point in time.
type Status struct {
	ID                uint64
	Role              raft.Role
	Term              uint64
	Leader            uint64
	LeaderPeerAddress string
	Commit            uint64 // index of the last committed entry
	Applied           uint64 // index of the last applied entry
	Last              uint64 // index of the last log entry
	Snapshot          uint64 // index of the newest durable snapshot
	Voters            []*wirepb.Voter
	CommittedVoters   []*wirepb.Voter // voters of the last committed change of membership
	Bootstrapping     bool
	// FatalError is the failure that stopped the replica, or nil. Only a full disk is a
	// failure that ends: the replica goes on once there is room.
	FatalError error
}

// Replica is one running member of the cluster.
type Replica struct {
	opts          Options
	log           logs.Logger
	node          *raft.Node
	bootstrap     *raft.Bootstrap
	bootstrapping bool
	wal           *wal.Log
	writer        *writer
	applier       *applier

	messages  chan *wirepb.RaftMessage
	proposals chan *proposal
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	closeErr  error
	status    atomic.Pointer[Status]
	failure   atomic.Pointer[fault.Error]

	// The fields below are owned by the run goroutine.
	pendingProposals   map[uint64]*proposal
	pendingReads       map[uint64]*readRequest
	lastReadID         uint64
	pendingChanges     []*voterChange
	pendingSnapshots   []*snapshotRequest
	applied            uint64
	hardState          wal.HardState // without the current Term, Vote and Cluster, which the node owns
	latestSnapshot     snapshot      // newest durable snapshot
	installingSnapshot *snapshot     // received from the leader
	savingSnapshot     *snapshot     // taken by this replica
	wasLeader          bool
	transferDone       chan struct{} // closed once the leadership transfer of Close has ended
	submittedSeq       uint64        // last write submitted to the writer
	durableSeq         uint64        // last write known to be durable
	stalledTicks       int           // ticks without progress of the writer
}

const inputQueueLength = 1024

// Open starts a replica. It recovers the state in Dir, or initializes it if Dir is
// empty.
func Open(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:             o,
		log:              o.Log.Component("replica"),
		messages:         make(chan *wirepb.RaftMessage, inputQueueLength),
		proposals:        make(chan *proposal, inputQueueLength),
		calls:            make(chan func(), inputQueueLength),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*readRequest{},
	}
	if err := r.recover(); err != nil {
		if r.wal != nil {
			_ = r.wal.Close()
		}
		return nil, err
	}
	r.publishStatus()
	go r.run()
	return r, nil
}

// Step queues a message from the transport. When the queue is full, it drops the
// message, as a network may do.
func (r *Replica) Step(m *wirepb.RaftMessage) {
	select {
	case r.messages <- m:
	default:
	}
}

// Propose replicates data and returns the result of its Apply call. An error with
// outcome NotRun guarantees that the data is never applied; after fault.UnknownOutcome
// it may be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > r.opts.MaxProposalBytes {
		return nil, fault.New(fault.Invalid, "proposal of %d bytes exceeds the limit of %d", len(data), r.opts.MaxProposalBytes).WithOutcome(fault.NotRun)
	}
	p := &proposal{data: data, result: make(chan result, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Deadline, "proposal was not accepted in time").WithOutcome(fault.NotRun)
	case <-r.done:
		return nil, r.closedError(fault.NotRun)
	}
	select {
	case res := <-p.result:
		return res.value, res.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.UnknownOutcome, "proposal was not confirmed in time").WithOutcome(fault.MayHaveRun)
	case <-r.done:
		return p.resultAfterClose(r)
	}
}

// ReadIndex waits until the local state machine reflects every write that finished
// before the call, and returns the index of the read, which is applied by then.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	req := &readRequest{result: make(chan readResult, 1)}
	if err := r.call(ctx, func() { r.startRead(req) }); err != nil {
		return 0, err
	}
	select {
	case res := <-req.result:
		return res.index, res.err
	case <-ctx.Done():
		r.post(func() { delete(r.pendingReads, req.id) })
		return 0, fault.Wrap(ctx.Err(), fault.Deadline, "read was not confirmed in time").WithOutcome(fault.NotRun)
	case <-r.done:
		return 0, r.closedError(fault.NotRun)
	}
}

// ChangeVoter removes v, or adds it as a learner and waits until it has caught up and
// become a voter. A repeated call for a learner continues to wait.
func (r *Replica) ChangeVoter(ctx context.Context, v *wirepb.Voter, remove bool) error {
	return r.runVoterChange(ctx, &voterChange{id: v.Id, remove: remove}, v)
}

// ReplaceVoter replaces a voter by v in one change and waits until v votes and the
// replaced one is no member. A repeated call continues to wait.
func (r *Replica) ReplaceVoter(ctx context.Context, v *wirepb.Voter, replaced uint64) error {
	return r.runVoterChange(ctx, &voterChange{id: v.Id, replaced: replaced}, v)
}

func (r *Replica) runVoterChange(ctx context.Context, c *voterChange, v *wirepb.Voter) error {
	c.result = make(chan error, 1)
	if err := r.call(ctx, func() { r.startVoterChange(c, v) }); err != nil {
		return err
	}
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		r.post(func() { r.dropVoterChange(c) })
		return fault.Wrap(ctx.Err(), fault.UnknownOutcome, "voter change was not confirmed in time").WithOutcome(fault.MayHaveRun)
	case <-r.done:
		return r.closedError(fault.MayHaveRun)
	}
}

// InstallSnapshot queues a snapshot from the leader for installation.
func (r *Replica) InstallSnapshot(m *wirepb.SnapshotMeta, from, term uint64, data []byte) error {
	if m.Size != uint64(len(data)) {
		return fault.New(fault.Protocol, "snapshot has %d bytes, but its metadata states %d", len(data), m.Size)
	}
	return r.call(context.Background(), func() { r.installSnapshot(m, from, term, data) })
}

// Status returns the state after the last step.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	if f := r.failure.Load(); f != nil {
		s.FatalError = f
		s.Role = raft.Follower
	}
	return s
}

// Close stops the replica. A leader first tries to transfer its leadership, for at
// most one election timeout. Proposals that were not confirmed return
// fault.UnknownOutcome.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() {
		r.transferLeadership()
		close(r.stop)
		<-r.done
		r.closeErr = r.wal.Close()
	})
	return r.closeErr
}

// call queues f for the run goroutine.
func (r *Replica) call(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "replica is busy").WithOutcome(fault.NotRun)
	case <-r.done:
		return r.closedError(fault.NotRun)
	}
}

// post queues f for the run goroutine, unless the replica is closed.
func (r *Replica) post(f func()) {
	select {
	case r.calls <- f:
	case <-r.done:
	}
}

func (r *Replica) closedError(o fault.Outcome) error {
	kind := fault.Draining
	if o != fault.NotRun {
		kind = fault.UnknownOutcome
	}
	return fault.New(kind, "replica is closed").WithOutcome(o)
}
