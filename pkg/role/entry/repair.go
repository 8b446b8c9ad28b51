package entry

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// recover decides what follows a failed attempt. It returns nil when the next
// attempt is prepared, and the error for the caller otherwise. See
// docs/decisions/0011-retry-and-repair.md.
func (g *generation) recover(ctx context.Context, err *fault.Error) error {
	if err.Outcome != fault.NotRun {
		g.ran = true
	}
	if g.emitErr != nil {
		return g.emitErr
	}
	if ctx.Err() != nil {
		return err
	}
	if err.Kind == fault.Preempted && g.preemptions < maxPreemptions {
		return g.requeue(ctx, err)
	}
	if !mayMove(err.Kind) {
		return err
	}
	g.requeued = false
	failed := g.failedStage(err)
	g.entry.observe(g.chain[failed].Host, err)
	avoid := g.chain[failed].DataCentre
	plan, planErr := g.stream.Fail(g.plan.Epoch, failed)
	if planErr != nil {
		return err // no repair is left; the cause says more than that
	}
	if g.whole() {
		return nil
	}
	if !g.begun() && !g.entry.retryAllowed() {
		return err
	}
	g.count()
	return g.resume(ctx, plan, avoid, err)
}

// maxPreemptions is far above the bound that agents keep, and ends a loop with
// an agent that keeps none.
const maxPreemptions = 16

// requeue sends a preempted request to a queue again. It waits there as long as
// new work would, because nothing has failed.
func (g *generation) requeue(ctx context.Context, cause *fault.Error) error {
	plan, err := g.stream.Preempt(g.plan.Epoch)
	if err != nil {
		return cause
	}
	if g.whole() {
		return nil
	}
	g.preemptions++
	g.requeued = true
	g.entry.metrics.preemptions.Inc()
	if err := g.resume(ctx, plan, "", cause); err != cause {
		return err
	}
	return fault.Wrap(cause, fault.Overloaded, "no chain for a preempted request").WithOutcome(fault.MayHaveRun).WithRetryAfter(busyRetryAfter)
}

// failedStage returns the index of the stage at fault, the head if none is
// named.
func (g *generation) failedStage(err *fault.Error) int {
	if err.FailedStage < 0 || err.FailedStage >= len(g.chain) {
		return 0
	}
	return err.FailedStage
}

// retryAllowed takes a retry from the budget.
func (e *Entry) retryAllowed() bool {
	if e.budget.TakeRetry(e.opts.Now()) {
		return true
	}
	e.metrics.noBudget.Inc()
	return false
}

func (g *generation) count() {
	if g.begun() {
		g.entry.metrics.repairs.Inc()
		return
	}
	g.entry.metrics.retries.Inc()
}

// resume chooses the next chain. A begun stream waits for one, because its
// caller would lose what it has received.
func (g *generation) resume(ctx context.Context, plan session.Plan, avoid string, cause *fault.Error) error {
	until := g.entry.opts.Now().Add(g.entry.opts.Settings.RepairWait)
	for {
		chain, err := g.choose(plan.Exclude, avoid)
		if err == nil {
			g.chain, g.plan = chain, plan
			g.logResumed(cause)
			return g.stream.Resume(plan, hostsOf(chain))
		}
		if !g.begun() || !g.entry.opts.Now().Before(until) {
			return cause
		}
		if !delay.Wait(ctx, repairPoll) {
			return ended(ctx)
		}
	}
}

// logResumed logs preemptions at a lower level: a busy fleet has many of them.
func (g *generation) logResumed(cause *fault.Error) {
	log := g.entry.opts.Log.Info
	message := "stream is repaired"
	if g.requeued {
		log, message = g.entry.opts.Log.Debug, "stream is queued again"
	}
	log(message, logs.Str("request", g.req.RequestID), logs.Uint("epoch", g.plan.Epoch),
		logs.Int("position", len(g.plan.Emitted)), logs.Err(cause))
}

func ended(ctx context.Context) *fault.Error {
	if e := fault.As(context.Cause(ctx)); e.Kind != fault.Internal {
		return e
	}
	return fault.New(fault.Cancelled, "caller went away").WithOutcome(fault.MayHaveRun)
}
