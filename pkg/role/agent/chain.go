package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stageRunner is one stage of a chain at this agent: its engine and the stream to the
// next stage, which is nil at the last one.
type stageRunner struct {
	agent              *Agent
	up                 *upstreamSnapshot
	openRequest        *wirepb.StageOpen
	ctx                context.Context
	cancel             context.CancelCauseFunc
	engine             *upstreams.Stage
	next               *nextStage
	cachedPrefixTokens uint32 // tokens cached here and at all later stages
	positionGuard      session.PositionGuard
	firstStepSeen      bool
	// prefillTime is the time of the engine for the prompt so far.
	prefillTime time.Duration
}

// stageChooser returns other later stages in place of the last choice, of which
// the stage with the given index is busy, and whether to wait for their slots.
type stageChooser func(busy int) (stages []*wirepb.StageRef, wait bool, err error)

// openStage opens the engine and the later stages at the same time. The first
// failure ends both. With a chooser, stages without a free slot are replaced.
func (a *Agent) openStage(ctx context.Context, up *upstreamSnapshot, openRequest *wirepb.StageOpen, choose stageChooser) (*stageRunner, error) {
	h := &stageRunner{agent: a, up: up, openRequest: openRequest}
	if err := h.positionGuard.Open(openRequest.Epoch, 0); err != nil {
		return nil, err
	}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	engineOpen := h.engineOpen()
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		h.openEngine(engineOpen)
	}()
	cachedLater, err := h.openLaterStages(choose)
	if err != nil {
		h.cancel(err)
	}
	<-opened
	if h.ctx.Err() != nil {
		err := cancellationError(h.ctx)
		h.close()
		return nil, err
	}
	h.cachedPrefixTokens = h.engine.Cached()
	if h.next != nil {
		h.cachedPrefixTokens = min(h.cachedPrefixTokens, cachedLater)
	}
	return h, nil
}

func (h *stageRunner) stageIndex() int { return int(h.openRequest.Index) }

func (h *stageRunner) engineOpen() *upstreams.StageOpen {
	ref := h.openRequest.Stages[0]
	return &upstreams.StageOpen{
		Session: h.openRequest.Session, Epoch: h.openRequest.Epoch, Model: h.openRequest.Model, Version: h.openRequest.Version,
		Adapter: h.openRequest.Adapter, Rank: h.agent.engineRank(h.openRequest.Rank), FirstLayer: ref.FirstLayer,
		LastLayer: ref.LastLayer, Seed: h.openRequest.Seed, Last: len(h.openRequest.Stages) == 1, Prefixes: h.openRequest.Prefixes,
	}
}

func (h *stageRunner) openEngine(open *upstreams.StageOpen) {
	engine, err := h.agent.client.OpenStage(h.ctx, h.up.announced.Address, open, h.agent.agentSettings.OpenTimeout)
	if err != nil {
		h.cancel(withFailedStage(err, h.stageIndex()))
		return
	}
	h.engine = engine
}

// openLaterStages opens the later stages and returns the tokens cached there. The
// chooser replaces busy ones: queueing there would hold the slot of the head
// idle, and the choice of the request is as old as its wait in this queue.
func (h *stageRunner) openLaterStages(choose stageChooser) (uint32, error) {
	for {
		cachedTokens, err := h.openNextStage()
		if err == nil || choose == nil || !h.openRequest.NoWait || !isLaterStageBusy(err) {
			return cachedTokens, err
		}
		stages, wait, err := choose(fault.As(err).FailedStage)
		if err != nil {
			return 0, err
		}
		h.openRequest.Stages, h.openRequest.NoWait = stages, !wait
	}
}

// isLaterStageBusy reports whether a later stage refused for lack of a slot.
func isLaterStageBusy(err error) bool {
	f := fault.As(err)
	return f.Kind == fault.Overloaded && f.Outcome == fault.NotRun && f.FailedStage > headIndex
}

// openNextStage opens the next stage and returns its cached tokens.
func (h *stageRunner) openNextStage() (uint32, error) {
	if len(h.openRequest.Stages) == 1 {
		return 0, nil
	}
	o := h.openRequest
	next := &wirepb.StageOpen{
		Session: o.Session, Epoch: o.Epoch, Organisation: o.Organisation, Rank: o.Rank, DeadlineMs: o.DeadlineMs,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, Seed: o.Seed, Index: o.Index + 1,
		Stages: o.Stages[1:], Weight: o.Weight, CostTokens: o.CostTokens, Prefixes: o.Prefixes, NoWait: o.NoWait,
		Preemptions: o.Preemptions, InProgress: o.InProgress,
	}
	later := len(next.Stages)
	wait := time.Duration(later) * (h.agent.agentSettings.MaxQueueWait + h.agent.agentSettings.OpenTimeout)
	h.agent.peers.markUsed(next.Stages[0])
	stage, cached, err := openNextStage(h.ctx, h.agent.pool, next, wait, h.resultTimeout(later))
	if err != nil {
		return 0, err
	}
	h.next = stage
	return cached, nil
}

// resultTimeout grows with the number of later stages, so that the stage next
// to the failed one reports first and names it.
func (h *stageRunner) resultTimeout(later int) time.Duration {
	chunkTimeout := h.agent.stepTimeout(h.agent.agentSettings.PrefillChunkTokens)
	return time.Duration(later) * (chunkTimeout + resultSlack)
}

// resultSlack covers the link and the scheduling of two processes.
const resultSlack = 200 * time.Millisecond

// step runs the engine over one step. The first step of an epoch may begin
// after the cached tokens.
func (h *stageRunner) step(s *upstreams.StageStep) (*upstreams.StageLine, error) {
	count := uint32(max(len(s.Tokens), len(s.Hidden)))
	if count == 0 {
		return nil, invalidRequest("hidden", "step has no positions").WithStage(h.stageIndex())
	}
	if err := h.acceptCachedPositions(s); err != nil {
		return nil, err
	}
	if err := h.positionGuard.Step(s.Epoch, s.Position, count); err != nil {
		return nil, withFailedStage(fault.As(err).WithOutcome(fault.MayHaveRun), h.stageIndex())
	}
	started := h.agent.now()
	line, err := h.engine.Step(s, h.agent.stepTimeout(int(count)))
	if err != nil {
		return nil, withFailedStage(err, h.stageIndex())
	}
	h.recordEngineTime(count, h.agent.now().Sub(started))
	return line, nil
}

// recordEngineTime records the time of the engine for the load reports. Steps of several
// positions belong to the prompt.
func (h *stageRunner) recordEngineTime(count uint32, took time.Duration) {
	if count > 1 {
		h.prefillTime += took
		return
	}
	if h.prefillTime > 0 {
		h.agent.metrics.enginePrefill.add(h.prefillTime)
		h.prefillTime = 0
	}
	h.agent.metrics.engineStep.add(took)
}

// acceptCachedPositions counts the cached positions as run.
func (h *stageRunner) acceptCachedPositions(s *upstreams.StageStep) error {
	if h.firstStepSeen {
		return nil
	}
	h.firstStepSeen = true
	if s.Position == 0 || s.Position > h.cachedPrefixTokens {
		return nil // the guard refuses a position that is not cached
	}
	return h.positionGuard.Step(s.Epoch, 0, s.Position)
}

// close ends the stage and those after it.
func (h *stageRunner) close() {
	h.cancel(nil)
	if h.engine != nil {
		h.engine.Close()
	}
	if h.next != nil {
		h.next.Close()
	}
}

// runChain drives the token loop from the first stage.
func (g *generation) runChain() (*wirepb.GenerateDone, error) {
	h, err := g.openChain()
	if err != nil {
		return nil, err
	}
	defer h.close()
	g.mayHaveRun = true
	sequence := append(append([]uint32(nil), g.req.Prompt...), g.req.Emitted...)
	// The last position always runs, because it yields the token.
	start := min(h.cachedPrefixTokens, uint32(len(sequence)-1)/upstreams.PrefixBlock*upstreams.PrefixBlock)
	result, err := g.prefill(h, sequence, start)
	if err != nil {
		return nil, err
	}
	position := uint32(len(sequence))
	for {
		last := result.Last || g.isNextTokenLast()
		if err := g.emitToken(result.Token, last); err != nil {
			return nil, err
		}
		if last {
			return &wirepb.GenerateDone{FinishReason: chainFinishReason(result), CachedTokens: start}, nil
		}
		if result, err = g.decode(h, position, result.Token); err != nil {
			return nil, err
		}
		position++
	}
}

// openChain opens the chain of the request.
func (g *generation) openChain() (*stageRunner, error) {
	open := g.stageOpen()
	if !g.req.LateStages {
		return g.agent.openStage(g.ctx, g.up, open, nil)
	}
	open.NoWait = true
	if freed := g.agent.freed.take(); freed != nil {
		if err := g.useFreedStages(open, freed); err != nil {
			return nil, err
		}
	}
	return g.agent.openStage(g.ctx, g.up, open, g.chooseStages)
}

// useFreedStages replaces the later stages by those of a chain that was preempted
// here.
func (g *generation) useFreedStages(open *wirepb.StageOpen, freed []string) error {
	stages, wait, err := g.requestLaterStages(nil, freed)
	if err != nil {
		return err
	}
	open.Stages, open.NoWait = stages, !wait
	return nil
}

// chooseStages asks the entry for other stages after the head. It implements
// stageChooser.
func (g *generation) chooseStages(busy int) (stages []*wirepb.StageRef, wait bool, err error) {
	var refused []string
	for _, s := range g.req.Stages[1:min(busy+1, len(g.req.Stages))] {
		refused = append(refused, s.Host)
	}
	return g.requestLaterStages(refused, nil)
}

func (g *generation) requestLaterStages(refused, freed []string) (stages []*wirepb.StageRef, wait bool, err error) {
	choice, err := g.tokenStream.ChooseStages(refused, freed)
	if err != nil {
		return nil, false, fault.As(err)
	}
	stages = append([]*wirepb.StageRef{g.req.Stages[headIndex]}, choice.Stages...)
	if err := validateChain(stages); err != nil {
		return nil, false, err
	}
	g.req.Stages = stages
	return stages, choice.Wait, nil
}

func chainFinishReason(r *wirepb.StageResult) string {
	if r.Last {
		return finishStop
	}
	return finishLength
}

func (g *generation) stageOpen() *wirepb.StageOpen {
	r := g.req
	return &wirepb.StageOpen{
		Session: r.Session, Epoch: r.Epoch, Organisation: r.Organisation, Rank: r.Rank, DeadlineMs: g.slot.remainingDeadline(r.DeadlineMs),
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Seed: r.Seed, Index: headIndex, Stages: r.Stages,
		Weight: r.Weight, CostTokens: uint32(len(r.Prompt)+len(r.Emitted)-unchargedTokens(r)) + r.MaxTokens,
		Preemptions: r.Preemptions, InProgress: r.InProgress,
		Prefixes: g.prefixHashes,
	}
}

// prefill sends the prompt through the chain in chunks. Later stages work on
// one chunk while this one works on the next. It returns the last result.
func (g *generation) prefill(h *stageRunner, sequence []uint32, start uint32) (*wirepb.StageResult, error) {
	frames := 0
	for at := int(start); at < len(sequence); at += g.agent.agentSettings.PrefillChunkTokens {
		chunk := sequence[at:min(at+g.agent.agentSettings.PrefillChunkTokens, len(sequence))]
		sent, err := g.sendTokens(h, uint32(at), chunk)
		if err != nil {
			return nil, err
		}
		frames += sent
	}
	return g.readResults(h, frames, uint32(len(sequence)))
}

func (g *generation) decode(h *stageRunner, position, token uint32) (*wirepb.StageResult, error) {
	frames, err := g.sendTokens(h, position, []uint32{token})
	if err != nil {
		return nil, err
	}
	return g.readResults(h, frames, position+1)
}

// sendTokens runs tokens through the engine and passes the activations on.
func (g *generation) sendTokens(h *stageRunner, position uint32, tokens []uint32) (frames int, err error) {
	line, err := h.step(&upstreams.StageStep{Epoch: g.req.Epoch, Position: position, Tokens: tokens})
	if err != nil {
		return 0, h.cancelCauseOr(err)
	}
	if len(line.Hidden) != len(tokens) {
		return 0, h.activationCountError(len(line.Hidden), len(tokens))
	}
	return h.next.sendActivations(g.req.Epoch, position, line.Hidden)
}

func (h *stageRunner) activationCountError(got, want int) error {
	return fault.New(fault.Upstream, "engine answered %d activations in place of %d", got, want).
		WithField("hidden").WithStage(h.stageIndex()).WithOutcome(fault.MayHaveRun)
}

// cancelCauseOr returns the reason of a cancelled chain in place of err.
func (h *stageRunner) cancelCauseOr(err error) error {
	if h.ctx.Err() != nil {
		return cancellationError(h.ctx)
	}
	return err
}

// readResults reads one result for each frame sent and returns the last one, which
// must name the next position.
func (g *generation) readResults(h *stageRunner, frames int, next uint32) (*wirepb.StageResult, error) {
	var result *wirepb.StageResult
	for range frames {
		r, err := h.next.receiveResult()
		if err != nil {
			return nil, err
		}
		if r.Epoch != g.req.Epoch {
			return nil, h.next.Failure(fault.New(fault.Protocol, "result of epoch %d in place of %d", r.Epoch, g.req.Epoch))
		}
		result = r
	}
	if result.Position != next {
		return nil, h.next.Failure(fault.New(fault.Protocol, "result of position %d in place of %d", result.Position, next))
	}
	return result, nil
}
