package standin

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Timing is the cost model of an engine. A batch of n sessions with t prompt
// tokens takes Step + n*StepPerSession + t*PrefillPerToken.
type Timing struct {
	PerStep        time.Duration
	PerSession     time.Duration
	PerPromptToken time.Duration
}

const batchQueue = 4096

// batchJob is the work of one session in one step.
type batchJob struct {
	prefill int // prompt tokens
	run     func()
	done    chan struct{}
}

// batcher runs the steps of all sessions together: every step takes what is
// queued when it starts.
type batcher struct {
	timing   Timing
	switches *switchboard
	records  *recorder
	queue    chan *batchJob
}

func newBatcher(timing Timing, switches *switchboard, records *recorder) *batcher {
	return &batcher{timing: timing, switches: switches, records: records, queue: make(chan *batchJob, batchQueue)}
}

// submit runs a job in the next step and waits for it.
func (b *batcher) submit(ctx context.Context, prefill int, run func()) error {
	job := &batchJob{prefill: prefill, run: run, done: make(chan struct{})}
	select {
	case b.queue <- job:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Cancelled, "step")
	case <-b.switches.dead:
		return errDead()
	}
	select {
	case <-job.done:
		return nil
	case <-ctx.Done():
		// The job may still run. The session that it belongs to has ended.
		return fault.Wrap(ctx.Err(), fault.Cancelled, "step")
	case <-b.switches.dead:
		return errDead()
	}
}

func errDead() *fault.Error { return fault.New(fault.Unavailable, "engine died") }

// loop runs until ctx ends or the engine dies.
func (b *batcher) loop(ctx context.Context) {
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return
		}
		if b.switches.pass(ctx) != nil {
			return
		}
		b.switches.sleep(ctx, b.cost(batch))
		if b.switches.pass(ctx) != nil {
			return
		}
		if b.switches.countSteps(len(batch)) {
			b.switches.die()
			return
		}
		b.runAll(batch)
	}
}

func (b *batcher) runAll(batch []*batchJob) {
	b.records.add(func(r *Records) { r.Steps++ })
	for _, job := range batch {
		job.run()
		close(job.done)
	}
}

func (b *batcher) collect(ctx context.Context) []*batchJob {
	var batch []*batchJob
	select {
	case job := <-b.queue:
		batch = append(batch, job)
	case <-ctx.Done():
		return nil
	case <-b.switches.dead:
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

func (b *batcher) cost(batch []*batchJob) time.Duration {
	prefill := 0
	for _, job := range batch {
		prefill += job.prefill
	}
	return b.timing.PerStep + time.Duration(len(batch))*b.timing.PerSession + time.Duration(prefill)*b.timing.PerPromptToken
}
