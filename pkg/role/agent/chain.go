package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stageRunner runs one stage of a chain on this agent. It owns the engine's
// stage and the stream to the next stage, which is nil at the last stage.
type stageRunner struct {
	agent              *Agent
	up                 *upstreamSnapshot
	openRequest        *wirepb.StageOpen
	ctx                context.Context
	cancel             context.CancelCauseFunc
	engine             *upstreams.Stage
	next               *nextStage
	cachedPrefixTokens uint32 // cached at this and at all later stages
	positionGuard      session.PositionGuard
	firstStepSeen      bool
	// prefillTime is the engine's time for the prompt so far.
	prefillTime time.Duration
}

// stageChooser returns a chain with other later stages. It is called when the
// stage with index busyIndex has no free slot. wait reports whether to wait for
// slots at the returned stages.
type stageChooser func(busyIndex int) (stages []*wirepb.StageRef, wait bool, err error)

// openStage opens the engine's stage and the later stages at the same time. The
// first failure closes both. With a chooser, later stages without a free slot
// are replaced.
func (a *Agent) openStage(ctx context.Context, up *upstreamSnapshot, openRequest *wirepb.StageOpen, choose stageChooser) (*stageRunner, error) {
	runner := &stageRunner{agent: a, up: up, openRequest: openRequest}
	if err := runner.positionGuard.Open(openRequest.Epoch, 0); err != nil {
		return nil, err
	}
	runner.ctx, runner.cancel = context.WithCancelCause(ctx)
	engineOpen := runner.engineOpen()
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		runner.openEngine(engineOpen)
	}()
	cachedLater, err := runner.openLaterStages(choose)
	if err != nil {
		runner.cancel(err)
	}
	<-opened
	if runner.ctx.Err() != nil {
		err := cancellationError(runner.ctx)
		runner.close()
		return nil, err
	}
	runner.cachedPrefixTokens = runner.engine.CachedTokens()
	if runner.next != nil {
		runner.cachedPrefixTokens = min(runner.cachedPrefixTokens, cachedLater)
	}
	return runner, nil
}

func (runner *stageRunner) stageIndex() int { return int(runner.openRequest.Index) }

func (runner *stageRunner) engineOpen() *upstreams.StageOpen {
	ref := runner.openRequest.Stages[0]
	return &upstreams.StageOpen{
		Session: runner.openRequest.Session, Epoch: runner.openRequest.Epoch, Model: runner.openRequest.Model, Version: runner.openRequest.Version,
		Adapter: runner.openRequest.Adapter, Rank: runner.agent.engineRank(runner.openRequest.Rank), FirstLayer: ref.FirstLayer,
		LastLayer: ref.LastLayer, Seed: runner.openRequest.Seed, Last: len(runner.openRequest.Stages) == 1, Prefixes: runner.openRequest.Prefixes,
	}
}

func (runner *stageRunner) openEngine(open *upstreams.StageOpen) {
	engine, err := runner.agent.client.OpenStage(runner.ctx, runner.up.announced.Address, open, runner.agent.settings.OpenTimeout)
	if err != nil {
		runner.cancel(withFailedStage(err, runner.stageIndex()))
		return
	}
	runner.engine = engine
}

// openLaterStages opens the later stages and returns the number of tokens
// cached there. Stages without a free slot are replaced, because waiting for
// them would leave the head's slot unused, and because the chain was chosen
// before the request waited in the head's queue and may be outdated.
func (runner *stageRunner) openLaterStages(choose stageChooser) (uint32, error) {
	for {
		cachedTokens, err := runner.openNextStage()
		if err == nil || choose == nil || !runner.openRequest.NoWait || !isLaterStageBusy(err) {
			return cachedTokens, err
		}
		stages, wait, err := choose(fault.As(err).FailedStage)
		if err != nil {
			return 0, err
		}
		runner.openRequest.Stages, runner.openRequest.NoWait = stages, !wait
	}
}

// isLaterStageBusy reports whether err means that a later stage had no free
// slot.
func isLaterStageBusy(err error) bool {
	f := fault.As(err)
	return f.Kind == fault.Overloaded && f.Outcome == fault.NotRun && f.FailedStage > headIndex
}

// openNextStage opens the next stage and returns the number of tokens cached
// there and at all later stages. It returns 0 at the last stage.
func (runner *stageRunner) openNextStage() (uint32, error) {
	if len(runner.openRequest.Stages) == 1 {
		return 0, nil
	}
	o := runner.openRequest
	next := &wirepb.StageOpen{
		Session: o.Session, Epoch: o.Epoch, Organisation: o.Organisation, Rank: o.Rank, DeadlineMs: o.DeadlineMs,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, Seed: o.Seed, Index: o.Index + 1,
		Stages: o.Stages[1:], Weight: o.Weight, CostTokens: o.CostTokens, Prefixes: o.Prefixes, NoWait: o.NoWait,
		Preemptions: o.Preemptions, InProgress: o.InProgress,
	}
	later := len(next.Stages)
	wait := time.Duration(later) * (runner.agent.settings.MaxQueueWait + runner.agent.settings.OpenTimeout)
	runner.agent.peers.markUsed(next.Stages[0])
	stage, cached, err := openNextStage(runner.ctx, runner.agent.pool, next, wait, runner.resultTimeout(later))
	if err != nil {
		return 0, err
	}
	runner.next = stage
	return cached, nil
}

// resultTimeout returns the time to wait for a result. It grows with the number
// of later stages, so that the stage directly before the failed one reports
// first and names it.
func (runner *stageRunner) resultTimeout(later int) time.Duration {
	chunkTimeout := runner.agent.stepTimeout(runner.agent.settings.PrefillChunkTokens)
	return time.Duration(later) * (chunkTimeout + resultSlack)
}

// resultSlack covers network delay and the scheduling of two processes.
const resultSlack = 200 * time.Millisecond

// step runs one step on the engine. The first step of an epoch may start after
// the cached tokens.
func (runner *stageRunner) step(s *upstreams.StageStep) (*upstreams.StageLine, error) {
	count := uint32(max(len(s.Tokens), len(s.Hidden)))
	if count == 0 {
		return nil, invalidRequest("hidden", "step has no positions").WithStage(runner.stageIndex())
	}
	if err := runner.acceptCachedPositions(s); err != nil {
		return nil, err
	}
	if err := runner.positionGuard.Step(s.Epoch, s.Position, count); err != nil {
		return nil, withFailedStage(fault.As(err).WithOutcome(fault.MayHaveRun), runner.stageIndex())
	}
	started := runner.agent.now()
	line, err := runner.engine.Step(s, runner.agent.stepTimeout(int(count)))
	if err != nil {
		return nil, withFailedStage(err, runner.stageIndex())
	}
	runner.recordEngineTime(count, runner.agent.now().Sub(started))
	return line, nil
}

// recordEngineTime records the engine's step time for load reports. Steps with
// several positions belong to the prompt.
func (runner *stageRunner) recordEngineTime(count uint32, took time.Duration) {
	if count > 1 {
		runner.prefillTime += took
		return
	}
	if runner.prefillTime > 0 {
		runner.agent.metrics.enginePrefill.add(runner.prefillTime)
		runner.prefillTime = 0
	}
	runner.agent.metrics.engineStep.add(took)
}

// acceptCachedPositions marks the cached positions as run, before the first
// step of the epoch.
func (runner *stageRunner) acceptCachedPositions(s *upstreams.StageStep) error {
	if runner.firstStepSeen {
		return nil
	}
	runner.firstStepSeen = true
	if s.Position == 0 || s.Position > runner.cachedPrefixTokens {
		return nil // positionGuard refuses a position that is not cached
	}
	return runner.positionGuard.Step(s.Epoch, 0, s.Position)
}

// close closes this stage and all later ones.
func (runner *stageRunner) close() {
	runner.cancel(nil)
	if runner.engine != nil {
		runner.engine.Close()
	}
	if runner.next != nil {
		runner.next.Close()
	}
}

// runChain runs the token loop of a chain on its first stage.
func (g *generation) runChain() (*wirepb.GenerateDone, error) {
	runner, err := g.openChain()
	if err != nil {
		return nil, err
	}
	defer runner.close()
	g.mayHaveRun = true
	sequence := append(append([]uint32(nil), g.req.Prompt...), g.req.Emitted...)
	// The last position always runs, because its result is the next token.
	start := min(runner.cachedPrefixTokens, uint32(len(sequence)-1)/upstreams.PrefixBlockTokens*upstreams.PrefixBlockTokens)
	result, err := g.prefill(runner, sequence, start)
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
		if result, err = g.decode(runner, position, result.Token); err != nil {
			return nil, err
		}
		position++
	}
}

// openChain opens all stages of the request.
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

// useFreedStages replaces the later stages by those of a chain that was
// preempted on this agent.
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
func (g *generation) chooseStages(busyIndex int) (stages []*wirepb.StageRef, wait bool, err error) {
	var refused []string
	for _, s := range g.req.Stages[1:min(busyIndex+1, len(g.req.Stages))] {
		refused = append(refused, s.Host)
	}
	return g.requestLaterStages(refused, nil)
}

func (g *generation) requestLaterStages(refused, freed []string) (stages []*wirepb.StageRef, wait bool, err error) {
	choice, err := g.tokenStream.QueryStages(refused, freed)
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
		Session: r.Session, Epoch: r.Epoch, Organisation: r.Organisation, Rank: r.Rank, DeadlineMs: g.slot.remainingTimeout(r.DeadlineMs),
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Seed: r.Seed, Index: headIndex, Stages: r.Stages,
		Weight: r.Weight, CostTokens: uint32(len(r.Prompt)+len(r.Emitted)-unchargedTokens(r)) + r.MaxTokens,
		Preemptions: r.Preemptions, InProgress: r.InProgress,
		Prefixes: g.prefixHashes,
	}
}

// prefill sends the prompt through the chain in chunks and returns the last
// result. Chunks are pipelined: later stages process one while this stage
// processes the next.
func (g *generation) prefill(runner *stageRunner, sequence []uint32, start uint32) (*wirepb.StageResult, error) {
	frames := 0
	for at := int(start); at < len(sequence); at += g.agent.settings.PrefillChunkTokens {
		chunk := sequence[at:min(at+g.agent.settings.PrefillChunkTokens, len(sequence))]
		sent, err := g.sendTokens(runner, uint32(at), chunk)
		if err != nil {
			return nil, err
		}
		frames += sent
	}
	return g.readResults(runner, frames, uint32(len(sequence)))
}

func (g *generation) decode(runner *stageRunner, position, token uint32) (*wirepb.StageResult, error) {
	frames, err := g.sendTokens(runner, position, []uint32{token})
	if err != nil {
		return nil, err
	}
	return g.readResults(runner, frames, position+1)
}

// sendTokens runs tokens on the engine and sends the activations to the next
// stage.
func (g *generation) sendTokens(runner *stageRunner, position uint32, tokens []uint32) (frames int, err error) {
	line, err := runner.step(&upstreams.StageStep{Epoch: g.req.Epoch, Position: position, Tokens: tokens})
	if err != nil {
		return 0, runner.cancelCauseOr(err)
	}
	if len(line.Hidden) != len(tokens) {
		return 0, runner.activationCountError(len(line.Hidden), len(tokens))
	}
	return runner.next.sendActivations(g.req.Epoch, position, line.Hidden)
}

func (runner *stageRunner) activationCountError(got, want int) error {
	return fault.New(fault.Upstream, "engine returned %d activations instead of %d", got, want).
		WithField("hidden").WithStage(runner.stageIndex()).WithOutcome(fault.MayHaveRun)
}

// cancelCauseOr returns the cancellation cause of the chain, or err if the
// chain was not cancelled.
func (runner *stageRunner) cancelCauseOr(err error) error {
	if runner.ctx.Err() != nil {
		return cancellationError(runner.ctx)
	}
	return err
}

// readResults reads one result for each frame sent and returns the last one.
// The position of that result must equal next.
func (g *generation) readResults(runner *stageRunner, frames int, next uint32) (*wirepb.StageResult, error) {
	var result *wirepb.StageResult
	for range frames {
		r, err := runner.next.receiveResult()
		if err != nil {
			return nil, err
		}
		if r.Epoch != g.req.Epoch {
			return nil, runner.next.AttributeError(fault.New(fault.Protocol, "result has epoch %d instead of %d", r.Epoch, g.req.Epoch))
		}
		result = r
	}
	if result.Position != next {
		return nil, runner.next.AttributeError(fault.New(fault.Protocol, "result has position %d instead of %d", result.Position, next))
	}
	return result, nil
}
