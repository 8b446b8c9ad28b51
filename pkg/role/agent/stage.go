package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/entry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ServeStage implements entry.Handler: it runs a stage other than the first.
func (a *Agent) ServeStage(ctx context.Context, open *wirepb.StageOpen, steps *entry.StageStream) error {
	started := a.now()
	err := a.stage(ctx, open, steps)
	a.metrics.recordRequest("stage", open.Rank, a.organisationLabel(open.Organisation), err, a.now().Sub(started))
	return err
}

func (a *Agent) stage(ctx context.Context, open *wirepb.StageOpen, steps *entry.StageStream) error {
	release, up, err := a.admit()
	if err != nil {
		return withFailedStage(err, int(open.Index))
	}
	defer release()
	if err := a.validateStage(up, open); err != nil {
		return err
	}
	slot, ctx, end, err := a.openStageSession(ctx, open)
	if err != nil {
		return err
	}
	defer end()
	defer slot.release()
	ctx, stop := slot.preemptibleContext(ctx)
	defer stop()
	if up, err = a.takingUpstream(); err != nil {
		return withFailedStage(err, int(open.Index))
	}
	a.upstream.notePrefixes(open.Prefixes)
	open.DeadlineMs = slot.remainingTimeout(open.DeadlineMs)
	err = a.runStage(ctx, up, open, slot, steps)
	if err != nil {
		a.ejectUnreachableUpstream(up, fault.As(err), int(open.Index))
		a.cancelEngineSession(up, open.Session, open.Epoch)
	}
	return err
}

// openStageSession opens the session and takes a slot. A stage that must not
// wait takes its slot first: a refusal then leaves the epoch unused, and the
// same epoch can be opened again.
func (a *Agent) openStageSession(ctx context.Context, open *wirepb.StageOpen) (*slot, context.Context, func(), error) {
	var reserved *slot
	if open.NoWait {
		s, err := a.queue.tryAcquire(a.schedulerRequest(stageWorkItem(open)))
		if err != nil {
			return nil, nil, nil, withFailedStage(err, int(open.Index))
		}
		reserved = s
	}
	ctx, end, err := a.sessionFences.open(ctx, open.Session, open.Epoch)
	if err != nil {
		if reserved != nil {
			reserved.release()
		}
		return nil, nil, nil, err
	}
	if reserved != nil {
		return reserved, ctx, end, nil
	}
	s, err := a.acquireSlot(ctx, stageWorkItem(open))
	if err != nil {
		end()
		return nil, nil, nil, withFailedStage(err, int(open.Index))
	}
	return s, ctx, end, nil
}

func stageWorkItem(open *wirepb.StageOpen) workItem {
	return workItem{
		organisation:           open.Organisation,
		rank:                   open.Rank,
		weight:                 open.Weight,
		cost:                   int(open.CostTokens),
		timeoutMs:              open.DeadlineMs,
		preemptible:            true,
		preemptions:            int(open.Preemptions),
		organisationInProgress: int(open.InProgress),
	}
}

func (a *Agent) validateStage(up *upstreamSnapshot, open *wirepb.StageOpen) error {
	index := int(open.Index)
	switch {
	case open.Session == "":
		return invalidRequest("session", "is empty")
	case open.Epoch == 0:
		return invalidRequest("epoch", "is zero")
	case index == headIndex:
		return invalidRequest("index", "is that of the first stage")
	case len(open.Stages) == 0:
		return invalidRequest("stages", "is empty")
	}
	if err := validateChain(open.Stages); err != nil {
		return err
	}
	if err := a.checkIncarnation(open.Stages[0]); err != nil {
		return fault.As(err).WithStage(index)
	}
	if err := up.checkLayersHeld(open.Model, open.Version, open.Adapter, open.Stages[0]); err != nil {
		return fault.As(err).WithStage(index)
	}
	return nil
}

func (a *Agent) runStage(ctx context.Context, up *upstreamSnapshot, open *wirepb.StageOpen, slot *slot, steps *entry.StageStream) error {
	runner, err := a.openStage(ctx, up, open, nil)
	if err != nil {
		return err
	}
	defer runner.close()
	defer func() { slot.reportUsage(int(runner.positionGuard.NextPosition())) }()
	if err := steps.SendReady(&wirepb.StageReady{CachedTokens: runner.cachedPrefixTokens}); err != nil {
		return err
	}
	if runner.next == nil {
		return runner.serveLast(steps)
	}
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		runner.cancel(runner.relayResults(steps))
	}()
	err = runner.serveMiddle(steps)
	runner.cancel(err)
	<-relayed
	return ignoreCancelled(cancellationError(runner.ctx))
}

// ignoreCancelled returns nil for the cancellation of a stage that its peer
// closed normally.
func ignoreCancelled(err error) error {
	if fault.Is(err, fault.Cancelled) {
		return nil
	}
	return err
}

// serveLast runs steps on the last stage and answers with tokens.
func (runner *stageRunner) serveLast(steps *entry.StageStream) error {
	for {
		line, step, err := runner.runNextStep(steps)
		if err != nil {
			return ignoreCancelled(err)
		}
		r := &wirepb.StageResult{Epoch: step.Epoch, Position: line.Position, Token: line.Token, Last: line.Stop}
		if err := steps.SendResult(r); err != nil {
			return err
		}
	}
}

// serveMiddle runs steps on a middle stage and sends the activations to the
// next stage.
func (runner *stageRunner) serveMiddle(steps *entry.StageStream) error {
	for {
		line, step, err := runner.runNextStep(steps)
		if err != nil {
			return err
		}
		if len(line.Hidden) != len(step.Hidden) {
			return runner.activationCountError(len(line.Hidden), len(step.Hidden))
		}
		if _, err := runner.next.sendActivations(step.Epoch, step.Position, line.Hidden); err != nil {
			return err
		}
	}
}

func (runner *stageRunner) runNextStep(steps *entry.StageStream) (*upstreams.StageLine, *wirepb.StageStep, error) {
	step, err := steps.NextStep(runner.ctx)
	if err != nil {
		return nil, nil, err
	}
	line, err := runner.step(&upstreams.StageStep{Epoch: step.Epoch, Position: step.Position, Hidden: step.Hidden})
	return line, step, err
}

// relayResults passes results back to the previous stage until the chain ends.
// It returns the reason for the end.
func (runner *stageRunner) relayResults(steps *entry.StageStream) error {
	for {
		r, err := runner.next.receiveResult()
		if err != nil {
			return err
		}
		if err := steps.SendResult(r); err != nil {
			return err
		}
	}
}
