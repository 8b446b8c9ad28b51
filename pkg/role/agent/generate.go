package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/entry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	headIndex     = 0
	cancelTimeout = time.Second
	// chargeInterval is the number of tokens between two updates of the
	// scheduler, which costs a lock.
	chargeInterval = 16
	tokenBytes     = 4
)

// Generate implements entry.Handler.
func (a *Agent) Generate(ctx context.Context, req *wirepb.GenerateRequest, out *entry.Generation) (*wirepb.GenerateDone, error) {
	started := a.now()
	done, err := a.generate(ctx, req, out)
	a.metrics.finished("generate", req.Rank, a.organisationLabel(req.Organisation), err, a.now().Sub(started))
	return done, err
}

func (a *Agent) generate(ctx context.Context, req *wirepb.GenerateRequest, out *entry.Generation) (*wirepb.GenerateDone, error) {
	release, up, err := a.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	if err := a.checkGenerate(up, req); err != nil {
		return nil, err
	}
	ctx, end, err := a.sessions.open(ctx, req.Session, req.Epoch)
	if err != nil {
		return nil, err
	}
	defer end()
	slot, err := a.wait(ctx, generateWork(req))
	if err != nil {
		return nil, err
	}
	defer slot.release()
	ctx, stop := slot.preemptible(ctx)
	defer stop()
	if up = a.upstream.view(); up == nil {
		return nil, errNoUpstream()
	}
	g := &generation{agent: a, ctx: ctx, req: req, up: up, slot: slot, out: out, sent: uint32(len(req.Emitted)), last: a.now()}
	return g.run()
}

func generateWork(req *wirepb.GenerateRequest) work {
	prompt := len(req.Prompt) + len(req.Emitted)
	return work{
		organisation: req.Organisation,
		rank:         req.Rank,
		weight:       req.Weight,
		cost:         int(req.MaxTokens) + prompt - chargedBefore(req),
		bytes:        prompt * tokenBytes,
		deadlineMS:   req.DeadlineMs,
		preemptible:  true,
		preemptions:  int(req.Preemptions),
		inProgress:   int(req.InProgress),
	}
}

// chargedBefore returns the tokens that the organisation does not pay for: the
// replay of a preempted request is the system's own cost.
func chargedBefore(req *wirepb.GenerateRequest) int {
	if req.Preemptions == 0 {
		return 0
	}
	return len(req.Prompt) + len(req.Emitted)
}

// checkGenerate refuses a request that this agent cannot head.
func (a *Agent) checkGenerate(up *upstreamView, req *wirepb.GenerateRequest) error {
	switch {
	case req.Session == "":
		return refuse("session", "is empty")
	case req.Epoch == 0:
		return refuse("epoch", "is zero")
	case len(req.Prompt) == 0:
		return refuse("prompt", "is empty")
	case req.MaxTokens == 0:
		return refuse("max_tokens", "is zero")
	case len(req.Stages) == 0:
		return refuse("stages", "is empty")
	case req.Stages[0].FirstLayer != 0:
		return refuse("stages", "the first stage begins at layer %d", req.Stages[0].FirstLayer)
	}
	if err := checkChain(req.Stages); err != nil {
		return err
	}
	if err := a.checkIncarnation(req.Stages[0]); err != nil {
		return fault.As(err).WithStage(headIndex)
	}
	return up.holds(req.Model, req.Version, req.Adapter, req.Stages[0])
}

// checkChain refuses stages that leave out or repeat a layer.
func checkChain(stages []*wirepb.StageRef) error {
	for i, s := range stages {
		if s.LastLayer < s.FirstLayer {
			return refuse("stages", "stage %d ends at layer %d before its first, %d", i, s.LastLayer, s.FirstLayer)
		}
		if i > 0 && s.FirstLayer != stages[i-1].LastLayer+1 {
			return refuse("stages", "stage %d begins at layer %d after layer %d", i, s.FirstLayer, stages[i-1].LastLayer)
		}
	}
	return nil
}

func refuse(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, format, args...).WithField(field).WithOutcome(fault.NotRun)
}

// generation is one generation that holds a slot.
type generation struct {
	agent *Agent
	ctx   context.Context
	req   *wirepb.GenerateRequest
	up    *upstreamView
	slot  *slot
	out   *entry.Generation
	sent  uint32 // tokens emitted, those of earlier epochs included
	last  time.Time
	begun bool // an engine may have run a layer

	prefixes []uint64
}

func (g *generation) run() (*wirepb.GenerateDone, error) {
	g.prefixes = upstreams.PrefixHashes(g.req.Model, g.req.Version, g.req.Adapter, g.req.Prompt)
	g.agent.upstream.used(g.prefixes)
	var done *wirepb.GenerateDone
	var err error
	if len(g.req.Stages) == 1 {
		done, err = g.runWhole()
	} else {
		done, err = g.runChain()
	}
	if err != nil {
		return nil, g.failed(err)
	}
	done.PromptTokens = uint32(len(g.req.Prompt))
	done.CompletionTokens = g.sent
	done.QueuedMs = uint32(g.slot.Queued / time.Millisecond)
	return done, nil
}

// failed adds the position reached and frees the engine's session.
func (g *generation) failed(err error) error {
	f := fault.As(err)
	if g.ctx.Err() != nil {
		f = cancelled(g.ctx)
	}
	f.Position = g.sent
	if g.begun || f.Outcome != fault.NotRun {
		f.Outcome = fault.MayHaveRun
	}
	g.slot.charge(len(g.req.Prompt) + int(g.sent) - chargedBefore(g.req))
	if f.Kind == fault.Preempted && g.preemptedHere() {
		g.agent.freed.put(g.req.Stages[1:])
	}
	g.agent.noteUpstreamError(g.up, f, headIndex)
	if f.Outcome != fault.NotRun {
		g.agent.cancelSession(g.up, g.req.Session, g.req.Epoch)
	}
	return f
}

// preemptedHere reports whether this agent took back the slot, and not that of
// a later stage.
func (g *generation) preemptedHere() bool {
	return fault.Is(context.Cause(g.ctx), fault.Preempted)
}

// token passes one token on.
func (g *generation) token(id uint32, last bool) error {
	t := &wirepb.Token{Session: g.req.Session, Epoch: g.req.Epoch, Position: g.sent, Id: id, Last: last}
	g.begun = true
	if err := g.out.Emit(t); err != nil {
		return fault.Wrap(err, fault.Cancelled, "send token").WithOutcome(fault.MayHaveRun)
	}
	now := g.agent.now()
	first := g.sent == uint32(len(g.req.Emitted))
	g.agent.metrics.token(g.req.Rank, first, now.Sub(g.last))
	g.last = now
	g.sent++
	if last || g.sent%chargeInterval == 0 {
		g.slot.charge(len(g.req.Prompt) + int(g.sent) - chargedBefore(g.req))
	}
	return nil
}

// isLast reports whether the next token reaches the limit.
func (g *generation) isLast() bool {
	return g.sent+1 == uint32(len(g.req.Emitted))+g.req.MaxTokens
}

// runWhole relays the stream of an engine that holds all layers.
func (g *generation) runWhole() (*wirepb.GenerateDone, error) {
	r := &upstreams.GenerateRequest{
		Session: g.req.Session, Epoch: g.req.Epoch, Position: g.sent,
		Model: g.req.Model, Version: g.req.Version, Adapter: g.req.Adapter, Rank: g.agent.engineRank(g.req.Rank),
		Prompt: g.req.Prompt, Emitted: g.req.Emitted, MaxTokens: g.req.MaxTokens, Seed: g.req.Seed,
	}
	finished := false
	// The client reports not_run only when the engine refused the request.
	first := g.agent.prefillTimeout(len(r.Prompt) + len(r.Emitted))
	line, err := g.agent.client.Generate(g.ctx, g.up.announced.Address, r, first, func(l *upstreams.GenerateLine) error {
		if finished {
			return fault.New(fault.Upstream, "engine sent a token after the last one").WithOutcome(fault.MayHaveRun)
		}
		finished = l.Last || g.isLast()
		g.measureEngine()
		return g.token(l.Token, finished)
	})
	if err != nil {
		return nil, blame(err, headIndex)
	}
	if !finished {
		return nil, blame(fault.New(fault.Upstream, "engine ended before the last token").WithOutcome(fault.MayHaveRun), headIndex)
	}
	return &wirepb.GenerateDone{FinishReason: finishReason(line.FinishReason), CachedTokens: line.CachedTokens}, nil
}

// measureEngine records the time to a token of an engine that holds all layers.
func (g *generation) measureEngine() {
	took := g.agent.now().Sub(g.last)
	if g.sent == uint32(len(g.req.Emitted)) {
		g.agent.metrics.enginePrefill.add(took)
		return
	}
	g.agent.metrics.engineStep.add(took)
}

func finishReason(reason string) string {
	if reason == finishStop {
		return finishStop
	}
	return finishLength
}

const (
	finishStop   = "stop"
	finishLength = "length"
)

// blame names the stage at fault unless the error names one, or the fault lies
// with the caller.
func blame(err error, index int) error {
	f := fault.As(err)
	if f.FailedStage == fault.NoStage && stageAtFault(f.Kind) {
		f.FailedStage = index
	}
	return f
}

// prefillTimeout bounds a step over n positions.
func (a *Agent) prefillTimeout(n int) time.Duration {
	return a.set.StepTimeout + time.Duration(n)*a.set.PrefillTimeout
}

// cancelSession frees a session at the engine in the background. Closing the
// stream does the same; the explicit cancel also fences the epoch.
func (a *Agent) cancelSession(up *upstreamView, id string, epoch uint64) {
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = a.client.CancelSession(ctx, up.announced.Address, id, epoch)
	}()
}
