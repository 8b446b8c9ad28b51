package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

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
