package callers

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// doneEvent marks a complete stream. A stream that failed ends without it.
const doneEvent = "data: [DONE]\n\n"

type chunk struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	ServiceTier string        `json:"service_tier"`
	Choices     []chunkChoice `json:"choices"`
	Usage       *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// eventStream writes a chat completion as server-sent events.
type eventStream struct {
	x             *exchange
	chunk         chunk // reused for each event
	buf           bytes.Buffer
	encoder       *json.Encoder
	streamStarted bool
}

func newEventStream(x *exchange, model, tier string) *eventStream {
	s := &eventStream{x: x, chunk: chunk{
		ID:          completionID(x),
		Object:      "chat.completion.chunk",
		Created:     x.started.Unix(),
		Model:       model,
		ServiceTier: tier,
		Choices:     make([]chunkChoice, 1),
	}}
	s.encoder = json.NewEncoder(&s.buf)
	return s
}

// streamChat responds with one event per token. The headers are sent with the
// first token, so that an earlier failure is reported by its status. At that time
// the outcome is not yet known: the header Plantain-Outcome is "unknown", and the
// trailer of the same name has the final outcome.
func (a *api) streamChat(x *exchange, r *http.Request, q *chatRequest, g *GenerationRequest) {
	s := newEventStream(x, q.Model, serviceTier(g.Rank))
	summary, err := a.opts.Router.Generate(r.Context(), g, func(token uint32) error {
		return s.writeToken(a.opts.Detokenize(token))
	})
	if err != nil {
		s.sendError(err)
		return
	}
	if err := s.finish(summary, q.StreamOptions != nil && q.StreamOptions.IncludeUsage); err != nil {
		s.sendError(err)
	}
}

// writeStart writes the response headers.
func (s *eventStream) writeStart() error {
	s.streamStarted = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.x.writeHeaders(http.StatusOK, fault.MayHaveRun)
	return nil
}

// writeToken sends one token. The first event also contains the role.
func (s *eventStream) writeToken(text string) error {
	s.chunk.Choices[0].Delta = delta{Content: text}
	if !s.streamStarted {
		s.chunk.Choices[0].Delta.Role = "assistant"
		if err := s.writeStart(); err != nil {
			return err
		}
	}
	return s.send(&s.chunk)
}

// finish sends the finish reason, the usage if requested, and doneEvent.
func (s *eventStream) finish(summary GenerationResult, includeUsage bool) error {
	if !s.streamStarted {
		if err := s.writeStart(); err != nil {
			return err
		}
	}
	s.chunk.Choices[0].Delta = delta{}
	s.chunk.Choices[0].FinishReason = &summary.FinishReason
	if err := s.appendEvent(&s.chunk); err != nil {
		return err
	}
	if includeUsage {
		u := newUsage(summary)
		s.chunk.Choices = []chunkChoice{}
		s.chunk.Usage = &u
		if err := s.appendEvent(&s.chunk); err != nil {
			return err
		}
	}
	s.buf.WriteString(doneEvent)
	s.x.outcome = fault.Answered
	s.setOutcomeTrailer()
	return s.flush()
}

// sendError ends the stream with an error event and without doneEvent. If no
// event was sent yet, it responds with the error's status instead.
func (s *eventStream) sendError(err error) {
	if !s.streamStarted {
		s.x.sendError(err)
		return
	}
	e := s.x.recordError(err)
	s.x.outcome = e.Outcome
	s.setOutcomeTrailer()
	s.buf.Reset()
	if s.appendEvent(errorBody(e, s.x.id)) == nil {
		_ = s.flush()
	}
}

func (s *eventStream) setOutcomeTrailer() {
	s.x.w.Header().Set(http.TrailerPrefix+headerOutcome, fault.OutcomeString(s.x.outcome))
}

func (s *eventStream) send(v any) error {
	if err := s.appendEvent(v); err != nil {
		return err
	}
	return s.flush()
}

// appendEvent adds one event to the buffer.
func (s *eventStream) appendEvent(v any) error {
	s.buf.WriteString("data: ")
	if err := s.encoder.Encode(v); err != nil {
		return fault.Wrap(err, fault.Internal, "encode event")
	}
	s.buf.WriteByte('\n') // a blank line ends the event; Encode wrote the first line feed
	return nil
}

func (s *eventStream) flush() error {
	s.x.extendWriteDeadline()
	_, err := s.x.w.Write(s.buf.Bytes())
	s.buf.Reset()
	if err == nil {
		err = s.x.controller.Flush()
	}
	if err != nil {
		return fault.Wrap(err, fault.Cancelled, "caller does not read the stream").WithOutcome(fault.MayHaveRun)
	}
	return nil
}
