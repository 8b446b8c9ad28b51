package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
)

// runAttempt sends the request along a path and passes its events on. It
// returns nil once the stream is complete.
func (g *Gateway) runAttempt(ctx context.Context, w http.ResponseWriter, s *stream, choice path.Choice, avoid avoided) error {
	q := s.q
	if !path.ValidStages(q.service.Model, choice.Stages) {
		return fault.New(fault.Internal, "path does not run every layer once").WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	head := choice.Stages[0]
	q.engines = len(choice.Stages)
	s.begin(choice.Stages, cancel, q.attempts+1 >= max(1, q.route.MaxAttempts))
	g.streams.add(s)
	defer g.streams.remove(s)
	defer g.load.begin(head.ID)()
	g.load.reserve(choice.Stages, q.caller.Prompt+q.answerTokens())
	q.attempts++
	q.upstream = head.ID
	g.load.await(head.ID, s)
	defer g.load.awaited(head.ID, s)
	d := q.dispatch(head.ID)
	d.Path = choice.Stages
	d.LastEventID = s.splitter.LastEventID()
	if d.LastEventID == "" {
		d.LastEventID = q.caller.LastEventID
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
		for _, p := range s.path() {
			g.load.succeeded(p.ID)
		}
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
func (g *Gateway) refused(w http.ResponseWriter, s *stream, reply *instances.Reply, head path.PipelineStage, avoid avoided) error {
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return err
	}
	if reply.Metadata.NotRun {
		s.q.attempts--
		at := head.ID
		for _, p := range s.path() {
			if p.Address == reply.Metadata.RefusingEngine {
				at = p.ID
			}
		}
		avoid[at] = time.Now().Add(avoidTime)
		g.load.refused(at)
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
	s.splitter.DiscardPending()
	buffer := make([]byte, streamBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			whole, e := s.splitter.Feed(buffer[:n])
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
		case err == io.EOF && len(s.splitter.Pending()) == 0:
			reply.MarkComplete()
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
	likely := s.q.answerTokens() / max(1, s.q.service.Model.StepsPerPass)
	perEvent := s.event.Sub(s.firstEvent) / time.Duration(s.events-1)
	return perEvent * time.Duration(max(0, likely-s.events))
}

func (s *stream) path() []path.PipelineStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts
}
