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
	// chargeInterval is the number of tokens between two usage reports to the
	// scheduler, each of which takes its lock.
	chargeInterval = 16
	tokenBytes     = 4
)

// Generate implements entry.Handler.
func (a *Agent) Generate(ctx context.Context, req *wirepb.GenerateRequest, tokenStream *entry.GenerationStream) (*wirepb.GenerateDone, error) {
	started := a.now()
	done, err := a.generate(ctx, req, tokenStream)
	a.metrics.recordRequest("generate", req.Rank, a.organisationLabel(req.Organisation), err, a.now().Sub(started))
	return done, err
}

func (a *Agent) generate(ctx context.Context, req *wirepb.GenerateRequest, tokenStream *entry.GenerationStream) (*wirepb.GenerateDone, error) {
	release, up, err := a.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	if err := a.validateGenerate(up, req); err != nil {
		return nil, err
	}
	ctx, end, err := a.sessionFences.open(ctx, req.Session, req.Epoch)
	if err != nil {
		return nil, err
	}
	defer end()
	slot, err := a.acquireSlot(ctx, generateWorkItem(req))
	if err != nil {
		return nil, err
	}
	defer slot.release()
	ctx, stop := slot.preemptibleContext(ctx)
	defer stop()
	if up, err = a.takingUpstream(); err != nil {
		return nil, err
	}
	g := &generation{agent: a, ctx: ctx, req: req, up: up, slot: slot, tokenStream: tokenStream, emittedTokens: uint32(len(req.Emitted)), lastTokenAt: a.now()}
	return g.run()
}

func generateWorkItem(req *wirepb.GenerateRequest) workItem {
	prompt := len(req.Prompt) + len(req.Emitted)
	return workItem{
		organisation:           req.Organisation,
		rank:                   req.Rank,
		weight:                 req.Weight,
		cost:                   int(req.MaxTokens) + prompt - unchargedTokens(req),
		bytes:                  prompt * tokenBytes,
		timeoutMs:              req.DeadlineMs,
		preemptible:            true,
		preemptions:            int(req.Preemptions),
		organisationInProgress: int(req.InProgress),
	}
}

// unchargedTokens returns the number of tokens that the organisation is not
// charged for. After a preemption, the prompt and the tokens emitted so far are
// replayed; the organisation is not charged for them again.
func unchargedTokens(req *wirepb.GenerateRequest) int {
	if req.Preemptions == 0 {
		return 0
	}
	return len(req.Prompt) + len(req.Emitted)
}

// validateGenerate refuses a request whose first stage cannot run on this
// agent.
func (a *Agent) validateGenerate(up *upstreamSnapshot, req *wirepb.GenerateRequest) error {
	switch {
	case req.Session == "":
		return invalidRequest("session", "is empty")
	case req.Epoch == 0:
		return invalidRequest("epoch", "is zero")
	case len(req.Prompt) == 0:
		return invalidRequest("prompt", "is empty")
	case req.MaxTokens == 0:
		return invalidRequest("max_tokens", "is zero")
	case len(req.Stages) == 0:
		return invalidRequest("stages", "is empty")
	case req.Stages[0].FirstLayer != 0:
		return invalidRequest("stages", "the first stage begins at layer %d", req.Stages[0].FirstLayer)
	}
	if err := validateChain(req.Stages); err != nil {
		return err
	}
	if err := a.checkIncarnation(req.Stages[0]); err != nil {
		return fault.As(err).WithStage(headIndex)
	}
	return up.checkLayersHeld(req.Model, req.Version, req.Adapter, req.Stages[0])
}

// validateChain refuses stages that skip or repeat a layer.
func validateChain(stages []*wirepb.StageRef) error {
	for i, s := range stages {
		if s.LastLayer < s.FirstLayer {
			return invalidRequest("stages", "stage %d ends at layer %d before its first, %d", i, s.LastLayer, s.FirstLayer)
		}
		if i > 0 && s.FirstLayer != stages[i-1].LastLayer+1 {
			return invalidRequest("stages", "stage %d begins at layer %d after layer %d", i, s.FirstLayer, stages[i-1].LastLayer)
		}
	}
	return nil
}

func invalidRequest(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, format, args...).WithField(field).WithOutcome(fault.NotRun)
}

// generation is a running generation. It holds a slot.
type generation struct {
	agent         *Agent
	ctx           context.Context
	req           *wirepb.GenerateRequest
	up            *upstreamSnapshot
	slot          *slot
	tokenStream   *entry.GenerationStream
	emittedTokens uint32 // including those of earlier epochs
	lastTokenAt   time.Time
	mayHaveRun    bool // an engine may have run a layer

	prefixHashes []uint64
}

func (g *generation) run() (*wirepb.GenerateDone, error) {
	g.prefixHashes = upstreams.PrefixHashes(g.req.Model, g.req.Version, g.req.Adapter, g.req.Prompt)
	g.agent.upstream.notePrefixes(g.prefixHashes)
	var done *wirepb.GenerateDone
	var err error
	if len(g.req.Stages) == 1 {
		done, err = g.runWholeModel()
	} else {
		done, err = g.runChain()
	}
	if err != nil {
		return nil, g.handleFailure(err)
	}
	done.PromptTokens = uint32(len(g.req.Prompt))
	done.CompletionTokens = g.emittedTokens
	done.QueuedMs = uint32(g.slot.queuedFor / time.Millisecond)
	return done, nil
}

// handleFailure adds the reached position to the error and frees the engine's
// session.
func (g *generation) handleFailure(err error) error {
	f := fault.As(err)
	if g.ctx.Err() != nil {
		f = cancellationError(g.ctx)
	}
	f.Position = g.emittedTokens
	if g.mayHaveRun || f.Outcome != fault.NotRun {
		f.Outcome = fault.MayHaveRun
	}
	g.slot.reportUsage(len(g.req.Prompt) + int(g.emittedTokens) - unchargedTokens(g.req))
	if f.Kind == fault.Preempted && g.isPreemptedHere() {
		g.agent.freed.put(g.req.Stages[1:])
	}
	g.agent.ejectUnreachableUpstream(g.up, f, headIndex)
	if f.Outcome != fault.NotRun {
		g.agent.cancelEngineSession(g.up, g.req.Session, g.req.Epoch)
	}
	return f
}

// isPreemptedHere reports whether the slot on this agent was preempted, rather
// than that of a later stage.
func (g *generation) isPreemptedHere() bool {
	return fault.Is(context.Cause(g.ctx), fault.Preempted)
}

// emitToken sends one token to the entry.
func (g *generation) emitToken(id uint32, last bool) error {
	t := &wirepb.Token{Session: g.req.Session, Epoch: g.req.Epoch, Position: g.emittedTokens, Id: id, Last: last}
	g.mayHaveRun = true
	if err := g.tokenStream.SendToken(t); err != nil {
		return fault.Wrap(err, fault.Cancelled, "send token").WithOutcome(fault.MayHaveRun)
	}
	now := g.agent.now()
	first := g.emittedTokens == uint32(len(g.req.Emitted))
	g.agent.metrics.recordToken(g.req.Rank, first, now.Sub(g.lastTokenAt))
	g.lastTokenAt = now
	g.emittedTokens++
	if last || g.emittedTokens%chargeInterval == 0 {
		g.slot.reportUsage(len(g.req.Prompt) + int(g.emittedTokens) - unchargedTokens(g.req))
	}
	return nil
}

// isNextTokenLast reports whether the next token reaches the token limit.
func (g *generation) isNextTokenLast() bool {
	return g.emittedTokens+1 == uint32(len(g.req.Emitted))+g.req.MaxTokens
}

// runWholeModel relays the token stream of an engine that holds all layers.
func (g *generation) runWholeModel() (*wirepb.GenerateDone, error) {
	r := &upstreams.GenerateRequest{
		Session: g.req.Session, Epoch: g.req.Epoch, Position: g.emittedTokens,
		Model: g.req.Model, Version: g.req.Version, Adapter: g.req.Adapter, Rank: g.agent.engineRank(g.req.Rank),
		Prompt: g.req.Prompt, Emitted: g.req.Emitted, MaxTokens: g.req.MaxTokens, Seed: g.req.Seed,
	}
	finished := false
	first := g.agent.stepTimeout(len(r.Prompt) + len(r.Emitted))
	line, err := g.agent.client.Generate(g.ctx, g.up.announced.Address, r, first, func(l *upstreams.GenerateLine) error {
		if finished {
			return fault.New(fault.Upstream, "engine sent a token after the last one").WithOutcome(fault.MayHaveRun)
		}
		finished = l.Last || g.isNextTokenLast()
		g.recordEngineTime()
		return g.emitToken(l.Token, finished)
	})
	if err != nil {
		// The client returns NotRun only if the dial failed or the engine
		// refused the request; withFailedStage keeps the outcome.
		return nil, withFailedStage(err, headIndex)
	}
	if !finished {
		return nil, withFailedStage(fault.New(fault.Upstream, "engine ended the stream before the last token").WithOutcome(fault.MayHaveRun), headIndex)
	}
	return &wirepb.GenerateDone{FinishReason: finishReason(line.FinishReason), CachedTokens: line.CachedTokens}, nil
}

// recordEngineTime records the time per token of an engine that holds all
// layers.
func (g *generation) recordEngineTime() {
	took := g.agent.now().Sub(g.lastTokenAt)
	if g.emittedTokens == uint32(len(g.req.Emitted)) {
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

// withFailedStage sets the failed stage of err to index, unless err already
// names a stage or no stage is at fault.
func withFailedStage(err error, index int) error {
	f := fault.As(err)
	if f.FailedStage == fault.NoStage && stageAtFault(f.Kind) {
		f.FailedStage = index
	}
	return f
}

// stepTimeout returns the limit for a step over n positions.
func (a *Agent) stepTimeout(n int) time.Duration {
	return a.settings.StepTimeout + time.Duration(n)*a.settings.PrefillTimeoutPerToken
}

// cancelEngineSession frees a session on the engine in the background. Closing
// the stream frees it too; the explicit cancel also fences the epoch.
func (a *Agent) cancelEngineSession(up *upstreamSnapshot, id string, epoch uint64) {
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = a.client.CancelSession(ctx, up.announced.Address, id, epoch)
	}()
}
