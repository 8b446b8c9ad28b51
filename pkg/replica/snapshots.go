package replica

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// snapshotCall is one call of Snapshot.
type snapshotCall struct {
	index  uint64 // a snapshot of this index or a later one answers it
	result chan uint64
}

// Snapshot takes a snapshot now and returns its index once it is durable.
func (r *Replica) Snapshot(ctx context.Context) (uint64, error) {
	c := &snapshotCall{result: make(chan uint64, 1)}
	refused := make(chan error, 1)
	if err := r.call(ctx, func() { refused <- r.startSnapshot(c) }); err != nil {
		return 0, err
	}
	for {
		select {
		case index := <-c.result:
			return index, nil
		case err := <-refused:
			if err != nil {
				return 0, err
			}
		case <-ctx.Done():
			return 0, fault.Wrap(ctx.Err(), fault.Deadline, "snapshot was not finished in time")
		case <-r.done:
			return 0, r.closedFault(fault.MayHaveRun)
		}
	}
}

func (r *Replica) startSnapshot(c *snapshotCall) error {
	switch {
	case r.failure.Load() != nil:
		return r.failedFault()
	case r.node == nil:
		return fault.New(fault.Unavailable, "the cluster is not formed").WithOutcome(fault.NotRun)
	}
	c.index = r.applied
	if r.applied > r.latest.meta.GetIndex() {
		r.applier.add(task{take: true})
	}
	r.snapshots = append(r.snapshots, c)
	r.finishSnapshots()
	return nil
}

// finishSnapshots answers the calls that the newest durable snapshot covers.
func (r *Replica) finishSnapshots() {
	index := r.latest.meta.GetIndex()
	r.snapshots = slices.DeleteFunc(r.snapshots, func(c *snapshotCall) bool {
		if index < c.index {
			return false
		}
		c.result <- index
		return true
	})
}

// saveSnapshot completes the meta of a snapshot that the applier took and
// hands it to the writer.
func (r *Replica) saveSnapshot(s *snapshot) {
	if r.failure.Load() != nil {
		return
	}
	term, held := r.node.TermAt(s.meta.Index)
	if !held {
		return // a newer snapshot from the leader replaced the log meanwhile
	}
	s.meta.Term = term
	s.meta.Voters = r.node.VotersAt(s.meta.Index)
	s.meta.Cluster = r.node.Cluster()
	r.saving = s
	metricSnapshotsTaken.Inc()
	r.writer.add(job{save: s})
}

// snapshotSaved compacts behind a snapshot that became durable. The log keeps
// what continues the snapshot before it, so that the older one still serves
// when the newer one turns out to be damaged.
func (r *Replica) snapshotSaved(index uint64) {
	for _, s := range []*snapshot{r.installing, r.saving} {
		if s != nil && s.meta.Index == index && index > r.latest.meta.GetIndex() {
			previous := r.latest.meta.GetIndex()
			r.latest = *s
			r.node.Compact(index, r.opts.TrailingEntries, r.opts.TrailingBytes)
			r.writer.add(job{compact: previous})
		}
	}
	r.finishSnapshots()
}

func (r *Replica) sendSnapshots(to []*wirepb.Voter) {
	for _, v := range to {
		if r.latest.meta == nil || v == nil {
			continue
		}
		meta := proto.CloneOf(r.latest.meta)
		meta.SenderTerm = r.node.Term()
		r.opts.Transport.SendSnapshot(v, meta, r.latest.data)
	}
}

// install hands a snapshot from the leader to the node.
func (r *Replica) install(m *wirepb.SnapshotMeta, from, term uint64, data []byte) {
	if r.failure.Load() != nil || r.node == nil {
		return
	}
	if m.SenderTerm != 0 {
		term = m.SenderTerm
	}
	meta := proto.CloneOf(m)
	meta.SenderTerm = 0
	if !r.node.InstallSnapshot(meta, from, term) {
		return
	}
	metricSnapshotsInstalled.Inc()
	s := &snapshot{meta: meta, data: data}
	r.installing = s
	r.applier.add(task{restore: s})
}
