package replica

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// snapshotRequest is one Snapshot call.
type snapshotRequest struct {
	index  uint64 // minimum index of a snapshot that answers the call
	result chan uint64
}

// Snapshot takes a snapshot now, waits until it is durable and returns its index.
func (r *Replica) Snapshot(ctx context.Context) (uint64, error) {
	c := &snapshotRequest{result: make(chan uint64, 1)}
	startErr := make(chan error, 1)
	if err := r.call(ctx, func() { startErr <- r.startSnapshot(c) }); err != nil {
		return 0, err
	}
	for {
		select {
		case index := <-c.result:
			return index, nil
		case err := <-startErr:
			if err != nil {
				return 0, err
			}
		case <-ctx.Done():
			return 0, fault.Wrap(ctx.Err(), fault.Deadline, "snapshot was not completed in time")
		case <-r.done:
			return 0, r.closedError(fault.MayHaveRun)
		}
	}
}

func (r *Replica) startSnapshot(c *snapshotRequest) error {
	switch {
	case r.failure.Load() != nil:
		return r.failureError()
	case r.node == nil:
		return fault.New(fault.Unavailable, "the cluster is not bootstrapped yet").WithOutcome(fault.NotRun)
	}
	c.index = r.applied
	if r.applied > r.latestSnapshot.meta.GetIndex() {
		r.applier.add(applierTask{takeSnapshot: true})
	}
	r.pendingSnapshots = append(r.pendingSnapshots, c)
	r.answerSnapshotRequests()
	return nil
}

// answerSnapshotRequests answers the calls that the newest durable snapshot covers.
func (r *Replica) answerSnapshotRequests() {
	index := r.latestSnapshot.meta.GetIndex()
	r.pendingSnapshots = slices.DeleteFunc(r.pendingSnapshots, func(c *snapshotRequest) bool {
		if index < c.index {
			return false
		}
		c.result <- index
		return true
	})
}

// saveSnapshot completes the metadata of a snapshot taken by the applier and passes it
// to the writer.
func (r *Replica) saveSnapshot(s *snapshot) {
	if r.failure.Load() != nil {
		return
	}
	term, found := r.node.TermAt(s.meta.Index)
	if !found {
		return // a newer snapshot from the leader has replaced the log
	}
	s.meta.Term = term
	s.meta.Voters = r.node.VotersAt(s.meta.Index)
	s.meta.Cluster = r.node.Cluster()
	r.savingSnapshot = s
	metricSnapshotsTaken.Inc()
	r.writer.add(writerJob{snapshot: s})
}

// handleSnapshotSaved compacts the log after a snapshot became durable. The stored log
// keeps the entries after the previous snapshot, so that the replica can recover from
// that one if the newest is damaged.
func (r *Replica) handleSnapshotSaved(index uint64) {
	for _, s := range []*snapshot{r.installingSnapshot, r.savingSnapshot} {
		if s != nil && s.meta.Index == index && index > r.latestSnapshot.meta.GetIndex() {
			previous := r.latestSnapshot.meta.GetIndex()
			r.latestSnapshot = *s
			r.node.Compact(index, r.opts.TrailingEntries, r.opts.TrailingBytes)
			r.writer.add(writerJob{compactIndex: previous})
		}
	}
	r.answerSnapshotRequests()
}

func (r *Replica) sendSnapshots(to []*wirepb.Voter) {
	for _, v := range to {
		if r.latestSnapshot.meta == nil || v == nil {
			continue
		}
		meta := proto.CloneOf(r.latestSnapshot.meta)
		meta.SenderTerm = r.node.Term()
		r.opts.Transport.SendSnapshot(v, meta, r.latestSnapshot.data)
	}
}

// installSnapshot passes a snapshot from the leader to the node, and to the applier if
// the node accepts it.
func (r *Replica) installSnapshot(m *wirepb.SnapshotMeta, from, term uint64, data []byte) {
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
	r.installingSnapshot = s
	r.applier.add(applierTask{restore: s})
}
