package replica

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/snap"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// snapshot is a serialized state of the state machine with its metadata.
type snapshot struct {
	meta *wirepb.SnapshotMeta
	data []byte
}

// writerJob is one unit of work for the writer.
type writerJob struct {
	seq          uint64 // sequence number of a raft.Write; zero if there is none
	batch        wal.Batch
	snapshot     *snapshot // saved before the batch is written
	compactIndex uint64    // entries up to this index may be removed from the log
}

// writerProgress is the durable progress that the writer reports to the run goroutine.
type writerProgress struct {
	seq           uint64
	snapshotIndex uint64 // index of the newest snapshot saved
	err           error
}

// writer writes and syncs in its own goroutine, so that the run goroutine continues to
// send heartbeats during a slow sync. Jobs that arrive meanwhile share the next sync.
type writer struct {
	wal             *wal.Log
	snapshotStore   *snap.Store
	mu              sync.Mutex
	queue           []writerJob
	durableProgress writerProgress
	wake            chan struct{}
	notify          chan struct{}
	done            chan struct{}
}

func newWriter(l *wal.Log, o Options) *writer {
	return &writer{
		wal:           l,
		snapshotStore: snap.NewStore(o.FS, o.Dir),
		wake:          make(chan struct{}, 1),
		notify:        make(chan struct{}, 1),
		done:          make(chan struct{}),
	}
}

func (w *writer) add(j writerJob) {
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

// close waits until the current write has finished.
func (w *writer) close() {
	close(w.wake)
	<-w.done
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		jobs := w.takeJobs()
		for len(jobs) > 0 {
			count := groupLength(jobs)
			if err := w.write(jobs[:count]); err != nil {
				w.report(writerProgress{err: err})
				return
			}
			jobs = jobs[count:]
		}
	}
}

func (w *writer) takeJobs() []writerJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.queue
	w.queue = nil
	return jobs
}

// groupLength returns how many of the first jobs can share one sync. A snapshot starts
// a new group, because it must be saved before the log refers to it.
func groupLength(jobs []writerJob) int {
	for i, j := range jobs {
		if i > 0 && j.snapshot != nil {
			return i
		}
	}
	return len(jobs)
}

func (w *writer) write(jobs []writerJob) error {
	var progress writerProgress
	var batch wal.Batch
	var compact uint64
	for _, j := range jobs {
		if j.snapshot != nil {
			if err := w.snapshotStore.Save(j.snapshot.meta, j.snapshot.data); err != nil {
				return err
			}
			progress.snapshotIndex = j.snapshot.meta.Index
		}
		if j.batch.Snapshot != nil {
			batch.Snapshot = j.batch.Snapshot
		}
		if j.batch.HardState != nil {
			batch.HardState = j.batch.HardState
		}
		batch.Entries = append(batch.Entries, j.batch.Entries...)
		compact = max(compact, j.compactIndex)
		progress.seq = max(progress.seq, j.seq)
	}
	start := time.Now()
	if err := w.wal.Write(batch); err != nil {
		return err
	}
	metricLogWrite.UpdateDuration(start)
	if compact > 0 {
		if err := w.wal.Compact(compact); err != nil {
			return err
		}
	}
	w.report(progress)
	return nil
}

func (w *writer) report(progress writerProgress) {
	w.mu.Lock()
	w.durableProgress.seq = max(w.durableProgress.seq, progress.seq)
	w.durableProgress.snapshotIndex = max(w.durableProgress.snapshotIndex, progress.snapshotIndex)
	if progress.err != nil {
		w.durableProgress.err = progress.err
	}
	w.mu.Unlock()
	signal(w.notify)
}

func (w *writer) latestProgress() writerProgress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.durableProgress
}

// submitWrite passes a raft.Write to the writer.
func (r *Replica) submitWrite(w *raft.Write) {
	if w == nil {
		return
	}
	j := writerJob{seq: w.Seq, batch: wal.Batch{Entries: w.Entries}}
	if w.HardState != nil {
		hardState := r.hardState
		hardState.Term = w.HardState.Term
		hardState.Vote = w.HardState.Vote
		hardState.Cluster = r.node.Cluster()
		j.batch.HardState = &hardState
	}
	if w.Snapshot != nil {
		j.snapshot = r.installingSnapshot
		j.batch.Snapshot = w.Snapshot
	}
	r.submittedSeq = w.Seq
	r.writer.add(j)
}

// handleWritten tells the node which writes became durable.
func (r *Replica) handleWritten() {
	progress := r.writer.latestProgress()
	if r.failure.Load() != nil {
		return
	}
	if progress.err != nil {
		r.fail(progress.err)
		return
	}
	r.durableSeq = progress.seq
	r.stalledTicks = 0
	r.node.Persisted(progress.seq)
	r.handleSnapshotSaved(progress.snapshotIndex)
}
