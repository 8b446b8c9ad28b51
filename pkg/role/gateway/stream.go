package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/events"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stream is a stream in progress.
type stream struct {
	q        *request
	splitter events.Splitter
	started  bool // the header went to the caller

	mu     sync.Mutex
	parts  []path.Part
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
			if s.started && wait(ctx, choiceRetry) {
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
			logs.Int("attempt", q.attempts), logs.Str("after_event", s.splitter.LastID()), logs.Err(err))
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
	share := time.Duration(waitShare * float64(s.q.route.Target))
	return s.q.arrived.Add(max(share, g.startHold()))
}

// choosePath returns a path with room, waiting a little for one.
func (g *Gateway) choosePath(ctx context.Context, s *stream, avoid avoided) (path.Choice, error) {
	q := s.q
	tokens := q.caller.Prompt + q.answerTokens()
	for {
		v := g.view.Load()
		choice, err := g.bestPath(v, q, avoid.now())
		if err == nil && choice.Roomy && g.pipes.admit(q.service.Model, v.entries, tokens, choice) {
			return choice, nil
		}
		if err == nil {
			err = notRun(fault.Overloaded, "no path has room for %d tokens", tokens)
		}
		if time.Now().After(g.waitLimit(s)) || !wait(ctx, choiceRetry) {
			return path.Choice{}, err
		}
	}
}

// bestPath returns the cheapest path that avoids some engines.
func (g *Gateway) bestPath(v *view, q *request, avoid map[string]bool) (path.Choice, error) {
	return path.Choose(q.service.Model, g.enginesOf(v, q, avoid), path.Request{
		Prompt: q.caller.Prompt, Answer: q.answerTokens(), DataCentre: g.opts.DataCentre, Spread: spread(q.caller.RequestID),
	})
}

// answerTokens is the expected length of the answer.
func (q *request) answerTokens() int {
	switch {
	case q.caller.LikelyAnswer > 0:
		return min(q.caller.LikelyAnswer, max(q.caller.MaxAnswer, 1))
	case q.service.Model.UsualAnswer > 0:
		return q.service.Model.UsualAnswer
	}
	return q.caller.MaxAnswer
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// runAttempt sends the request along a path and passes its events on. It
// returns nil once the stream is complete.
func (g *Gateway) runAttempt(ctx context.Context, w http.ResponseWriter, s *stream, choice path.Choice, avoid avoided) error {
	q := s.q
	if !path.Covers(q.service.Model, choice.Parts) {
		return fault.New(fault.Internal, "path does not run every layer once").WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	head := choice.Parts[0]
	q.engines = len(choice.Parts)
	s.begin(choice.Parts, cancel, q.attempts+1 >= max(1, q.route.MaxAttempts))
	g.streams.add(s)
	defer g.streams.remove(s)
	defer g.load.begin(head.ID)()
	g.load.reserve(choice.Parts, q.caller.Prompt+q.answerTokens())
	q.attempts++
	q.upstream = head.ID
	g.load.await(head.ID, s)
	defer g.load.awaited(head.ID, s)
	d := q.dispatch(head.ID)
	d.Path = choice.Parts
	d.LastEvent = s.splitter.LastID()
	if d.LastEvent == "" {
		d.LastEvent = q.caller.LastEvent
	}
	call := q.call
	call.Header = g.header(q, d)
	reply, err := g.pool.Do(ctx, head.Address, call)
	if err != nil {
		g.attemptFailed(ctx, q, head.ID, err)
		return causeOf(ctx, err)
	}
	defer reply.Close()
	if reply.Status >= http.StatusMultipleChoices {
		return g.refused(w, s, reply, head, avoid)
	}
	err = g.copyEvents(ctx, w, s, reply, head.ID)
	if err == nil {
		g.load.succeeded(head.ID)
	}
	return causeOf(ctx, err)
}

// causeOf prefers the reason for which an attempt was ended here.
func causeOf(ctx context.Context, err error) error {
	if cause, ok := context.Cause(ctx).(*fault.Error); ok && err != nil {
		return cause
	}
	return err
}

// refused handles an answer that is no stream: a refusal by an engine of the
// path, which the request then avoids, or an answer that belongs to the caller.
func (g *Gateway) refused(w http.ResponseWriter, s *stream, reply *instances.Reply, head path.Part, avoid avoided) error {
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return err
	}
	if reply.Answer.NotRun {
		s.q.attempts--
		at := head.ID
		for _, p := range s.path() {
			if p.Address == reply.Answer.At {
				at = p.ID
			}
		}
		avoid[at] = time.Now().Add(avoidTime)
		g.load.failed(at)
		return notRun(fault.Overloaded, "engine %s refused with status %d", at, reply.Status)
	}
	if s.started {
		return fault.New(fault.Upstream, "engine answered a resumed stream with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
	}
	if reply.Status >= http.StatusInternalServerError && s.q.route.Idempotent() && s.q.attempts < s.q.route.MaxAttempts {
		g.load.failed(head.ID)
		return fault.New(fault.Upstream, "engine answered with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
	}
	g.pass(w, reply, body)
	return nil
}

// copyEvents passes whole events on as they come.
func (g *Gateway) copyEvents(ctx context.Context, w http.ResponseWriter, s *stream, reply *instances.Reply, head string) error {
	out := http.NewResponseController(w)
	if !s.started {
		copyHeader(w.Header(), reply.Header)
		w.Header().Del("Content-Length")
		w.WriteHeader(reply.Status)
		s.started = true
	}
	s.splitter.Reset()
	buffer := make([]byte, streamBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			whole, e := s.splitter.Add(buffer[:n])
			if e != nil {
				return e
			}
			if len(whole) > 0 {
				g.load.awaited(head, s)
				s.noteEvent(time.Now())
				if _, e := w.Write(whole); e != nil {
					return fault.Wrap(e, fault.Cancelled, "caller left")
				}
				if e := out.Flush(); e != nil {
					return fault.Wrap(e, fault.Cancelled, "caller left")
				}
			}
		}
		switch {
		case err == io.EOF && len(s.splitter.Rest()) == 0:
			reply.Ended()
			return nil
		case err == io.EOF:
			return fault.New(fault.Upstream, "stream ended within an event").WithOutcome(fault.MayHaveRun)
		case err != nil:
			return fault.Wrap(err, fault.Upstream, "stream was cut off").WithOutcome(fault.MayHaveRun)
		}
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.Deadline, "stream was ended").WithOutcome(fault.MayHaveRun)
		}
	}
}

func (s *stream) noteEvent(now time.Time) {
	s.q.noteEvent(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.event = now
	s.events++
	if s.events == 1 {
		s.firstEvent = now
	}
}

// remaining estimates the time until the end of the answer from its likely
// length and its pace so far.
func (s *stream) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events < 2 {
		return s.q.left()
	}
	likely := s.q.answerTokens() / max(1, s.q.service.Model.Stride)
	perEvent := s.event.Sub(s.firstEvent) / time.Duration(s.events-1)
	return perEvent * time.Duration(max(0, likely-s.events))
}

func (s *stream) path() []path.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts
}

func (s *stream) begin(parts []path.Part, cancel context.CancelCauseFunc, final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final, s.event, s.broken = final, time.Now(), false
	s.parts, s.cancel, s.moved = parts, cancel, time.Time{}
}

// streams are the streams in progress.
type streams struct {
	mu  sync.Mutex
	all map[*stream]bool
}

func (l *streams) init() { l.all = make(map[*stream]bool) }

func (l *streams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = true
}

func (l *streams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}

func (l *streams) list() []*stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*stream, 0, len(l.all))
	for s := range l.all {
		out = append(out, s)
	}
	return out
}

// holds reports whether an instance still runs its part of a path.
func holds(in *wirepb.Instance, p path.Part) bool {
	return in != nil && in.GetAddress() == p.Address && !in.GetSuspect() && in.GetLayers() != nil
}
