package entry

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// handleFailure decides how to continue after a failed attempt. It returns nil if
// the answer is complete or the next attempt is prepared, and the error for the
// caller otherwise. See docs/decisions/0011-retry-and-repair.md.
func (g *generation) handleFailure(ctx context.Context, err *fault.Error) error {
	if err.Outcome != fault.NotRun {
		g.mayHaveRun = true
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
	if !canFailOver(err.Kind) {
		return err
	}
	g.requeued = false
	failed := g.failedStage(err)
	g.entry.recordFailure(g.chain[failed].Host, err)
	if !g.hasTokens() && err.Outcome != fault.NotRun && indicatesFault(err.Kind) {
		g.entry.promptGuard.recordBroken(g.entry.opts.Now(), g.req.RequestID, g.chain[failed], g.parts)
	}
	avoid := g.chain[failed].DataCentre
	plan, planErr := g.stream.Fail(g.plan.Epoch, failed)
	if planErr != nil {
		return err // no repair is left; the cause is more informative than planErr
	}
	if g.hasAllTokens() {
		return nil
	}
	if !g.hasTokens() && !g.entry.takeRetry() {
		return err
	}
	g.countRecovery()
	return g.resume(ctx, plan, avoid, err)
}

// maxPreemptions prevents an endless loop with an agent that does not limit
// preemptions. It is far above the limit that agents apply.
const maxPreemptions = 16

// requeue prepares the next attempt of a preempted request, which waits in the
// queue of an agent again. RequeueWait is added to the time limit of the attempt
// (see resumeTimeout), because nothing has failed. A requeue uses neither a
// repair nor the retry budget.
func (g *generation) requeue(ctx context.Context, cause *fault.Error) error {
	plan, err := g.stream.Preempt(g.plan.Epoch)
	if err != nil {
		return cause
	}
	if g.hasAllTokens() {
		return nil
	}
	g.preemptions++
	g.requeued = true
	g.entry.metrics.preemptions.Inc()
	if err := g.resume(ctx, plan, "", cause); err != cause {
		return err
	}
	return fault.Wrap(cause, fault.Overloaded, "no chain for a preempted request").WithOutcome(fault.MayHaveRun).WithRetryAfter(overloadRetryAfter)
}

// failedStage returns the index of the failed stage. It is 0, the head, if the
// error names no stage of the chain.
func (g *generation) failedStage(err *fault.Error) int {
	if err.FailedStage < 0 || err.FailedStage >= len(g.chain) {
		return 0
	}
	return err.FailedStage
}

// takeRetry takes a retry from the budget and reports whether one was available.
func (e *Entry) takeRetry() bool {
	if e.retryBudget.Take(e.opts.Now()) {
		return true
	}
	e.metrics.retriesDenied.Inc()
	return false
}

func (g *generation) countRecovery() {
	if g.hasTokens() {
		g.entry.metrics.repairs.Inc()
		return
	}
	g.entry.metrics.retries.Inc()
}

// resume selects the chain of the next attempt. If the caller has already
// received tokens, it waits up to RepairWait for a chain, because a failure would
// make the tokens useless.
func (g *generation) resume(ctx context.Context, plan session.Plan, avoid string, cause *fault.Error) error {
	until := g.entry.opts.Now().Add(g.entry.opts.Settings.RepairWait)
	for {
		chain, err := g.selectChain(plan.ExcludedHosts, avoid)
		if err == nil {
			g.chain, g.plan = chain, plan
			g.logResumed(cause)
			return g.stream.Resume(plan, chainHosts(chain))
		}
		if !g.hasTokens() || !g.entry.opts.Now().Before(until) {
			return cause
		}
		if !delay.Wait(ctx, repairPollInterval) {
			return cancellationError(ctx)
		}
	}
}

// logResumed logs the start of the next attempt, also that of a retry before the
// first token. Preemptions are logged at debug level because they are frequent
// under load.
func (g *generation) logResumed(cause *fault.Error) {
	log := g.entry.opts.Log.Info
	message := "stream is repaired"
	if g.requeued {
		log, message = g.entry.opts.Log.Debug, "preempted stream is queued again"
	}
	log(message, logs.Str("request", g.req.RequestID), logs.Uint("epoch", g.plan.Epoch),
		logs.Int("position", len(g.plan.Emitted)), logs.Err(cause))
}

func cancellationError(ctx context.Context) *fault.Error {
	if e := fault.As(context.Cause(ctx)); e.Kind != fault.Internal {
		return e
	}
	return fault.New(fault.Cancelled, "caller went away").WithOutcome(fault.MayHaveRun)
}
