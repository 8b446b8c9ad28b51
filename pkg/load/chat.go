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

// chatEvent is one event of a stream: a chunk or an error.
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

// content returns the text of the prompt, one word for each token.
func (a *Arrival) content() string {
	var text strings.Builder
	for _, token := range a.Prompt {
		text.WriteString(strconv.FormatUint(token, 36))
		text.WriteByte(' ')
	}
	return text.String()
}

// reference returns the complete answer and its prompt's tokens.
func (a *Arrival) reference() string {
	prompt := upstreams.Tokenize(promptRole + " " + a.content())
	var text strings.Builder
	for _, token := range standin.Reference(prompt, a.Mix.Layers, a.Seed, a.MaxTokens) {
		text.WriteString(upstreams.Detokenize(token))
	}
	return text.String()
}

// chats performs a chat request. A truncated answer is asked for again through
// the next entry; a token that was received before is not counted again.
func (c *client) chats(ctx context.Context, a *Arrival, number int, r *Result) {
	for {
		c.chat(ctx, a, c.entry(number+r.Resends), r)
		if r.Outcome != Truncated || r.Resends >= a.Mix.Resends || ctx.Err() != nil {
			return
		}
		r.Resends++
	}
}

// chat performs a chat request once. go-openai is not used, because it reports the
// end of a connection and the end mark of a complete stream alike.
func (c *client) chat(ctx context.Context, a *Arrival, entry string, r *Result) {
	body, err := json.Marshal(chatBody{
		Model:     a.Mix.Model,
		Messages:  []chatMessage{{Role: promptRole, Content: a.content()}},
		Stream:    true,
		MaxTokens: a.MaxTokens,
		Seed:      a.Seed,
	})
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	req, err := c.request(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(body), a)
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.failConnection(err)
		r.keepTruncated()
		return
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		r.failResponse(resp)
		r.keepTruncated()
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

// keepTruncated keeps the outcome of a caller that holds a part of the answer
// and whose resend failed.
func (r *Result) keepTruncated() {
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
			continue // blank line between events
		}
		if data == doneMark {
			s.complete()
			return
		}
		if !s.event(data) {
			return
		}
	}
	s.broken(lines.Err())
}

// event takes one event; it reports false when the stream has ended.
func (s *chatStream) event(data string) bool {
	var e chatEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.broken(err)
		s.result.Code = codeProtocol
		return false
	}
	if e.Error != nil {
		s.result.failNamed(e.Error.Outcome, e.Error.Code)
		s.result.keepTruncated()
		s.checkPart()
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

// complete checks an answer that the entry presents as complete.
func (s *chatStream) complete() {
	s.result.Outcome, s.result.Code = Answered, ""
	if s.finish == "" || s.tokens != s.arrival.MaxTokens {
		s.result.Outcome, s.result.Code = Wrong, codeIncomplete
		return
	}
	if s.client.checks(s.arrival) && s.text.String() != s.arrival.reference() {
		s.result.Outcome, s.result.Code = Wrong, codeReference
	}
}

// broken ends a stream whose connection ended without the end mark.
func (s *chatStream) broken(err error) {
	if err != nil {
		s.result.failConnection(err)
	} else {
		s.result.Code = codeConnection
	}
	s.result.Outcome = Unknown
	s.result.keepTruncated()
	s.checkPart()
}

// checkPart checks the tokens of an incomplete answer.
func (s *chatStream) checkPart() {
	if !s.client.checks(s.arrival) || s.tokens == 0 {
		return
	}
	if !strings.HasPrefix(s.arrival.reference(), s.text.String()) {
		s.result.Outcome, s.result.Code = Wrong, codeReference
	}
}

// failResponse takes the outcome from an error response.
func (r *Result) failResponse(resp *http.Response) {
	var body callers.ErrorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Outcome == "" {
		r.failNamed(resp.Header.Get(outcomeHeader), codeProtocol)
		return
	}
	r.failNamed(body.Error.Outcome, body.Error.Code)
}
