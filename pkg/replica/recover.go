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

// recover opens or creates the durable state. Read contexts start at a random
// number, so that a late answer to an earlier process is not taken for one to
// this process.
func (r *Replica) recover() error {
	r.readContext = rand.Uint64()
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
		r.log.Warn("Cut an interrupted write off the log.", logs.Int("bytes", state.TruncatedBytes))
	}
	return r.restore(state)
}

func (r *Replica) walOptions() wal.Options {
	return wal.Options{Dir: r.opts.Dir, FS: r.opts.FS, SegmentSize: r.opts.SegmentSize}
}

// create starts on an empty directory.
func (r *Replica) create() error {
	named := false
	for _, v := range r.opts.Bootstrap {
		named = named || v.Id == r.opts.ID
	}
	if named == r.opts.Join {
		return fault.New(fault.Invalid, "an empty directory needs either a bootstrap list that names replica %d or join", r.opts.ID).WithField("bootstrap")
	}
	hard := wal.HardState{ID: r.opts.ID}
	if !r.opts.Join {
		hard.InitialVoters = r.opts.Bootstrap
	}
	l, err := wal.Create(r.walOptions(), hard)
	if err != nil {
		return err
	}
	r.wal = l
	return r.restore(&wal.State{HardState: l.HardState()})
}

func (r *Replica) restore(state *wal.State) error {
	hard := state.HardState
	if len(hard.InitialVoters) > 0 {
		r.formation = raft.NewBootstrap(hard.ID, withMember(hard.InitialVoters, hard.ID, hard.Member))
		r.forming = !hard.Bootstrapped
	}
	if r.forming {
		r.opts.Transport.SetVoters(hard.InitialVoters)
		if !r.formation.Done() {
			return nil
		}
		return r.completeFormation()
	}
	return r.openNode(state)
}

func withMember(voters []*wirepb.Voter, id, member uint64) []*wirepb.Voter {
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

// openNode combines the newest snapshot with the log behind it.
func (r *Replica) openNode(state *wal.State) error {
	store := snap.NewStore(r.opts.FS, r.opts.Dir)
	meta, data, err := store.Load()
	if err != nil {
		return err
	}
	if meta != nil {
		if err := r.opts.StateMachine.Restore(data); err != nil {
			return fault.Wrap(err, fault.Corrupt, "restore snapshot %d", meta.Index)
		}
		r.latest = snapshot{meta: meta, data: data}
		r.applied = meta.Index
	} else {
		meta = &wirepb.SnapshotMeta{Voters: state.HardState.InitialVoters}
	}
	entries, err := r.joinLog(meta, state)
	if err != nil {
		return err
	}
	r.newNode(state.HardState, meta, entries)
	return nil
}

// joinLog returns the entries of the log that continue the snapshot. A log
// that ends before the snapshot, or differs from it, is superseded: the
// process stopped between saving the snapshot and restarting the log.
func (r *Replica) joinLog(meta *wirepb.SnapshotMeta, state *wal.State) ([]*wirepb.LogEntry, error) {
	entries := state.Entries
	if state.Snapshot != nil && state.Snapshot.Index > meta.Index {
		return nil, fault.New(fault.Corrupt, "log continues snapshot %d, the newest one is %d", state.Snapshot.Index, meta.Index)
	}
	if len(entries) > 0 && entries[0].Index > meta.Index+1 {
		return nil, fault.New(fault.Corrupt, "log starts at entry %d, the newest snapshot is %d", entries[0].Index, meta.Index)
	}
	if continues(state, meta) {
		return entries, nil
	}
	return nil, r.wal.Write(wal.Batch{Snapshot: meta})
}

func continues(state *wal.State, meta *wirepb.SnapshotMeta) bool {
	if len(state.Entries) == 0 {
		return state.Snapshot.GetIndex() == meta.Index
	}
	return state.Entries[0].Index == meta.Index+1 || covers(state.Entries, meta)
}

// covers reports whether entries contain the last one of the snapshot.
func covers(entries []*wirepb.LogEntry, meta *wirepb.SnapshotMeta) bool {
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if meta.Index < first || meta.Index > last {
		return false
	}
	return entries[meta.Index-first].Term == meta.Term
}

func (r *Replica) newNode(hard wal.HardState, meta *wirepb.SnapshotMeta, entries []*wirepb.LogEntry) {
	r.hard = hard
	tick := r.opts.TickInterval
	r.node = raft.New(raft.Config{
		ID:             hard.ID,
		Member:         hard.Member,
		Cluster:        hard.Cluster,
		ElectionTicks:  ticksOf(r.opts.ElectionTimeout, tick),
		HeartbeatTicks: ticksOf(r.opts.HeartbeatInterval, tick),
		Random:         r.opts.Random,
		HardState:      raft.HardState{Term: hard.Term, Vote: hard.Vote},
		Snapshot:       meta,
		Entries:        entries,
	})
}

// form runs until the initial voters agreed on their disks. It returns false
// when the replica was closed or must not run.
func (r *Replica) form(ticks <-chan time.Time) bool {
	r.log.Info("Waiting for all initial voters to form the cluster.")
	r.opts.Transport.Send(r.formation.Requests())
	for {
		select {
		case <-r.stop:
			return false
		case <-ticks:
			r.opts.Transport.Send(r.formation.Requests())
		case m := <-r.messages:
			r.stepFormation(m)
		case p := <-r.proposals:
			p.finish(nil, r.changeNotLeader())
		case f := <-r.calls:
			f()
		}
		switch {
		case r.failure.Load() != nil:
			return false
		case r.formation.RefusedBy() != raft.None:
			r.fail(identityFault(r.opts.ID))
			return false
		case r.formation.Done():
			return r.finishFormation()
		}
	}
}

func (r *Replica) stepFormation(m *wirepb.RaftMessage) {
	reply, noted := r.formation.Step(m)
	if noted {
		hard := r.wal.HardState()
		hard.InitialVoters = r.formation.Voters()
		if err := r.wal.Write(wal.Batch{HardState: &hard}); err != nil {
			r.fail(err)
			return
		}
	}
	if reply != nil {
		r.opts.Transport.Send([]*wirepb.RaftMessage{reply})
	}
}

func (r *Replica) finishFormation() bool {
	if err := r.completeFormation(); err != nil {
		r.fail(err)
		return false
	}
	r.log.Info("Cluster formed.", logs.Uint("cluster", r.formation.ClusterID()))
	return true
}

// completeFormation makes the agreed configuration durable and creates the
// node.
func (r *Replica) completeFormation() error {
	hard := r.wal.HardState()
	hard.InitialVoters = r.formation.Voters()
	hard.Cluster = r.formation.ClusterID()
	hard.Bootstrapped = true
	if err := r.wal.Write(wal.Batch{HardState: &hard}); err != nil {
		return err
	}
	r.forming = false
	return r.openNode(&wal.State{HardState: r.wal.HardState()})
}

// StoredID returns the id of the replica that the data in dir belongs to, and
// false for a folder without data.
func StoredID(dir string) (uint64, bool, error) {
	exists, err := wal.Exists(wal.OS{}, dir)
	if err != nil || !exists {
		return 0, false, err
	}
	l, state, err := wal.Open(wal.Options{Dir: dir, FS: wal.OS{}, SegmentSize: wal.DefaultSegmentSize})
	if err != nil {
		return 0, false, err
	}
	return state.HardState.ID, true, l.Close()
}
