package replica

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/snap"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// snapshot is one state of the state machine.
type snapshot struct {
	meta *wirepb.SnapshotMeta
	data []byte
}

// job is one piece of work of the writer.
type job struct {
	seq     uint64 // of a raft.Write; zero for a snapshot taken here
	batch   wal.Batch
	save    *snapshot // saved before the batch is written
	compact uint64    // index up to which log segments may go
}

// written tells the owner what became durable.
type written struct {
	seq   uint64
	saved uint64 // index of the newest snapshot saved
	err   error
}

// writer writes and syncs in its own goroutine, so that the owner goes on
// sending heartbeats during a slow sync. Work that queues up meanwhile shares
// the next sync.
type writer struct {
	wal    *wal.Log
	store  *snap.Store
	mu     sync.Mutex
	queue  []job
	state  written
	wake   chan struct{}
	notify chan struct{}
	done   chan struct{}
}

func newWriter(l *wal.Log, o Options) *writer {
	return &writer{
		wal:    l,
		store:  snap.NewStore(o.FS, o.Dir),
		wake:   make(chan struct{}, 1),
		notify: make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

func (w *writer) add(j job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	signal(w.wake)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// close waits for the write under way.
func (w *writer) close() {
	close(w.wake)
	<-w.done
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		jobs := w.take()
		for len(jobs) > 0 {
			count := groupLength(jobs)
			if err := w.write(jobs[:count]); err != nil {
				w.report(written{err: err})
				return
			}
			jobs = jobs[count:]
		}
	}
}

func (w *writer) take() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.queue
	w.queue = nil
	return jobs
}

// groupLength returns how many jobs can share one sync. A snapshot starts a
// new group, because it must be saved before the log refers to it.
func groupLength(jobs []job) int {
	for i, j := range jobs {
		if i > 0 && j.save != nil {
			return i
		}
	}
	return len(jobs)
}

func (w *writer) write(jobs []job) error {
	var done written
	var batch wal.Batch
	var compact uint64
	for _, j := range jobs {
		if j.save != nil {
			if err := w.store.Save(j.save.meta, j.save.data); err != nil {
				return err
			}
			done.saved = j.save.meta.Index
		}
		if j.batch.Snapshot != nil {
			batch.Snapshot = j.batch.Snapshot
		}
		if j.batch.HardState != nil {
			batch.HardState = j.batch.HardState
		}
		batch.Entries = append(batch.Entries, j.batch.Entries...)
		compact = max(compact, j.compact)
		done.seq = max(done.seq, j.seq)
	}
	start := time.Now()
	if err := w.wal.Write(batch); err != nil {
		return err
	}
	metricSync.UpdateDuration(start)
	if compact > 0 {
		if err := w.wal.Compact(compact); err != nil {
			return err
		}
	}
	w.report(done)
	return nil
}

func (w *writer) report(done written) {
	w.mu.Lock()
	w.state.seq = max(w.state.seq, done.seq)
	w.state.saved = max(w.state.saved, done.saved)
	if done.err != nil {
		w.state.err = done.err
	}
	w.mu.Unlock()
	signal(w.notify)
}

func (w *writer) collect() written {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// write hands a raft.Write to the writer.
func (r *Replica) write(w *raft.Write) {
	if w == nil {
		return
	}
	j := job{seq: w.Seq, batch: wal.Batch{Entries: w.Entries}}
	if w.HardState != nil {
		hard := r.hard
		hard.Term = w.HardState.Term
		hard.Vote = w.HardState.Vote
		hard.Cluster = r.node.Cluster()
		j.batch.HardState = &hard
	}
	if w.Snapshot != nil {
		j.save = r.installing
		j.batch.Snapshot = w.Snapshot
	}
	r.writtenSeq = w.Seq
	r.writer.add(j)
}

// collectWrites tells the node what became durable.
func (r *Replica) collectWrites() {
	done := r.writer.collect()
	if r.failure.Load() != nil {
		return
	}
	if done.err != nil {
		r.fail(done.err)
		return
	}
	r.durableSeq = done.seq
	r.stalled = 0
	r.node.Persisted(done.seq)
	r.snapshotSaved(done.saved)
}
