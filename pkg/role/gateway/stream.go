package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/events"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stream is the state of a stream in progress.
type stream struct {
	q        *request
	splitter events.Splitter
	started  bool // the response header was sent to the caller
	// permittedEngine is the first engine for which the stream holds a permit that was taken
	// at permittedAt.
	permittedEngine string
	permittedAt     time.Time

	mu          sync.Mutex
	stages      []path.PipelineStage
	cancel      context.CancelCauseFunc // ends the current attempt
	repathedAt  time.Time               // last repath in this attempt
	endBlocked  bool                    // this attempt was already ended, or is the last that the route allows
	lastEventAt time.Time               // last event, or the start of the attempt
	pathBroken  bool                    // the path broke during this attempt
	// leavingEngine is the engine of the path that was last seen to leave, since
	// leavingSince. The stream moves off it at moveAt.
	leavingEngine        string
	leavingSince, moveAt time.Time
	eventWrites          int // writes to the caller, each of one or more complete events
	// replyBegan is set once the engine has sent the header of its reply to this attempt, and
	// attemptWrites counts the writes of this attempt.
	replyBegan    bool
	attemptWrites int
	gap           suspicion.Gap // accessed by checkSilence only
	answered      bool          // the answer was recorded as evidence that the prompt is sound
	// firstEventAt is the time of the first of these writes.
	firstEventAt time.Time
}

const (
	// refusalAvoidTime is the time for which a request avoids an engine that refused
	// it.
	refusalAvoidTime = 300 * time.Millisecond
	// pathRetryDelay is the delay before another search for a path.
	pathRetryDelay = 40 * time.Millisecond
	// streamBufferSize, in bytes, holds several events.
	streamBufferSize = 8 << 10
	// streamRetryAfter is the mean Retry-After of a refused stream: after this time,
	// requests of the typical length have ended and freed capacity. It is randomised, so
	// that refused callers do not return together.
	streamRetryAfter = 2 * time.Second
	// retryAfterShare is the share of the time that a caller has left which is the mean
	// Retry-After if that is longer. A lack of capacity after the loss of engines lasts until
	// others have loaded their layers, and a caller that returns earlier is refused again.
	retryAfterShare = 0.2
	// pathWaitShare is the share of the target for the first event, that of the most urgent
	// route to the service, for which a request waits for a path with free capacity before it
	// is refused. The rest is enough for a first event.
	pathWaitShare = 0.7
)

// serveStream relays a stream and resumes it on another path when its path breaks.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{q: q}
	avoid := make(avoidUntil)
	var lastErr error
	for ctx.Err() == nil {
		choice, err := g.awaitPath(ctx, s, avoid)
		if err != nil {
			if lastErr == nil || !s.started {
				lastErr = err
			}
			break
		}
		if err := g.checkQuarantine(q); err != nil {
			if lastErr == nil {
				lastErr = err
			}
			break
		}
		if !g.acquireSend(q) {
			if s.started && delay.Wait(ctx, pathRetryDelay) {
				continue // the budget refills while the caller waits
			}
			break
		}
		if err = g.attemptStream(ctx, w, s, choice, avoid); err == nil {
			return
		}
		lastErr = err
		e := fault.As(err)
		q.mayHaveRun = q.mayHaveRun || e.Outcome != fault.NotRun
		replyBegan, writes := s.attemptProgress()
		g.log.Info("Attempt failed.", logs.Str("request", q.metadata.RequestID), logs.Str("upstream", q.upstream),
			logs.Int("attempt", q.attempts), logs.Str("after_event", s.splitter.LastEventID()),
			logs.Bool("reply_began", replyBegan), logs.Int("attempt_writes", writes), logs.Strs("prompt_parts", q.metadata.SharedPromptParts), logs.Err(err))
		if q.bodyReleased || e.Outcome != fault.NotRun && (!q.route.MayRepeat() || q.attempts >= max(1, q.route.MaxAttempts)) {
			break
		}
	}
	err := g.finalError(ctx, q, lastErr)
	if s.started {
		q.endReason = err.Error()
		g.metrics.brokenStreams.Inc()
		panic(http.ErrAbortHandler) // an incomplete stream must not look complete
	}
	writeError(w, q, err)
}

// avoidUntil maps each engine that refused a request to the time until which the
// request avoids it.
type avoidUntil map[string]time.Time

func (a avoidUntil) unexpired() map[string]bool {
	excluded := make(map[string]bool, len(a))
	for id, until := range a {
		if time.Now().Before(until) {
			excluded[id] = true
		}
	}
	return excluded
}

// waitDeadline returns the time until which a path is searched. A stream that has
// started is resumed for as long as its caller waits.
func (g *Gateway) waitDeadline(s *stream) time.Time {
	if s.started {
		return s.q.deadline
	}
	q := s.q
	target := q.route.TargetLatency
	if conf := g.view.Load().conf; conf != nil {
		// Otherwise routes with longer targets would get the capacity for which urgent
		// requests no longer wait.
		if urgent := conf.UrgentTarget(q.service.Name); urgent > 0 {
			target = min(target, urgent)
		}
	}
	wait := time.Duration(pathWaitShare * float64(target))
	return q.arrived.Add(max(wait, g.startupWait()))
}

// awaitPath returns a path with free capacity, and waits for one until waitDeadline.
func (g *Gateway) awaitPath(ctx context.Context, s *stream, avoid avoidUntil) (path.Choice, error) {
	q := s.q
	tokens := q.metadata.PromptTokens + q.expectedOutputTokens()
	for {
		v := g.view.Load()
		choice, err := g.bestPath(v, q, avoid.unexpired())
		if err == nil && !g.permitFirstEngine(ctx, v, s, choice) {
			err = notRunError(fault.Overloaded, "engine %s is at the limit that it names", choice.Stages[0].ID)
			if ctx.Err() == nil && time.Now().Before(g.waitDeadline(s)) {
				continue // another engine may be first
			}
			return path.Choice{}, err
		}
		if err == nil && g.isPathBlocked(choice.Stages) {
			continue // an engine has just stated that it wants no requests
		}
		if err == nil && g.linkBudgets.admitNewPath(q.service.Model, v.gatewayCount, tokens, choice) {
			return choice, nil
		}
		if err == nil {
			err = notRunError(fault.Overloaded, "the link between data centres has no room for %d tokens", tokens)
		}
		if time.Now().After(g.waitDeadline(s)) || !delay.Wait(ctx, pathRetryDelay) {
			return path.Choice{}, err
		}
	}
}

// permitFirstEngine reports whether the stream has a permit for the first engine of a path,
// and takes one if it does not. A permit that was not used because something else was
// missing serves the next try.
func (g *Gateway) permitFirstEngine(ctx context.Context, v *view, s *stream, choice path.Choice) bool {
	first := choice.Stages[0].ID
	if s.permittedEngine == first && time.Since(s.permittedAt) < permitMaxAge {
		return true
	}
	in := v.byID[first]
	if !g.takePermit(ctx, in, s.q.rank) {
		return false
	}
	s.permittedEngine, s.permittedAt = first, time.Now()
	return true
}

// bestPath returns the cheapest path without the engines in avoid.
func (g *Gateway) bestPath(v *view, q *request, avoid map[string]bool) (path.Choice, error) {
	return g.bestPathAmong(v, q, avoid, g.isBlocked)
}

// bestPathAmong returns the cheapest path without the engines in avoid and those for which
// excluded returns true.
func (g *Gateway) bestPathAmong(v *view, q *request, avoid map[string]bool, excluded func(*wirepb.Instance) bool) (path.Choice, error) {
	return path.Choose(q.service.Model, g.candidateEngines(v, q, avoid, excluded), path.Request{
		InputTokens: q.metadata.PromptTokens, ExpectedOutputTokens: q.expectedOutputTokens(), DataCentre: g.opts.DataCentre, MaxCost: q.costLimit(),
		CostFactor: spreadFactors(q.metadata.RequestID), Draw: localityDraw(q.metadata.RequestID),
	})
}

// costLimit returns the estimated duration from which a path counts as overloaded:
// requests of the typical length would no longer end by their deadline. It is longer
// for requests with a longer expected output, so that these are not refused first.
func (q *request) costLimit() time.Duration {
	typicalTokens := max(1, q.service.Model.TypicalOutputTokens)
	return time.Duration(float64(q.timeLeft()) * max(1, float64(q.expectedOutputTokens())/float64(typicalTokens)))
}

// expectedOutputTokens returns the expected number of generated tokens.
func (q *request) expectedOutputTokens() int {
	switch {
	case q.metadata.ExpectedOutputTokens > 0:
		return min(q.metadata.ExpectedOutputTokens, max(q.metadata.MaxOutputTokens, 1))
	case q.service.Model.TypicalOutputTokens > 0:
		return q.service.Model.TypicalOutputTokens
	}
	return q.metadata.MaxOutputTokens
}

func (s *stream) begin(stages []path.PipelineStage, cancel context.CancelCauseFunc, lastAttempt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endBlocked, s.lastEventAt, s.pathBroken = lastAttempt, time.Now(), false
	s.stages, s.cancel, s.repathedAt = stages, cancel, time.Time{}
	s.replyBegan, s.attemptWrites = false, 0
}

// attemptProgress returns whether the engine has begun its reply to the current attempt,
// and the number of writes to the caller since.
func (s *stream) attemptProgress() (replyBegan bool, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replyBegan, s.attemptWrites
}
