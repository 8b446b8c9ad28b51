package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// attempt runs the generation on the current chain until it is complete or
// fails. Limit is the timer of the request's deadline.
func (g *generation) attempt(ctx context.Context, limit *time.Timer) (*wirepb.GenerateDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := g.stallTimer(cancel)
	defer stall.Stop()
	firstPosition := len(g.stream.Emitted())
	var first time.Time
	onToken := func(t *wirepb.Token) error {
		if err := g.accept(t); err != nil {
			return err
		}
		if first.IsZero() {
			first = g.lastToken
		}
		if !g.req.NonStreaming {
			limit.Stop()
		}
		stall.Stop() // a caller that reads slowly is not the fault of the chain
		if g.emitErr = g.emit(t.Id); g.emitErr != nil {
			return g.emitErr
		}
		stall.Reset(g.entry.opts.Settings.Stall)
		return nil
	}
	later := &laterStages{generation: g}
	done, err := g.entry.opts.Agents.Generate(ctx, g.chain[0].Address, g.request(), agent.GenerateCallbacks{OnToken: onToken, ChooseStages: later.choose})
	if err == nil {
		err = g.checkDone()
	}
	if err != nil && !g.stream.Complete() {
		return nil, err
	}
	if g.emitErr != nil {
		return nil, g.emitErr
	}
	g.observeSuccess(first, len(g.stream.Emitted())-firstPosition)
	return done, nil
}

// stallTimer bounds the time between tokens, and the time to the first token of
// an attempt that repairs a begun stream. Before that the deadline does.
func (g *generation) stallTimer(cancel context.CancelCauseFunc) *time.Timer {
	t := time.AfterFunc(g.resumeTime(), func() {
		cancel(fault.New(fault.Upstream, "chain produces no tokens"))
	})
	if !g.begun() {
		t.Stop()
	}
	return t
}

// resumeTime is the longest time to the first token of an attempt of a begun
// stream. After a preemption the request waits in a queue first.
func (g *generation) resumeTime() time.Duration {
	limit := g.entry.opts.Settings.ReplayTime
	if g.requeued {
		limit += g.entry.opts.Settings.RequeueWait
	}
	return limit
}

// request returns the message for the current plan. Max_tokens does not count
// the emitted tokens, unlike the positions.
func (g *generation) request() *wirepb.GenerateRequest {
	return &wirepb.GenerateRequest{
		Session:      g.req.RequestID,
		Epoch:        g.plan.Epoch,
		Organisation: g.req.Caller.Name(),
		Rank:         g.req.Rank,
		DeadlineMs:   g.firstTokenMs(),
		Model:        g.req.Model,
		Version:      g.version,
		Adapter:      g.req.Adapter,
		Prompt:       g.req.Prompt,
		Emitted:      g.plan.Emitted,
		MaxTokens:    uint32(g.plan.MaxTokens),
		Seed:         g.req.Seed,
		Stages:       stageRefs(g.chain),
		Revision:     g.rev,
		Weight:       g.weight,
		Preemptions:  uint32(g.preemptions),
		InProgress:   uint32(g.usage.inProgress() * max(g.entry.snapshot.Load().view.LiveEntries, 1)),
		LateStages:   len(g.chain) > 1 && !g.entry.opts.Settings.RoundRobin,
	}
}

// answerMargin is kept back from the time that an agent is given. Its refusal
// of a request that is still queued must arrive before the deadline passes
// here, after which nobody knows whether the request ran. The agent checks its
// queue each 20 ms.
const answerMargin = 50 * time.Millisecond

// firstTokenMs returns the time that the agent has for the first token of the
// attempt.
func (g *generation) firstTokenMs() uint32 {
	left := g.req.Deadline.Sub(g.entry.opts.Now())
	if g.begun() {
		left = g.resumeTime()
	}
	left -= min(answerMargin, left/10)
	return uint32(max(1, left.Milliseconds()))
}

// accept checks that a token belongs to this attempt and is the next one.
func (g *generation) accept(t *wirepb.Token) error {
	if t.Session != g.req.RequestID {
		return fault.New(fault.Protocol, "token of another session").WithField("session").WithStage(0)
	}
	if err := g.stream.Accept(t.Epoch, t.Position, t.Id, t.Last); err != nil {
		return fault.Wrap(err, fault.Protocol, "token out of order").WithStage(0)
	}
	now := g.entry.opts.Now()
	since := g.lastToken
	if since.IsZero() {
		since = g.started
	}
	g.entry.metrics.token(g.rank, g.lastToken.IsZero(), now.Sub(since))
	g.lastToken = now
	g.usage.charge(1)
	return nil
}

// checkDone refuses an end before the last token, so that a truncated answer is
// never taken as whole. The count of the agent alone is no proof.
func (g *generation) checkDone() error {
	if g.whole() {
		return nil
	}
	return fault.New(fault.Protocol, "head ended the stream after %d tokens without a last one", len(g.stream.Emitted())).
		WithStage(0)
}

// observeSuccess reports the time between tokens for each host. An attempt with
// a single token has none and is not counted.
func (g *generation) observeSuccess(first time.Time, tokens int) {
	if tokens < 2 {
		return
	}
	between := g.lastToken.Sub(first) / time.Duration(tokens-1)
	table := g.entry.snapshot.Load().table
	for _, st := range g.chain {
		g.entry.tracker.Observe(st.Host, true, ownLatency(table.Get(st.Host), between), g.entry.opts.Now())
	}
}

// ownLatency returns the engine's own time between tokens. The time of the
// chain, which stands in until the engine has reported one, would count a slow
// stage against all others of its chain.
func ownLatency(u *route.Upstream, chain time.Duration) time.Duration {
	if u == nil || u.InterTokenLatency <= 0 {
		return chain
	}
	return u.InterTokenLatency
}
