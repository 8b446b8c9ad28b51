package callers

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// doneEvent ends a stream that is complete, and only such a stream.
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

// eventStream writes server-sent events.
type eventStream struct {
	x      *exchange
	chunk  chunk // reused for each event
	buf    bytes.Buffer
	encode *json.Encoder
	begun  bool
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
	s.encode = json.NewEncoder(&s.buf)
	return s
}

// streamChat answers with one event for each token. The headers are sent with
// the first token, so that an earlier failure has its own status. The header
// Plantain-Outcome says unknown then, and the trailer tells the outcome.
func (a *api) streamChat(x *exchange, r *http.Request, q *chatRequest, g *GenerationRequest) {
	s := newEventStream(x, q.Model, tierOfRank(g.Rank))
	summary, err := a.opts.Router.Generate(r.Context(), g, func(token uint32) error {
		return s.token(a.opts.Detokenize(token))
	})
	if err != nil {
		s.fail(err)
		return
	}
	if err := s.finish(summary, q.StreamOptions != nil && q.StreamOptions.IncludeUsage); err != nil {
		s.fail(err)
	}
}

// begin sends the headers and the role.
func (s *eventStream) begin() error {
	s.begun = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.x.sendHeaders(http.StatusOK, fault.MayHaveRun)
	return nil
}

// token sends one token. The first one also carries the role.
func (s *eventStream) token(text string) error {
	s.chunk.Choices[0].Delta = delta{Content: text}
	if !s.begun {
		s.chunk.Choices[0].Delta.Role = "assistant"
		if err := s.begin(); err != nil {
			return err
		}
	}
	return s.send(&s.chunk)
}

// finish sends the finish reason, the usage if asked for, and the end mark.
func (s *eventStream) finish(summary GenerationResult, includeUsage bool) error {
	if !s.begun {
		if err := s.begin(); err != nil {
			return err
		}
	}
	s.chunk.Choices[0].Delta = delta{}
	s.chunk.Choices[0].FinishReason = &summary.FinishReason
	if err := s.event(&s.chunk); err != nil {
		return err
	}
	if includeUsage {
		u := usageOf(summary)
		s.chunk.Choices = []chunkChoice{}
		s.chunk.Usage = &u
		if err := s.event(&s.chunk); err != nil {
			return err
		}
	}
	s.buf.WriteString(doneEvent)
	s.x.outcome = fault.Answered
	s.trailer()
	return s.flush()
}

// fail ends the stream with an error event and without the end mark.
func (s *eventStream) fail(err error) {
	if !s.begun {
		s.x.fail(err)
		return
	}
	e := s.x.failed(err)
	s.x.outcome = e.Outcome
	s.trailer()
	s.buf.Reset()
	if s.event(errorBody(e, s.x.id)) == nil {
		_ = s.flush()
	}
}

func (s *eventStream) trailer() {
	s.x.w.Header().Set(http.TrailerPrefix+headerOutcome, fault.OutcomeString(s.x.outcome))
}

func (s *eventStream) send(v any) error {
	if err := s.event(v); err != nil {
		return err
	}
	return s.flush()
}

// event appends one event to the buffer.
func (s *eventStream) event(v any) error {
	s.buf.WriteString("data: ")
	if err := s.encode.Encode(v); err != nil {
		return fault.Wrap(err, fault.Internal, "encode event")
	}
	s.buf.WriteByte('\n') // Encode has written the first line break
	return nil
}

func (s *eventStream) flush() error {
	s.x.extendWrite()
	_, err := s.x.w.Write(s.buf.Bytes())
	s.buf.Reset()
	if err == nil {
		err = s.x.control.Flush()
	}
	if err != nil {
		return fault.Wrap(err, fault.Cancelled, "caller does not read the stream").WithOutcome(fault.MayHaveRun)
	}
	return nil
}
