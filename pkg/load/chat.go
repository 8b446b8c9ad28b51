package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const (
	maxEventBytes = 64 << 10
	maxErrorBytes = 64 << 10
	eventPrefix   = "data: "
	doneMark      = "[DONE]"
	outcomeHeader = "Plantain-Outcome"
)

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Seed      uint64        `json:"seed"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatEvent is one server-sent event of a stream, either a chunk or an error.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *callers.ErrorDetail `json:"error"`
}

const promptRole = "user"

// promptText returns the prompt as text with one word per token.
func (a *Arrival) promptText() string {
	var text strings.Builder
	for _, token := range a.Prompt {
		text.WriteString(strconv.FormatUint(token, 36))
		text.WriteByte(' ')
	}
	return text.String()
}

// referenceText returns the text of the complete answer that the stand-ins
// generate for the arrival.
func (a *Arrival) referenceText() string {
	prompt := upstreams.Tokenize(promptRole + " " + a.promptText())
	var text strings.Builder
	for _, token := range standin.ReferenceTokens(prompt, a.Mix.Layers, a.Seed, a.MaxTokens) {
		text.WriteString(upstreams.Detokenize(token))
	}
	return text.String()
}

// sendChatWithResends performs a chat request. After a truncated answer it sends
// the request again through the next entry. Tokens that were already received
// are not counted again.
func (c *client) sendChatWithResends(ctx context.Context, a *Arrival, number int, r *Result) {
	for {
		c.sendChat(ctx, a, c.entry(number+r.Resends), r)
		if r.Outcome != Truncated || r.Resends >= a.Mix.Resends || ctx.Err() != nil {
			return
		}
		r.Resends++
	}
}

// sendChat sends a chat request once. It does not use go-openai, which reports a
// closed connection in the same way as the [DONE] marker of a complete stream.
func (c *client) sendChat(ctx context.Context, a *Arrival, entry string, r *Result) {
	body, err := json.Marshal(chatBody{
		Model:     a.Mix.Model,
		Messages:  []chatMessage{{Role: promptRole, Content: a.promptText()}},
		Stream:    true,
		MaxTokens: a.MaxTokens,
		Seed:      a.Seed,
	})
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	req, err := c.newRequest(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(body), a)
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.setConnectionFailure(err)
		r.truncateIfPartial()
		return
	}
	defer drainBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		r.setResponseFailure(resp)
		r.truncateIfPartial()
		return
	}
	s := &chatStream{client: c, arrival: a, result: r}
	s.read(resp.Body)
}

// chatStream reads one streamed answer.
type chatStream struct {
	client  *client
	arrival *Arrival
	result  *Result
	text    strings.Builder
	tokens  int
	finish  string
}

// truncateIfPartial sets the outcome Truncated if any tokens were received, also
// when they were received before a resend that failed.
func (r *Result) truncateIfPartial() {
	if len(r.TokenTimes) > 0 {
		r.Outcome = Truncated
	}
}

func (s *chatStream) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), eventPrefix)
		if !ok {
			continue // blank line between two events
		}
		if data == doneMark {
			s.complete()
			return
		}
		if !s.handleEvent(data) {
			return
		}
	}
	s.handleDisconnect(lines.Err())
}

// handleEvent processes one event and returns false when the stream has ended.
func (s *chatStream) handleEvent(data string) bool {
	var e chatEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.handleDisconnect(err)
		s.result.Code = codeProtocol
		return false
	}
	if e.Error != nil {
		s.result.setReportedFailure(e.Error.Outcome, e.Error.Code)
		s.result.truncateIfPartial()
		s.checkPartial()
		return false
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content != "" {
			if s.tokens++; s.tokens > len(s.result.TokenTimes) {
				s.result.TokenTimes = append(s.result.TokenTimes, s.client.elapsed())
			}
			s.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			s.finish = *choice.FinishReason
		}
	}
	return true
}

// complete verifies an answer that the entry ended with the [DONE] marker.
func (s *chatStream) complete() {
	s.result.Outcome, s.result.Code = Answered, ""
	if s.finish == "" || s.tokens != s.arrival.MaxTokens {
		s.result.Outcome, s.result.Code = Wrong, codeIncomplete
		return
	}
	if s.client.shouldCheck(s.arrival) && s.text.String() != s.arrival.referenceText() {
		s.result.Outcome, s.result.Code = Wrong, codeReferenceMismatch
	}
}

// handleDisconnect sets the outcome of a stream that ended without the [DONE]
// marker.
func (s *chatStream) handleDisconnect(err error) {
	if err != nil {
		s.result.setConnectionFailure(err)
	} else {
		s.result.Code = codeConnection
	}
	s.result.Outcome = Unknown
	s.result.truncateIfPartial()
	s.checkPartial()
}

// checkPartial verifies that the received part of an incomplete answer is a
// prefix of the reference.
func (s *chatStream) checkPartial() {
	if !s.client.shouldCheck(s.arrival) || s.tokens == 0 {
		return
	}
	if !strings.HasPrefix(s.arrival.referenceText(), s.text.String()) {
		s.result.Outcome, s.result.Code = Wrong, codeReferenceMismatch
	}
}

// setResponseFailure sets the outcome and code of an error response.
func (r *Result) setResponseFailure(resp *http.Response) {
	var body callers.ErrorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Outcome == "" {
		r.setReportedFailure(resp.Header.Get(outcomeHeader), codeProtocol)
		return
	}
	r.setReportedFailure(body.Error.Outcome, body.Error.Code)
}
