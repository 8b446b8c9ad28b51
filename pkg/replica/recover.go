package replica

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/snap"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// recover opens or creates the durable state. It also sets a random first ID of read
// requests, so that a late reply to an earlier process is not mistaken for a reply to
// this one.
func (r *Replica) recover() error {
	r.lastReadID = rand.Uint64()
	exists, err := wal.Exists(r.opts.FS, r.opts.Dir)
	if err != nil {
		return err
	}
	if !exists {
		return r.create()
	}
	l, state, err := wal.Open(r.walOptions())
	if err != nil {
		return err
	}
	r.wal = l
	if state.HardState.ID != r.opts.ID {
		return fault.New(fault.Conflict, "directory belongs to replica %d", state.HardState.ID).WithField("id")
	}
	if state.TruncatedBytes > 0 {
		r.log.Warn("Truncated an incomplete write at the end of the log.", logs.Int("bytes", state.TruncatedBytes))
	}
	return r.restore(state)
}

func (r *Replica) walOptions() wal.Options {
	return wal.Options{Dir: r.opts.Dir, FS: r.opts.FS, SegmentBytes: r.opts.SegmentBytes}
}

// create initializes an empty directory.
func (r *Replica) create() error {
	inBootstrap := false
	for _, v := range r.opts.Bootstrap {
		inBootstrap = inBootstrap || v.Id == r.opts.ID
	}
	if inBootstrap == r.opts.Join {
		return fault.New(fault.Invalid, "an empty directory requires either a bootstrap list that contains replica %d or the join option", r.opts.ID).WithField("bootstrap")
	}
	hardState := wal.HardState{ID: r.opts.ID}
	if !r.opts.Join {
		hardState.InitialVoters = r.opts.Bootstrap
	}
	l, err := wal.Create(r.walOptions(), hardState)
	if err != nil {
		return err
	}
	r.wal = l
	return r.restore(&wal.State{HardState: l.HardState()})
}

// restore prepares the bootstrap of a new cluster, or opens the node if there is no
// bootstrap or it is complete.
func (r *Replica) restore(state *wal.State) error {
	hardState := state.HardState
	if len(hardState.InitialVoters) > 0 {
		r.bootstrap = raft.NewBootstrap(hardState.ID, withMemberID(hardState.InitialVoters, hardState.ID, hardState.Member))
		r.bootstrapping = !hardState.Bootstrapped
	}
	if r.bootstrapping {
		r.opts.Transport.SetVoters(hardState.InitialVoters)
		if !r.bootstrap.Done() {
			return nil
		}
		return r.openBootstrappedNode()
	}
	return r.openNode(state)
}

// withMemberID returns a copy of voters in which the voter with the given ID has the
// given member ID.
func withMemberID(voters []*wirepb.Voter, id, member uint64) []*wirepb.Voter {
	var out []*wirepb.Voter
	for _, v := range voters {
		c := proto.CloneOf(v)
		if c.Id == id {
			c.Member = member
		}
		out = append(out, c)
	}
	return out
}

// openNode creates the node from the newest snapshot and the log entries after it.
func (r *Replica) openNode(state *wal.State) error {
	store := snap.NewStore(r.opts.FS, r.opts.Dir)
	meta, data, err := store.Load()
	if err != nil {
		return err
	}
	if meta != nil {
		r.latestSnapshot = snapshot{meta: meta, data: data}
		if meta.Index > r.applied {
			if err := r.opts.StateMachine.Restore(data); err != nil {
				return fault.Wrap(err, fault.Corrupt, "restore snapshot %d", meta.Index)
			}
			r.applied = meta.Index
		}
	} else {
		meta = &wirepb.SnapshotMeta{Voters: state.HardState.InitialVoters}
	}
	entries, err := r.reconcileLog(meta, state)
	if err != nil {
		return err
	}
	r.newNode(state.HardState, meta, entries)
	return nil
}

// reconcileLog returns the log entries to use with the snapshot. A log that ends
// before the snapshot or conflicts with it is discarded: the process stopped after it
// had saved the snapshot and before it had restarted the log.
func (r *Replica) reconcileLog(meta *wirepb.SnapshotMeta, state *wal.State) ([]*wirepb.LogEntry, error) {
	entries := state.Entries
	if state.Snapshot != nil && state.Snapshot.Index > meta.Index {
		return nil, fault.New(fault.Corrupt, "log continues snapshot %d, but the newest snapshot is %d", state.Snapshot.Index, meta.Index)
	}
	if len(entries) > 0 && entries[0].Index > meta.Index+1 {
		return nil, fault.New(fault.Corrupt, "log starts at entry %d, but the newest snapshot is %d", entries[0].Index, meta.Index)
	}
	if continuesSnapshot(state, meta) {
		return entries, nil
	}
	return nil, r.wal.Write(wal.Batch{Snapshot: meta})
}

// continuesSnapshot reports whether the log continues the snapshot without a gap or
// a conflict.
func continuesSnapshot(state *wal.State, meta *wirepb.SnapshotMeta) bool {
	if len(state.Entries) == 0 {
		return state.Snapshot.GetIndex() == meta.Index
	}
	return state.Entries[0].Index == meta.Index+1 || containsSnapshotEntry(state.Entries, meta)
}

// containsSnapshotEntry reports whether entries contain the last entry of the snapshot.
func containsSnapshotEntry(entries []*wirepb.LogEntry, meta *wirepb.SnapshotMeta) bool {
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if meta.Index < first || meta.Index > last {
		return false
	}
	return entries[meta.Index-first].Term == meta.Term
}

func (r *Replica) newNode(hardState wal.HardState, meta *wirepb.SnapshotMeta, entries []*wirepb.LogEntry) {
	r.hardState = hardState
	tick := r.opts.TickInterval
	r.node = raft.New(raft.Config{
		ID:             hardState.ID,
		Member:         hardState.Member,
		Cluster:        hardState.Cluster,
		ElectionTicks:  durationToTicks(r.opts.ElectionTimeout, tick),
		HeartbeatTicks: durationToTicks(r.opts.HeartbeatInterval, tick),
		Random:         r.opts.Random,
		HardState:      raft.HardState{Term: hardState.Term, Vote: hardState.Vote},
		Snapshot:       meta,
		Entries:        entries,
	})
}

// runBootstrap runs until all initial voters have confirmed the member IDs. It
// returns false when the replica was closed or must not run.
func (r *Replica) runBootstrap(ticks <-chan time.Time) bool {
	r.log.Info("Waiting for all initial voters to bootstrap the cluster.")
	r.opts.Transport.Send(r.bootstrap.Requests())
	for {
		select {
		case <-r.stop:
			return false
		case <-ticks:
			r.opts.Transport.Send(r.bootstrap.Requests())
		case m := <-r.messages:
			r.stepBootstrap(m)
		case p := <-r.proposals:
			p.finish(nil, r.notLeaderOrBootstrappingError())
		case f := <-r.calls:
			f()
		}
		switch {
		case r.failure.Load() != nil:
			return false
		case r.bootstrap.RefusedBy() != raft.None:
			r.fail(identityConflictError(r.opts.ID))
			return false
		case r.bootstrap.Done():
			return r.finishBootstrap()
		}
	}
}

func (r *Replica) stepBootstrap(m *wirepb.RaftMessage) {
	reply, recorded := r.bootstrap.Step(m)
	if recorded {
		hardState := r.wal.HardState()
		hardState.InitialVoters = r.bootstrap.Voters()
		if err := r.wal.Write(wal.Batch{HardState: &hardState}); err != nil {
			r.fail(err)
			return
		}
	}
	if reply != nil {
		r.opts.Transport.Send([]*wirepb.RaftMessage{reply})
	}
}

// finishBootstrap opens the node of the new cluster and fails the replica on an error.
func (r *Replica) finishBootstrap() bool {
	if err := r.openBootstrappedNode(); err != nil {
		r.fail(err)
		return false
	}
	r.log.Info("Cluster bootstrapped.", logs.Uint("cluster", r.bootstrap.ClusterID()))
	return true
}

// openBootstrappedNode makes the agreed configuration durable and opens the node.
func (r *Replica) openBootstrappedNode() error {
	hardState := r.wal.HardState()
	hardState.InitialVoters = r.bootstrap.Voters()
	hardState.Cluster = r.bootstrap.ClusterID()
	hardState.Bootstrapped = true
	if err := r.wal.Write(wal.Batch{HardState: &hardState}); err != nil {
		return err
	}
	r.bootstrapping = false
	return r.openNode(&wal.State{HardState: r.wal.HardState()})
}

// StoredID returns the ID of the replica that the data in dir belongs to, and false
// if the directory holds no data.
func StoredID(dir string) (uint64, bool, error) {
	exists, err := wal.Exists(wal.OS{}, dir)
	if err != nil || !exists {
		return 0, false, err
	}
	l, state, err := wal.Open(wal.Options{Dir: dir, FS: wal.OS{}, SegmentBytes: wal.DefaultSegmentBytes})
	if err != nil {
		return 0, false, err
	}
	return state.HardState.ID, true, l.Close()
}
