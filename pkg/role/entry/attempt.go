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
// fails. For a streamed answer, it stops deadlineTimer at the first token.
func (g *generation) attempt(ctx context.Context, deadlineTimer *time.Timer) (*wirepb.GenerateDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := g.stallTimer(cancel)
	defer stall.Stop()
	firstPosition := len(g.stream.Emitted())
	var firstTokenAt time.Time
	onToken := func(t *wirepb.Token) error {
		if err := g.acceptToken(t); err != nil {
			return err
		}
		if firstTokenAt.IsZero() {
			firstTokenAt = g.lastTokenAt
		}
		if !g.req.NonStreaming {
			deadlineTimer.Stop()
		}
		stall.Stop() // time spent on a slow caller is not a stall of the chain
		if g.emitErr = g.emit(t.Id); g.emitErr != nil {
			return g.emitErr
		}
		stall.Reset(g.entry.opts.Settings.StallTimeout)
		return nil
	}
	selector := &stageSelector{generation: g}
	done, err := g.entry.opts.Agents.Generate(ctx, g.chain[0].Address, g.request(), agent.GenerateCallbacks{OnToken: onToken, ChooseStages: selector.selectStages})
	if err == nil {
		err = g.checkComplete()
	}
	if err != nil && !g.stream.Complete() {
		return nil, err
	}
	if g.emitErr != nil {
		return nil, g.emitErr
	}
	g.entry.promptGuard.recordAnswered(g.parts)
	g.recordSuccess(firstTokenAt, len(g.stream.Emitted())-firstPosition)
	return done, nil
}

// stallTimer returns the timer that cancels an attempt without progress. It
// bounds the time between tokens and, if earlier attempts have produced tokens,
// the time to the first token. Until the first token of the request, only the
// deadline applies.
func (g *generation) stallTimer(cancel context.CancelCauseFunc) *time.Timer {
	t := time.AfterFunc(g.resumeTimeout(), func() {
		cancel(fault.New(fault.Upstream, "chain produces no tokens"))
	})
	if !g.hasTokens() {
		t.Stop()
	}
	return t
}

// resumeTimeout returns the longest time to the first token of an attempt that
// continues a stream. After a preemption, it includes the wait in the queue.
func (g *generation) resumeTimeout() time.Duration {
	limit := g.entry.opts.Settings.ReplayTimeout
	if g.requeued {
		limit += g.entry.opts.Settings.RequeueWait
	}
	return limit
}

// request returns the wire message for the current plan. MaxTokens excludes the
// tokens emitted by earlier attempts, whereas token positions include them.
func (g *generation) request() *wirepb.GenerateRequest {
	return &wirepb.GenerateRequest{
		Session:      g.req.RequestID,
		Epoch:        g.plan.Epoch,
		Organisation: g.req.Caller.Name(),
		Rank:         g.req.Rank,
		DeadlineMs:   g.firstTokenTimeoutMs(),
		Model:        g.req.Model,
		Version:      g.version,
		Adapter:      g.req.Adapter,
		Prompt:       g.req.Prompt,
		Emitted:      g.plan.Emitted,
		MaxTokens:    uint32(g.plan.MaxTokens),
		Seed:         g.req.Seed,
		Stages:       stageRefs(g.chain),
		Revision:     g.revision,
		Weight:       g.weight,
		Preemptions:  uint32(g.preemptions),
		InProgress:   uint32(g.usage.inProgress() * g.entry.snapshot.Load().entryCount),
		LateStages:   len(g.chain) > 1 && !g.entry.opts.Settings.RoundRobin,
	}
}

// refusalMargin is subtracted from the time that an agent is given. The agent's
// refusal of a request that is still queued must arrive before the deadline
// expires at the entry, because after that it is unknown whether the request
// ran. The agent checks its queue every 20 ms.
const refusalMargin = 50 * time.Millisecond

// firstTokenTimeoutMs returns the time that the agent is given for the first
// token of the attempt, in milliseconds.
func (g *generation) firstTokenTimeoutMs() uint32 {
	remaining := g.req.Deadline.Sub(g.entry.opts.Now())
	if g.hasTokens() {
		remaining = g.resumeTimeout()
	}
	remaining -= min(refusalMargin, remaining/10)
	return uint32(max(1, remaining.Milliseconds()))
}

// acceptToken checks that t is the next token of this attempt and records it.
func (g *generation) acceptToken(t *wirepb.Token) error {
	if t.Session != g.req.RequestID {
		return fault.New(fault.Protocol, "token of another session").WithField("session").WithStage(0)
	}
	if err := g.stream.Accept(t.Epoch, t.Position, t.Id, t.Last); err != nil {
		return fault.Wrap(err, fault.Protocol, "token out of order").WithStage(0)
	}
	now := g.entry.opts.Now()
	since := g.lastTokenAt
	if since.IsZero() {
		since = g.started
	}
	g.entry.metrics.recordToken(g.rank, g.lastTokenAt.IsZero(), now.Sub(since))
	g.lastTokenAt = now
	g.usage.charge(1)
	return nil
}

// checkComplete returns an error if the stream ended before the last token, so
// that a truncated answer is never reported as complete. The token count that
// the agent reports is not sufficient proof.
func (g *generation) checkComplete() error {
	if g.hasAllTokens() {
		return nil
	}
	return fault.New(fault.Protocol, "head ended the stream after %d tokens without a last one", len(g.stream.Emitted())).
		WithStage(0)
}

// recordSuccess reports the inter-token latency of each host of the chain to the
// outlier detector. An attempt with fewer than two tokens has no inter-token
// latency and is not reported.
func (g *generation) recordSuccess(firstTokenAt time.Time, tokens int) {
	if tokens < 2 {
		return
	}
	interToken := g.lastTokenAt.Sub(firstTokenAt) / time.Duration(tokens-1)
	table := g.entry.snapshot.Load().table
	for _, st := range g.chain {
		g.entry.outliers.Observe(st.Host, true, engineLatency(table.Get(st.Host), interToken), g.entry.opts.Now())
	}
}

// engineLatency returns the inter-token latency of the upstream in the routing
// table: the one that the engine reports, or that of the fastest engine of its
// group. The latency of the whole chain would count a slow stage against the
// other stages too; it is the fallback if the table has none.
func engineLatency(u *route.Upstream, chain time.Duration) time.Duration {
	if u == nil || u.InterTokenLatency <= 0 {
		return chain
	}
	return u.InterTokenLatency
}
