package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/entry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ServeStage implements entry.Handler: it runs a stage that is not the first.
func (a *Agent) ServeStage(ctx context.Context, open *wirepb.StageOpen, steps *entry.StageStream) error {
	started := a.now()
	err := a.stage(ctx, open, steps)
	a.metrics.finished("stage", open.Rank, a.organisationLabel(open.Organisation), err, a.now().Sub(started))
	return err
}

func (a *Agent) stage(ctx context.Context, open *wirepb.StageOpen, steps *entry.StageStream) error {
	release, up, err := a.admit()
	if err != nil {
		return blame(err, int(open.Index))
	}
	defer release()
	if err := a.checkStage(up, open); err != nil {
		return err
	}
	slot, ctx, end, err := a.stageSlot(ctx, open)
	if err != nil {
		return err
	}
	defer end()
	defer slot.release()
	ctx, stop := slot.preemptible(ctx)
	defer stop()
	if up = a.upstream.view(); up == nil {
		return blame(errNoUpstream(), int(open.Index))
	}
	a.upstream.used(open.Prefixes)
	open.DeadlineMs = slot.remaining(open.DeadlineMs)
	err = a.runStage(ctx, up, open, slot, steps)
	if err != nil {
		a.noteUpstreamError(up, fault.As(err), int(open.Index))
		a.cancelSession(up, open.Session, open.Epoch)
	}
	return err
}

// stageSlot opens the session and takes a slot. A stage that must not wait takes
// its slot first: a refusal then leaves no trace of the epoch, and the same
// epoch may come again.
func (a *Agent) stageSlot(ctx context.Context, open *wirepb.StageOpen) (*slot, context.Context, func(), error) {
	var taken *slot
	if open.NoWait {
		s, err := a.queue.tryAcquire(a.queueRequest(stageWork(open)))
		if err != nil {
			return nil, nil, nil, blame(err, int(open.Index))
		}
		taken = s
	}
	ctx, end, err := a.sessions.open(ctx, open.Session, open.Epoch)
	if err != nil {
		if taken != nil {
			taken.release()
		}
		return nil, nil, nil, err
	}
	if taken != nil {
		return taken, ctx, end, nil
	}
	s, err := a.wait(ctx, stageWork(open))
	if err != nil {
		end()
		return nil, nil, nil, blame(err, int(open.Index))
	}
	return s, ctx, end, nil
}

func stageWork(open *wirepb.StageOpen) work {
	return work{
		organisation: open.Organisation,
		rank:         open.Rank,
		weight:       open.Weight,
		cost:         int(open.CostTokens),
		deadlineMS:   open.DeadlineMs,
		preemptible:  true,
		preemptions:  int(open.Preemptions),
		inProgress:   int(open.InProgress),
	}
}

func (a *Agent) checkStage(up *upstreamView, open *wirepb.StageOpen) error {
	index := int(open.Index)
	switch {
	case open.Session == "":
		return refuse("session", "is empty")
	case open.Epoch == 0:
		return refuse("epoch", "is zero")
	case index == headIndex:
		return refuse("index", "is that of the first stage")
	case len(open.Stages) == 0:
		return refuse("stages", "is empty")
	}
	if err := checkChain(open.Stages); err != nil {
		return err
	}
	if err := a.checkIncarnation(open.Stages[0]); err != nil {
		return fault.As(err).WithStage(index)
	}
	if err := up.holds(open.Model, open.Version, open.Adapter, open.Stages[0]); err != nil {
		return fault.As(err).WithStage(index)
	}
	return nil
}

func (a *Agent) runStage(ctx context.Context, up *upstreamView, open *wirepb.StageOpen, slot *slot, steps *entry.StageStream) error {
	h, err := a.openHop(ctx, up, open, nil)
	if err != nil {
		return err
	}
	defer h.close()
	defer func() { slot.charge(int(h.guard.NextPosition())) }()
	if err := steps.SendReady(&wirepb.StageReady{CachedTokens: h.cached}); err != nil {
		return err
	}
	if h.next == nil {
		return h.serveLast(steps)
	}
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		h.cancel(h.relay(steps))
	}()
	err = h.serveMiddle(steps)
	h.cancel(err)
	<-relayed
	return endOfStage(cancelled(h.ctx))
}

// endOfStage drops the error of a stage that its peer closed as usual.
func endOfStage(err error) error {
	if fault.Is(err, fault.Cancelled) {
		return nil
	}
	return err
}

// serveLast runs steps and answers with tokens.
func (h *hop) serveLast(steps *entry.StageStream) error {
	for {
		line, step, err := h.serveStep(steps)
		if err != nil {
			return endOfStage(err)
		}
		r := &wirepb.StageResult{Epoch: step.Epoch, Position: line.Position, Token: line.Token, Last: line.Stop}
		if err := steps.SendResult(r); err != nil {
			return err
		}
	}
}

// serveMiddle runs steps and passes the activations on.
func (h *hop) serveMiddle(steps *entry.StageStream) error {
	for {
		line, step, err := h.serveStep(steps)
		if err != nil {
			return err
		}
		if len(line.Hidden) != len(step.Hidden) {
			return h.wrongCount(len(line.Hidden), len(step.Hidden))
		}
		if _, err := h.next.write(step.Epoch, step.Position, line.Hidden); err != nil {
			return err
		}
	}
}

func (h *hop) serveStep(steps *entry.StageStream) (*upstreams.StageLine, *wirepb.StageStep, error) {
	step, err := steps.NextStep(h.ctx)
	if err != nil {
		return nil, nil, err
	}
	line, err := h.step(&upstreams.StageStep{Epoch: step.Epoch, Position: step.Position, Hidden: step.Hidden})
	return line, step, err
}

// relay passes results back until the chain ends. It returns the reason.
func (h *hop) relay(steps *entry.StageStream) error {
	for {
		r, err := h.next.read()
		if err != nil {
			return err
		}
		if err := steps.SendResult(r); err != nil {
			return err
		}
	}
}
