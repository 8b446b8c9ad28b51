package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/events"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// stream is a stream in progress.
type stream struct {
	q        *request
	splitter events.Splitter
	started  bool // the header went to the caller

	mu     sync.Mutex
	parts  []path.PipelineStage
	cancel context.CancelCauseFunc // ends the present attempt
	moved  time.Time               // last repair
	final  bool                    // the route admits no further attempt
	event  time.Time               // last event, or the begin of the attempt
	broken bool                    // the path has been broken in this attempt
	events int                     // whole events or groups of them that were passed on
	// firstEvent is the time of the first of them.
	firstEvent time.Time
}

const (
	// avoidTime is the time for which a request avoids an engine that refused it.
	avoidTime = 300 * time.Millisecond
	// choiceRetry is the pause before a path is looked for again.
	choiceRetry = 40 * time.Millisecond
	// streamBuffer holds some events.
	streamBuffer = 8 << 10
	// streamReturn is the mean time after which a refused caller should come
	// back: by then requests of the usual length have ended and left room. It is
	// spread, so that refused callers do not return together.
	streamReturn = 2 * time.Second
	// waitShare of the target is the time for which a request waits for a path
	// with room before it is refused: the rest is enough for a first event.
	waitShare = 0.7
)

// serveStream passes a stream on and resumes it on another path when its path
// breaks.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{q: q}
	avoid := make(avoided)
	var last error
	for ctx.Err() == nil {
		choice, err := g.choosePath(ctx, s, avoid)
		if err != nil {
			if last == nil || !s.started {
				last = err
			}
			break
		}
		if !g.maySend(q) {
			if s.started && delay.Wait(ctx, choiceRetry) {
				continue // the budget refills while the caller waits
			}
			break
		}
		if err = g.runAttempt(ctx, w, s, choice, avoid); err == nil {
			return
		}
		last = err
		e := fault.As(err)
		g.log.Info("Attempt failed.", logs.Str("request", q.caller.RequestID), logs.Str("upstream", q.upstream),
			logs.Int("attempt", q.attempts), logs.Str("after_event", s.splitter.LastEventID()), logs.Err(err))
		if e.Outcome != fault.NotRun && (!q.route.Idempotent() || q.attempts >= max(1, q.route.MaxAttempts)) {
			break
		}
	}
	err := g.finalError(ctx, q, last)
	if s.started {
		q.note = err.Error()
		g.metrics.brokenStreams.Inc()
		panic(http.ErrAbortHandler) // an incomplete stream must not look complete
	}
	refuse(w, q, err)
}

// avoided are the engines that refused a request, with the time until which the
// request avoids them.
type avoided map[string]time.Time

func (a avoided) now() map[string]bool {
	out := make(map[string]bool, len(a))
	for id, until := range a {
		if time.Now().Before(until) {
			out[id] = true
		}
	}
	return out
}

// waitLimit returns the time until which a path is looked for. A stream that has
// begun is resumed for as long as its caller waits.
func (g *Gateway) waitLimit(s *stream) time.Time {
	if s.started {
		return s.q.deadline
	}
	share := time.Duration(waitShare * float64(s.q.route.TargetLatency))
	return s.q.arrived.Add(max(share, g.startHold()))
}

// choosePath returns a path with room, waiting a little for one.
func (g *Gateway) choosePath(ctx context.Context, s *stream, avoid avoided) (path.Choice, error) {
	q := s.q
	tokens := q.caller.Prompt + q.answerTokens()
	for {
		v := g.view.Load()
		choice, err := g.bestPath(v, q, avoid.now())
		if err == nil && g.pipes.admit(q.service.Model, v.entries, tokens, choice) {
			return choice, nil
		}
		if err == nil {
			err = notRun(fault.Overloaded, "the link between data centres has no room for %d tokens", tokens)
		}
		if time.Now().After(g.waitLimit(s)) || !delay.Wait(ctx, choiceRetry) {
			return path.Choice{}, err
		}
	}
}

// bestPath returns the cheapest path that avoids some engines.
func (g *Gateway) bestPath(v *view, q *request, avoid map[string]bool) (path.Choice, error) {
	return path.Choose(q.service.Model, g.enginesOf(v, q, avoid), path.Request{
		InputTokens: q.caller.Prompt, ExpectedOutputTokens: q.answerTokens(), DataCentre: g.opts.DataCentre, MaxCost: q.crowdLimit(),
		CostFactor: spread(q.caller.RequestID),
	})
}

// crowdLimit is the estimated time up to which a path is not too crowded: requests of
// the usual size would no longer end by their deadline. For longer ones it is longer,
// so that they are not refused first.
func (q *request) crowdLimit() time.Duration {
	usual := max(1, q.service.Model.TypicalOutputTokens)
	return time.Duration(float64(q.left()) * max(1, float64(q.answerTokens())/float64(usual)))
}

// answerTokens is the expected length of the answer.
func (q *request) answerTokens() int {
	switch {
	case q.caller.ExpectedAnswer > 0:
		return min(q.caller.ExpectedAnswer, max(q.caller.MaxAnswer, 1))
	case q.service.Model.TypicalOutputTokens > 0:
		return q.service.Model.TypicalOutputTokens
	}
	return q.caller.MaxAnswer
}

func (s *stream) begin(parts []path.PipelineStage, cancel context.CancelCauseFunc, final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final, s.event, s.broken = final, time.Now(), false
	s.parts, s.cancel, s.moved = parts, cancel, time.Time{}
}
