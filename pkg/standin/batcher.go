package standin

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Timing is the cost model of an engine. A step with n sessions and t prompt
// tokens takes PerStep + n*PerSession + t*PerPromptToken.
type Timing struct {
	PerStep        time.Duration
	PerSession     time.Duration
	PerPromptToken time.Duration
}

const batchQueueLength = 4096

// batchJob is the work of one session in one step.
type batchJob struct {
	prefill int // prompt tokens
	run     func()
	done    chan struct{}
}

// batcher runs the steps of all sessions with continuous batching: each step
// takes the jobs that are queued when it starts.
type batcher struct {
	timing   Timing
	injector *faultInjector
	records  *recorder
	queue    chan *batchJob
}

func newBatcher(timing Timing, injector *faultInjector, records *recorder) *batcher {
	return &batcher{timing: timing, injector: injector, records: records, queue: make(chan *batchJob, batchQueueLength)}
}

// submit queues a job for the next step and waits until it has run.
func (b *batcher) submit(ctx context.Context, prefill int, run func()) error {
	job := &batchJob{prefill: prefill, run: run, done: make(chan struct{})}
	select {
	case b.queue <- job:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Cancelled, "step")
	case <-b.injector.crashed:
		return errCrashed()
	}
	select {
	case <-job.done:
		return nil
	case <-ctx.Done():
		// The job may still run, but its session has ended.
		return fault.Wrap(ctx.Err(), fault.Cancelled, "step")
	case <-b.injector.crashed:
		return errCrashed()
	}
}

func errCrashed() *fault.Error { return fault.New(fault.Unavailable, "engine crashed") }

// loop runs batches until ctx ends or the engine crashes.
func (b *batcher) loop(ctx context.Context) {
	for {
		batch := b.nextBatch(ctx)
		if batch == nil {
			return
		}
		if b.injector.waitWhileFrozen(ctx) != nil {
			return
		}
		b.injector.sleep(ctx, b.cost(batch))
		if b.injector.waitWhileFrozen(ctx) != nil {
			return
		}
		if b.injector.countSessionSteps(len(batch)) {
			b.injector.crash()
			return
		}
		b.runBatch(batch)
	}
}

func (b *batcher) runBatch(batch []*batchJob) {
	b.records.add(func(r *Records) { r.Steps++ })
	for _, job := range batch {
		job.run()
		close(job.done)
	}
}

// nextBatch waits for a job and returns it with all others that are queued. It
// returns nil if ctx ends or the engine crashes.
func (b *batcher) nextBatch(ctx context.Context) []*batchJob {
	var batch []*batchJob
	select {
	case job := <-b.queue:
		batch = append(batch, job)
	case <-ctx.Done():
		return nil
	case <-b.injector.crashed:
		return nil
	}
	for {
		select {
		case job := <-b.queue:
			batch = append(batch, job)
		default:
			return batch
		}
	}
}

// cost returns the time that a batch takes.
func (b *batcher) cost(batch []*batchJob) time.Duration {
	prefill := 0
	for _, job := range batch {
		prefill += job.prefill
	}
	return b.timing.PerStep + time.Duration(len(batch))*b.timing.PerSession + time.Duration(prefill)*b.timing.PerPromptToken
}
