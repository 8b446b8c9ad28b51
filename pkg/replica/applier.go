package replica

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// applierTask is one unit of work for the applier: an entry to apply, a snapshot to
// restore, or a request to take a snapshot.
type applierTask struct {
	entry        *wirepb.LogEntry
	proposal     *proposal // set on the replica that proposed the entry
	restore      *snapshot
	takeSnapshot bool
}

// applierState is the progress that the applier reports to the run goroutine.
type applierState struct {
	applied     uint64
	newSnapshot *snapshot // newest snapshot taken; its metadata has only the index and the size
	err         error
}

// applier owns the state machine. It runs in its own goroutine, so that a long Apply
// or Snapshot call does not delay heartbeats.
type applier struct {
	machine            StateMachine
	maxEntries         uint64 // applied entries after which a snapshot is taken
	maxBytes           int    // bytes of applied entries after which a snapshot is taken
	bytesSinceSnapshot int
	mu                 sync.Mutex
	queue              []applierTask
	state              applierState
	wake               chan struct{}
	notify             chan struct{}
	done               chan struct{}
	lastSnapshotIndex  uint64
}

func newApplier(o Options, applied uint64) *applier {
	return &applier{
		machine:           o.StateMachine,
		maxEntries:        uint64(o.SnapshotEntries),
		maxBytes:          o.SnapshotBytes,
		state:             applierState{applied: applied},
		lastSnapshotIndex: applied,
		wake:              make(chan struct{}, 1),
		notify:            make(chan struct{}, 1),
		done:              make(chan struct{}),
	}
}

func (a *applier) add(tasks ...applierTask) {
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
			if err := a.runTask(t); err != nil {
				a.updateState(func(s *applierState) { s.err = err })
				return
			}
		}
	}
}

func (a *applier) runTask(t applierTask) error {
	if t.restore != nil {
		index := t.restore.meta.Index
		if err := a.machine.Restore(t.restore.data); err != nil {
			return fault.Wrap(err, fault.Corrupt, "restore snapshot %d", index)
		}
		a.lastSnapshotIndex = index
		a.bytesSinceSnapshot = 0
		a.updateState(func(s *applierState) { s.applied = index })
		return nil
	}
	if t.takeSnapshot {
		return a.takeSnapshot(a.state.applied)
	}
	a.apply(t)
	a.bytesSinceSnapshot += len(t.entry.Data)
	if t.entry.Index-a.lastSnapshotIndex < a.maxEntries && a.bytesSinceSnapshot < a.maxBytes {
		return nil
	}
	return a.takeSnapshot(t.entry.Index)
}

func (a *applier) apply(t applierTask) {
	var value any
	if t.entry.Type == raft.EntryCommand {
		value = a.machine.Apply(t.entry.Index, t.entry.Data)
	}
	a.updateState(func(s *applierState) { s.applied = t.entry.Index })
	if t.proposal != nil {
		t.proposal.finish(value, nil)
	}
}

func (a *applier) takeSnapshot(index uint64) error {
	data, err := a.machine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "take snapshot %d", index)
	}
	a.lastSnapshotIndex = index
	a.bytesSinceSnapshot = 0
	meta := &wirepb.SnapshotMeta{Index: index, Size: uint64(len(data))}
	a.updateState(func(s *applierState) { s.newSnapshot = &snapshot{meta: meta, data: data} })
	return nil
}

func (a *applier) updateState(change func(*applierState)) {
	a.mu.Lock()
	change(&a.state)
	a.mu.Unlock()
	signal(a.notify)
}

// takeState returns the current state and clears newSnapshot, so that each snapshot
// is handled once.
func (a *applier) takeState() applierState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state
	a.state.newSnapshot = nil
	return s
}

// submitCommitted passes committed entries to the applier, together with their
// pending proposals.
func (r *Replica) submitCommitted(entries []*wirepb.LogEntry) {
	if len(entries) == 0 {
		return
	}
	tasks := make([]applierTask, 0, len(entries))
	for _, e := range entries {
		if e.Index <= r.applied {
			continue // a node that continues from the log hands out applied entries again
		}
		t := applierTask{entry: e}
		if p := r.pendingProposals[e.Index]; p != nil && p.term == e.Term {
			t.proposal = p
			delete(r.pendingProposals, e.Index)
		}
		tasks = append(tasks, t)
	}
	r.applier.add(tasks...)
}

// handleApplied takes over the progress of the applier.
func (r *Replica) handleApplied() {
	s := r.applier.takeState()
	if s.err != nil {
		r.fail(s.err)
		return
	}
	r.applied = s.applied
	if s.newSnapshot != nil {
		r.saveSnapshot(s.newSnapshot)
	}
	r.answerReads()
}
