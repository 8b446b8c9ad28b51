package replica

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// task is one piece of work of the applier: an entry, a snapshot to restore, or
// the order to take a snapshot.
type task struct {
	entry    *wirepb.LogEntry
	proposal *proposal // set on the replica that proposed the entry
	restore  *snapshot
	take     bool
}

// appliedState tells the owner how far the applier is.
type appliedState struct {
	applied uint64
	taken   *snapshot // newest snapshot taken, with only the index in its meta
	err     error
}

// applier owns the state machine. It runs in its own goroutine, so that a long
// Apply or Snapshot does not delay heartbeats.
type applier struct {
	machine  StateMachine
	interval uint64 // entries between two snapshots
	maxBytes int    // bytes of entries between two snapshots
	bytes    int    // since the last snapshot
	mu       sync.Mutex
	queue    []task
	state    appliedState
	wake     chan struct{}
	notify   chan struct{}
	done     chan struct{}
	lastSnap uint64
}

func newApplier(o Options, applied uint64) *applier {
	return &applier{
		machine:  o.StateMachine,
		interval: uint64(o.SnapshotEntries),
		maxBytes: o.SnapshotBytes,
		state:    appliedState{applied: applied},
		lastSnap: applied,
		wake:     make(chan struct{}, 1),
		notify:   make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

func (a *applier) add(tasks ...task) {
	a.mu.Lock()
	a.queue = append(a.queue, tasks...)
	a.mu.Unlock()
	signal(a.wake)
}

func (a *applier) close() {
	close(a.wake)
	<-a.done
}

func (a *applier) run() {
	defer close(a.done)
	for range a.wake {
		a.mu.Lock()
		tasks := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, t := range tasks {
			if err := a.do(t); err != nil {
				a.report(func(s *appliedState) { s.err = err })
				return
			}
		}
	}
}

func (a *applier) do(t task) error {
	if t.restore != nil {
		index := t.restore.meta.Index
		if err := a.machine.Restore(t.restore.data); err != nil {
			return fault.Wrap(err, fault.Corrupt, "restore snapshot %d", index)
		}
		a.lastSnap = index
		a.bytes = 0
		a.report(func(s *appliedState) { s.applied = index })
		return nil
	}
	if t.take {
		return a.takeSnapshot(a.state.applied)
	}
	a.apply(t)
	a.bytes += len(t.entry.Data)
	if t.entry.Index-a.lastSnap < a.interval && a.bytes < a.maxBytes {
		return nil
	}
	return a.takeSnapshot(t.entry.Index)
}

func (a *applier) apply(t task) {
	var value any
	if t.entry.Type == raft.EntryCommand {
		value = a.machine.Apply(t.entry.Index, t.entry.Data)
	}
	a.report(func(s *appliedState) { s.applied = t.entry.Index })
	if t.proposal != nil {
		t.proposal.finish(value, nil)
	}
}

func (a *applier) takeSnapshot(index uint64) error {
	data, err := a.machine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "take snapshot %d", index)
	}
	a.lastSnap = index
	a.bytes = 0
	meta := &wirepb.SnapshotMeta{Index: index, Size: uint64(len(data))}
	a.report(func(s *appliedState) { s.taken = &snapshot{meta: meta, data: data} })
	return nil
}

func (a *applier) report(change func(*appliedState)) {
	a.mu.Lock()
	change(&a.state)
	a.mu.Unlock()
	signal(a.notify)
}

func (a *applier) collect() appliedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state
	a.state.taken = nil
	return s
}

// apply hands committed entries to the applier, with the proposals that wait
// for them.
func (r *Replica) apply(entries []*wirepb.LogEntry) {
	if len(entries) == 0 {
		return
	}
	tasks := make([]task, 0, len(entries))
	for _, e := range entries {
		t := task{entry: e}
		if p := r.pending[e.Index]; p != nil && p.term == e.Term {
			t.proposal = p
			delete(r.pending, e.Index)
		}
		tasks = append(tasks, t)
	}
	r.applier.add(tasks...)
}

func (r *Replica) collectApplied() {
	s := r.applier.collect()
	if s.err != nil {
		r.fail(s.err)
		return
	}
	r.applied = s.applied
	if s.taken != nil {
		r.saveSnapshot(s.taken)
	}
	r.releaseReads()
}
