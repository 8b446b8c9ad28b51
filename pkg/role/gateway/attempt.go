package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/stopping"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
)

// maxErrorReplyBytes bounds an error reply of an engine. Hundreds of streams may get one from
// the same engine.
const maxErrorReplyBytes = 64 << 10

// attemptStream sends the request along a path and relays its events. It returns nil
// once the response to the caller is complete.
func (g *Gateway) attemptStream(ctx context.Context, w http.ResponseWriter, s *stream, choice path.Choice, avoid avoidUntil) error {
	q := s.q
	if !path.ValidStages(q.service.Model, choice.Stages) {
		return fault.New(fault.Internal, "path does not cover every layer exactly once").WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstStage := choice.Stages[0]
	s.permittedEngine = "" // this attempt uses the permit
	q.engineCount = len(choice.Stages)
	s.begin(choice.Stages, cancel, q.attempts+1 >= max(1, q.route.MaxAttempts))
	g.streams.add(s)
	defer g.streams.remove(s)
	defer g.load.begin(firstStage.ID)()
	g.load.reserve(choice.Stages, q.metadata.PromptTokens+q.expectedOutputTokens())
	q.attempts++
	q.upstream = firstStage.ID
	if in := g.view.Load().byID[firstStage.ID]; in != nil && in.GetDataCentre() != g.opts.DataCentre {
		g.metrics.streamsLeaving.Inc()
	}
	g.load.addWaiting(firstStage.ID, s)
	defer g.load.removeWaiting(firstStage.ID, s)
	d := q.dispatch(firstStage.ID)
	d.Path = choice.Stages
	d.LastEventID = s.splitter.LastEventID()
	if d.LastEventID == "" {
		d.LastEventID = q.metadata.LastEventID
	}
	call := q.call
	call.Header = g.header(q, d)
	reply, err := g.pool.Do(ctx, firstStage.Address, call)
	if err != nil {
		g.recordAttemptError(ctx, q, firstStage.ID, err)
		g.recordBrokenReply(ctx, s, firstStage, err)
		g.recordLostConnection(ctx, firstStage, err)
		return causeOf(ctx, err)
	}
	defer reply.Close()
	g.recordRequestLimit(firstStage.ID, reply)
	g.recordPathReply(s.currentStages(), reply.Metadata)
	if reply.Status >= http.StatusMultipleChoices {
		return g.handleErrorReply(w, s, reply, firstStage, avoid)
	}
	q.releaseUnneededBody()
	err = g.copyEvents(ctx, w, s, reply, firstStage.ID)
	g.recordBrokenReply(ctx, s, firstStage, err)
	g.recordLostConnection(ctx, firstStage, err)
	if err == nil {
		g.recordAnswered(s, true)
		s.recordPace(&g.pace)
		for _, p := range s.currentStages() {
			g.load.onSuccess(p.ID)
		}
	}
	return causeOf(ctx, err)
}

// causeOf returns the error with which the gateway cancelled the attempt, if any, and
// otherwise err.
func causeOf(ctx context.Context, err error) error {
	if cause, ok := context.Cause(ctx).(*fault.Error); ok && err != nil {
		return cause
	}
	return err
}

// handleErrorReply handles a reply with a status of 300 or above. If an engine of the
// path refused the request, the request avoids that engine for a while. Any other
// reply is sent to the caller, unless its status makes a promise without proof, the stream
// has started or the request may be retried.
func (g *Gateway) handleErrorReply(w http.ResponseWriter, s *stream, reply *instances.Reply, firstStage path.PipelineStage, avoid avoidUntil) error {
	body, err := reply.ReadAll(maxErrorReplyBytes)
	if err != nil {
		g.load.onFailure(firstStage.ID)
		return err
	}
	if reply.Metadata.NotRun {
		g.recordRefusalBy(s.currentStages(), reply.Metadata.RefusingEngine, reply.Metadata.RetryAfter)
		s.q.attempts--
		refusing := firstStage.ID
		for _, p := range s.currentStages() {
			if p.Address == reply.Metadata.RefusingEngine {
				refusing = p.ID
			}
		}
		avoid[refusing] = time.Now().Add(refusalAvoidTime)
		g.load.onRefusal(refusing)
		return notRunError(fault.Overloaded, "engine %s refused with status %d", refusing, reply.Status)
	}
	if promisesNotRun(reply.Status) {
		g.load.onFailure(firstStage.ID)
		return errUnprovedRefusal(firstStage.ID, reply)
	}
	if s.started {
		return fault.New(fault.Upstream, "engine responded to a resumed stream with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
	}
	if reply.Status >= http.StatusInternalServerError && s.q.route.MayRepeat() && s.q.attempts < s.q.route.MaxAttempts {
		g.load.onFailure(firstStage.ID)
		return fault.New(fault.Upstream, "engine responded with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
	}
	writeReplyHeader(w, reply)
	_, _ = w.Write(body)
	return nil
}

// copyEvents relays complete events to the caller as they arrive.
func (g *Gateway) copyEvents(ctx context.Context, w http.ResponseWriter, s *stream, reply *instances.Reply, firstEngineID string) error {
	controller := http.NewResponseController(w)
	s.recordReplyBegan()
	if !s.started {
		copyHeader(w.Header(), reply.Header)
		w.Header().Del("Content-Length")
		w.WriteHeader(reply.Status)
		s.started = true
	}
	s.splitter.Resume()
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			complete, invalid := s.splitter.Feed(buffer[:n])
			if len(complete) > 0 {
				g.load.removeWaiting(firstEngineID, s)
				s.recordEvent(time.Now())
				g.recordAnswered(s, false)
				if _, e := w.Write(complete); e != nil {
					return fault.Wrap(e, fault.Cancelled, "caller disconnected")
				}
				if e := controller.Flush(); e != nil {
					return fault.Wrap(e, fault.Cancelled, "caller disconnected")
				}
			}
			if invalid != nil {
				g.load.onFailure(firstEngineID)
				return fault.As(invalid).WithOutcome(fault.MayHaveRun)
			}
		}
		switch {
		case err == io.EOF && !reply.Framed && !s.hasEvents():
			return fault.New(fault.Upstream, "connection ended before the first event").WithOutcome(fault.MayHaveRun)
		case err == io.EOF && len(s.splitter.Pending()) == 0:
			reply.MarkComplete()
			return nil
		case err == io.EOF:
			return fault.New(fault.Upstream, "stream ended in the middle of an event").WithOutcome(fault.MayHaveRun)
		case err != nil:
			return fault.Wrap(err, fault.Upstream, "stream was interrupted").WithOutcome(fault.MayHaveRun)
		}
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.Deadline, "stream attempt was ended").WithOutcome(fault.MayHaveRun)
		}
	}
}

// hasEvents reports whether the caller has any events of the stream, also from an earlier
// request that it resumes.
func (s *stream) hasEvents() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventWrites > 0 || s.splitter.LastEventID() != "" || s.q.metadata.LastEventID != ""
}

func (s *stream) recordReplyBegan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyBegan = true
}

func (s *stream) recordEvent(now time.Time) {
	s.q.recordEvent(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEventAt = now
	s.eventWrites++
	s.attemptWrites++
	if s.eventWrites == 1 {
		s.firstEventAt = now
	}
}

// recordPace records the pace of a complete stream.
func (s *stream) recordPace(p *stopping.Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Record(s.firstEventAt.Sub(s.q.arrived), s.lastEventAt.Sub(s.firstEventAt), s.eventWrites)
}

// remaining estimates the time until the last event from the expected length and the
// mean time per write so far, taking each write as one event. Before the second write
// it returns the time to the deadline.
func (s *stream) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eventWrites < 2 {
		return s.q.timeLeft()
	}
	expected := s.q.expectedOutputTokens() / max(1, s.q.service.Model.StepsPerPass)
	perEvent := s.lastEventAt.Sub(s.firstEventAt) / time.Duration(s.eventWrites-1)
	return perEvent * time.Duration(max(0, expected-s.eventWrites))
}

func (s *stream) currentStages() []path.PipelineStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stages
}
