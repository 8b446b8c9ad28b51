// Package replica runs one member of the control cluster: it connects the
// consensus algorithm with its log, snapshots, transport and state machine.
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

// Status is a view of a replica.
type Status struct {
	ID            uint64
	Role          raft.Role
	Term          uint64
	Leader        uint64
	LeaderAddress string
	Commit        uint64
	Applied       uint64
	Last          uint64
	Snapshot      uint64 // index of the newest durable snapshot
	Voters        []*wirepb.Voter
	Forming       bool
	// Failed is set once the replica stopped for good.
	Failed error
}

// Replica is one running member.
type Replica struct {
	opts      Options
	log       logs.Logger
	node      *raft.Node
	formation *raft.Bootstrap
	forming   bool
	wal       *wal.Log
	writer    *writer
	applier   *applier

	messages  chan *wirepb.RaftMessage
	proposals chan *proposal
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	closeErr  error
	status    atomic.Pointer[Status]
	failure   atomic.Pointer[fault.Error]

	// Owned by the goroutine run.
	pending     map[uint64]*proposal
	reads       map[uint64]*read
	readContext uint64
	changes     []*voterChange
	snapshots   []*snapshotCall
	applied     uint64
	hard        wal.HardState // the parts that raft does not own
	latest      snapshot      // newest durable snapshot
	installing  *snapshot     // received from the leader
	saving      *snapshot     // taken here
	wasLeader   bool
	handedOver  chan struct{} // closed once Close may go on
	writtenSeq  uint64        // last write handed to the writer
	durableSeq  uint64        // last write known to be durable
	stalled     int           // ticks without progress of the writer
}

const queueLength = 1024

// Open starts a replica. It recovers the state in Dir, or starts a new one
// when Dir is empty.
func Open(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      o,
		log:       o.Log.Component("replica"),
		messages:  make(chan *wirepb.RaftMessage, queueLength),
		proposals: make(chan *proposal, queueLength),
		calls:     make(chan func(), queueLength),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		pending:   map[uint64]*proposal{},
		reads:     map[uint64]*read{},
	}
	if err := r.recover(); err != nil {
		if r.wal != nil {
			_ = r.wal.Close()
		}
		return nil, err
	}
	r.publish()
	go r.run()
	return r, nil
}

// Step hands over a message from the transport. A message that finds the
// queue full is dropped, as a network may do.
func (r *Replica) Step(m *wirepb.RaftMessage) {
	select {
	case r.messages <- m:
	default:
	}
}

// Propose replicates data and returns the result of its Apply. A refusal with
// outcome NotRun is final; fault.Unknown means that the data may be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > r.opts.MaxProposalBytes {
		return nil, fault.New(fault.Invalid, "proposal of %d bytes is over the limit of %d", len(data), r.opts.MaxProposalBytes).WithOutcome(fault.NotRun)
	}
	p := &proposal{data: data, result: make(chan result, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Deadline, "proposal was not taken").WithOutcome(fault.NotRun)
	case <-r.done:
		return nil, r.closedFault(fault.NotRun)
	}
	select {
	case res := <-p.result:
		return res.value, res.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unknown, "proposal was not confirmed in time").WithOutcome(fault.MayHaveRun)
	case <-r.done:
		return p.afterClose(r)
	}
}

// ReadIndex returns an index such that the local state machine, which has
// applied it, reflects every write that finished before the call.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	rd := &read{result: make(chan readResult, 1)}
	if err := r.call(ctx, func() { r.startRead(rd) }); err != nil {
		return 0, err
	}
	select {
	case res := <-rd.result:
		return res.index, res.err
	case <-ctx.Done():
		r.post(func() { delete(r.reads, rd.context) })
		return 0, fault.Wrap(ctx.Err(), fault.Deadline, "read was not confirmed in time").WithOutcome(fault.NotRun)
	case <-r.done:
		return 0, r.closedFault(fault.NotRun)
	}
}

// ChangeVoter adds v as a learner and waits until it caught up and became a
// voter, or removes it. A repeated call for a learner goes on waiting.
func (r *Replica) ChangeVoter(ctx context.Context, v *wirepb.Voter, remove bool) error {
	c := &voterChange{id: v.Id, remove: remove, result: make(chan error, 1)}
	if err := r.call(ctx, func() { r.startChange(c, v) }); err != nil {
		return err
	}
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		r.post(func() { r.forgetChange(c) })
		return fault.Wrap(ctx.Err(), fault.Unknown, "voter change was not confirmed in time").WithOutcome(fault.MayHaveRun)
	case <-r.done:
		return r.closedFault(fault.MayHaveRun)
	}
}

// InstallSnapshot hands over a snapshot from the leader.
func (r *Replica) InstallSnapshot(m *wirepb.SnapshotMeta, from, term uint64, data []byte) error {
	if m.Size != uint64(len(data)) {
		return fault.New(fault.Protocol, "snapshot has %d bytes, its meta says %d", len(data), m.Size)
	}
	return r.call(context.Background(), func() { r.install(m, from, term, data) })
}

// Status returns the state as of the last step.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	if f := r.failure.Load(); f != nil {
		s.Failed = f
		s.Role = raft.Follower
	}
	return s
}

// Close stops the replica. A leader first hands the leadership over, for not
// longer than one election time-out. Proposals that were not confirmed return
// fault.Unknown.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() {
		r.handOver()
		close(r.stop)
		<-r.done
		r.closeErr = r.wal.Close()
	})
	return r.closeErr
}

// call runs f in the owner.
func (r *Replica) call(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "replica is busy").WithOutcome(fault.NotRun)
	case <-r.done:
		return r.closedFault(fault.NotRun)
	}
}

func (r *Replica) post(f func()) {
	select {
	case r.calls <- f:
	case <-r.done:
	}
}

func (r *Replica) closedFault(o fault.Outcome) error {
	kind := fault.Draining
	if o != fault.NotRun {
		kind = fault.Unknown
	}
	return fault.New(kind, "replica is closed").WithOutcome(o)
}
