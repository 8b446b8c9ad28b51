package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// hop is one stage of a chain at this agent: its engine and the stream to the
// next stage, which is nil at the last one.
type hop struct {
	agent  *Agent
	up     *upstreamView
	open   *wirepb.StageOpen
	ctx    context.Context
	cancel context.CancelCauseFunc
	engine *upstreams.Stage
	next   *nextStage
	cached uint32 // tokens cached here and at all later stages
	guard  session.PositionGuard
	begun  bool
	// prefill is the time of the engine for the prompt so far.
	prefill time.Duration
}

// stageChooser returns other later stages in place of the last choice, of which
// the stage with the given index is busy, and whether to wait for their slots.
type stageChooser func(busy int) (stages []*wirepb.StageRef, wait bool, err error)

// openHop opens the engine and the later stages at the same time. The first
// failure ends both. With a chooser, stages without a free slot are replaced.
func (a *Agent) openHop(ctx context.Context, up *upstreamView, open *wirepb.StageOpen, choose stageChooser) (*hop, error) {
	h := &hop{agent: a, up: up, open: open}
	if err := h.guard.Open(open.Epoch, 0); err != nil {
		return nil, err
	}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	engineOpen := h.engineOpen()
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		h.openEngine(engineOpen)
	}()
	cachedLater, err := h.openLater(choose)
	if err != nil {
		h.cancel(err)
	}
	<-opened
	if h.ctx.Err() != nil {
		err := cancelled(h.ctx)
		h.close()
		return nil, err
	}
	h.cached = h.engine.CachedTokens()
	if h.next != nil {
		h.cached = min(h.cached, cachedLater)
	}
	return h, nil
}

func (h *hop) index() int { return int(h.open.Index) }

func (h *hop) engineOpen() *upstreams.StageOpen {
	ref := h.open.Stages[0]
	return &upstreams.StageOpen{
		Session: h.open.Session, Epoch: h.open.Epoch, Model: h.open.Model, Version: h.open.Version,
		Adapter: h.open.Adapter, Rank: h.agent.engineRank(h.open.Rank), FirstLayer: ref.FirstLayer,
		LastLayer: ref.LastLayer, Seed: h.open.Seed, Last: len(h.open.Stages) == 1, Prefixes: h.open.Prefixes,
	}
}

func (h *hop) openEngine(open *upstreams.StageOpen) {
	engine, err := h.agent.client.OpenStage(h.ctx, h.up.announced.Address, open, h.agent.set.OpenTimeout)
	if err != nil {
		h.cancel(blame(err, h.index()))
		return
	}
	h.engine = engine
}

// openLater opens the later stages and returns the tokens cached there. The
// chooser replaces busy ones: queueing there would hold the slot of the head
// idle, and the choice of the request is as old as its wait in this queue.
func (h *hop) openLater(choose stageChooser) (uint32, error) {
	for {
		cached, err := h.openNext()
		if err == nil || choose == nil || !h.open.NoWait || !isBusy(err) {
			return cached, err
		}
		stages, wait, err := choose(fault.As(err).FailedStage)
		if err != nil {
			return 0, err
		}
		h.open.Stages, h.open.NoWait = stages, !wait
	}
}

// isBusy reports whether a later stage refused for lack of a slot.
func isBusy(err error) bool {
	f := fault.As(err)
	return f.Kind == fault.Overloaded && f.Outcome == fault.NotRun && f.FailedStage > headIndex
}

// openNext opens the next stage and returns its cached tokens.
func (h *hop) openNext() (uint32, error) {
	if len(h.open.Stages) == 1 {
		return 0, nil
	}
	o := h.open
	next := &wirepb.StageOpen{
		Session: o.Session, Epoch: o.Epoch, Organisation: o.Organisation, Rank: o.Rank, DeadlineMs: o.DeadlineMs,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, Seed: o.Seed, Index: o.Index + 1,
		Stages: o.Stages[1:], Weight: o.Weight, CostTokens: o.CostTokens, Prefixes: o.Prefixes, NoWait: o.NoWait,
		Preemptions: o.Preemptions, InProgress: o.InProgress,
	}
	later := len(next.Stages)
	wait := time.Duration(later) * (h.agent.set.MaxQueueWait + h.agent.set.OpenTimeout)
	h.agent.peers.use(next.Stages[0])
	stage, cached, err := openNext(h.ctx, h.agent.pool, next, wait, h.resultTimeout(later))
	if err != nil {
		return 0, err
	}
	h.next = stage
	return cached, nil
}

// resultTimeout grows with the number of later stages, so that the stage next
// to the failed one reports first and names it.
func (h *hop) resultTimeout(later int) time.Duration {
	chunk := h.agent.prefillTimeout(h.agent.set.PrefillChunk)
	return time.Duration(later) * (chunk + resultSlack)
}

// resultSlack covers the link and the scheduling of two processes.
const resultSlack = 200 * time.Millisecond

// step runs the engine over one step. The first step of an epoch may begin
// after the cached tokens.
func (h *hop) step(s *upstreams.StageStep) (*upstreams.StageLine, error) {
	count := uint32(max(len(s.Tokens), len(s.Hidden)))
	if count == 0 {
		return nil, refuse("hidden", "step has no positions").WithStage(h.index())
	}
	if err := h.begin(s); err != nil {
		return nil, err
	}
	if err := h.guard.Step(s.Epoch, s.Position, count); err != nil {
		return nil, blame(fault.As(err).WithOutcome(fault.MayHaveRun), h.index())
	}
	started := h.agent.now()
	line, err := h.engine.Step(s, h.agent.prefillTimeout(int(count)))
	if err != nil {
		return nil, blame(err, h.index())
	}
	h.measure(count, h.agent.now().Sub(started))
	return line, nil
}

// measure records the time of the engine for the load reports. Steps of several
// positions belong to the prompt.
func (h *hop) measure(count uint32, took time.Duration) {
	if count > 1 {
		h.prefill += took
		return
	}
	if h.prefill > 0 {
		h.agent.metrics.enginePrefill.add(h.prefill)
		h.prefill = 0
	}
	h.agent.metrics.engineStep.add(took)
}

// begin counts the cached positions as run.
func (h *hop) begin(s *upstreams.StageStep) error {
	if h.begun {
		return nil
	}
	h.begun = true
	if s.Position == 0 || s.Position > h.cached {
		return nil // the guard refuses a position that is not cached
	}
	return h.guard.Step(s.Epoch, 0, s.Position)
}

// close ends the stage and those after it.
func (h *hop) close() {
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
	g.begun = true
	sequence := append(append([]uint32(nil), g.req.Prompt...), g.req.Emitted...)
	// The last position always runs, because it yields the token.
	start := min(h.cached, uint32(len(sequence)-1)/upstreams.PrefixBlockTokens*upstreams.PrefixBlockTokens)
	result, err := g.prefill(h, sequence, start)
	if err != nil {
		return nil, err
	}
	position := uint32(len(sequence))
	for {
		last := result.Last || g.isLast()
		if err := g.token(result.Token, last); err != nil {
			return nil, err
		}
		if last {
			return &wirepb.GenerateDone{FinishReason: chainFinish(result), CachedTokens: start}, nil
		}
		if result, err = g.decode(h, position, result.Token); err != nil {
			return nil, err
		}
		position++
	}
}

// openChain opens the chain of the request.
func (g *generation) openChain() (*hop, error) {
	open := g.stageOpen()
	if !g.req.LateStages {
		return g.agent.openHop(g.ctx, g.up, open, nil)
	}
	open.NoWait = true
	if freed := g.agent.freed.take(); freed != nil {
		if err := g.takeOver(open, freed); err != nil {
			return nil, err
		}
	}
	return g.agent.openHop(g.ctx, g.up, open, g.chooseStages)
}

// takeOver replaces the later stages by those of a chain that was preempted
// here.
func (g *generation) takeOver(open *wirepb.StageOpen, freed []string) error {
	stages, wait, err := g.ask(nil, freed)
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
	return g.ask(refused, nil)
}

func (g *generation) ask(refused, freed []string) (stages []*wirepb.StageRef, wait bool, err error) {
	choice, err := g.out.ChooseStages(refused, freed)
	if err != nil {
		return nil, false, fault.As(err)
	}
	stages = append([]*wirepb.StageRef{g.req.Stages[headIndex]}, choice.Stages...)
	if err := checkChain(stages); err != nil {
		return nil, false, err
	}
	g.req.Stages = stages
	return stages, choice.Wait, nil
}

func chainFinish(r *wirepb.StageResult) string {
	if r.Last {
		return finishStop
	}
	return finishLength
}

func (g *generation) stageOpen() *wirepb.StageOpen {
	r := g.req
	return &wirepb.StageOpen{
		Session: r.Session, Epoch: r.Epoch, Organisation: r.Organisation, Rank: r.Rank, DeadlineMs: g.slot.remaining(r.DeadlineMs),
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Seed: r.Seed, Index: headIndex, Stages: r.Stages,
		Weight: r.Weight, CostTokens: uint32(len(r.Prompt)+len(r.Emitted)-chargedBefore(r)) + r.MaxTokens,
		Preemptions: r.Preemptions, InProgress: r.InProgress,
		Prefixes: g.prefixes,
	}
}

// prefill sends the prompt through the chain in chunks. Later stages work on
// one chunk while this one works on the next. It returns the last result.
func (g *generation) prefill(h *hop, sequence []uint32, start uint32) (*wirepb.StageResult, error) {
	frames := 0
	for at := int(start); at < len(sequence); at += g.agent.set.PrefillChunk {
		chunk := sequence[at:min(at+g.agent.set.PrefillChunk, len(sequence))]
		sent, err := g.send(h, uint32(at), chunk)
		if err != nil {
			return nil, err
		}
		frames += sent
	}
	return g.results(h, frames, uint32(len(sequence)))
}

func (g *generation) decode(h *hop, position, token uint32) (*wirepb.StageResult, error) {
	frames, err := g.send(h, position, []uint32{token})
	if err != nil {
		return nil, err
	}
	return g.results(h, frames, position+1)
}

// send runs tokens through the engine and passes the activations on.
func (g *generation) send(h *hop, position uint32, tokens []uint32) (frames int, err error) {
	line, err := h.step(&upstreams.StageStep{Epoch: g.req.Epoch, Position: position, Tokens: tokens})
	if err != nil {
		return 0, h.preferLater(err)
	}
	if len(line.Hidden) != len(tokens) {
		return 0, h.wrongCount(len(line.Hidden), len(tokens))
	}
	return h.next.write(g.req.Epoch, position, line.Hidden)
}

func (h *hop) wrongCount(got, want int) error {
	return fault.New(fault.Upstream, "engine answered %d activations in place of %d", got, want).
		WithField("hidden").WithStage(h.index()).WithOutcome(fault.MayHaveRun)
}

// preferLater returns the reason of a cancelled chain in place of err.
func (h *hop) preferLater(err error) error {
	if h.ctx.Err() != nil {
		return cancelled(h.ctx)
	}
	return err
}

// results reads one result for each frame sent and returns the last one, which
// must name the next position.
func (g *generation) results(h *hop, frames int, next uint32) (*wirepb.StageResult, error) {
	var result *wirepb.StageResult
	for range frames {
		r, err := h.next.read()
		if err != nil {
			return nil, err
		}
		if r.Epoch != g.req.Epoch {
			return nil, h.next.AttributeError(fault.New(fault.Protocol, "result of epoch %d in place of %d", r.Epoch, g.req.Epoch))
		}
		result = r
	}
	if result.Position != next {
		return nil, h.next.AttributeError(fault.New(fault.Protocol, "result of position %d in place of %d", result.Position, next))
	}
	return result, nil
}
