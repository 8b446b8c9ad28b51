package callers

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxSequenceTokens is the limit on max_tokens if the model entry sets none.
const maxSequenceTokens = 1 << 20

// chatRequest holds the supported or checked fields of a chat completion request.
// Other fields are ignored.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Seed                *int64          `json:"seed"`
	ServiceTier         string          `json:"service_tier"`
	N                   *int64          `json:"n"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            bool            `json:"logprobs"`
	ResponseFormat      *responseFormat `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type responseFormat struct {
	Type string `json:"type"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. Its JSON form is a string or a list of
// text parts, which are joined.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return invalidField("messages.content", "content must be a string or a list of text parts")
	}
	var text strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return invalidField("messages.content", "content part %d has type %q, only text is supported", i, p.Type)
		}
		text.WriteString(p.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// parseChat decodes and validates a chat request. Its errors name the invalid
// field.
func parseChat(body []byte) (*chatRequest, error) {
	q := &chatRequest{}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(q); err != nil {
		return nil, jsonError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, invalidField("body", "request body has data after the JSON object")
	}
	if err := q.check(); err != nil {
		return nil, err
	}
	return q, nil
}

func jsonError(err error) error {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		field := mistyped.Field
		if field == "" {
			field = "body"
		}
		return invalidField(field, "%s cannot be a JSON %s", field, mistyped.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return invalidField("body", "request body is not valid JSON at offset %d", syntax.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return invalidField("body", "request body is not complete JSON")
	}
	return err
}

func (q *chatRequest) check() error {
	checks := []func() error{q.checkModel, q.checkMessages, q.checkSampling, q.checkUnsupported, q.checkTier}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (q *chatRequest) checkModel() error {
	if q.Model == "" {
		return invalidField("model", "model is required")
	}
	return nil
}

func (q *chatRequest) checkMessages() error {
	if len(q.Messages) == 0 {
		return invalidField("messages", "messages must not be empty")
	}
	for i, m := range q.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return invalidField("messages.role", "message %d has role %q, which is not supported", i, m.Role)
		}
	}
	return nil
}

// checkSampling validates the sampling parameters, which are not passed on: the
// output of an engine depends only on the prompt and the seed.
func (q *chatRequest) checkSampling() error {
	if q.N != nil && *q.N != 1 {
		return invalidField("n", "only one choice is supported")
	}
	if q.Temperature != nil && (*q.Temperature < 0 || *q.Temperature > 2) {
		return invalidField("temperature", "temperature must be from 0 to 2")
	}
	if q.TopP != nil && (*q.TopP < 0 || *q.TopP > 1) {
		return invalidField("top_p", "top_p must be from 0 to 1")
	}
	return nil
}

// checkUnsupported rejects fields that cannot be ignored without changing the
// meaning of the response.
func (q *chatRequest) checkUnsupported() error {
	fields := []struct {
		name string
		raw  json.RawMessage
	}{{"stop", q.Stop}, {"tools", q.Tools}, {"functions", q.Functions}}
	for _, f := range fields {
		if !emptyJSON(f.raw) {
			return invalidField(f.name, "%s is not supported", f.name)
		}
	}
	if q.Logprobs {
		return invalidField("logprobs", "logprobs is not supported")
	}
	if q.ResponseFormat != nil && q.ResponseFormat.Type != "" && q.ResponseFormat.Type != "text" {
		return invalidField("response_format", "only the format text is supported")
	}
	if q.StreamOptions != nil && !q.Stream {
		return invalidField("stream_options", "stream_options needs stream")
	}
	return nil
}

func emptyJSON(raw json.RawMessage) bool {
	switch string(bytes.TrimSpace(raw)) {
	case "", "null", "[]", `""`:
		return true
	}
	return false
}

// maxTokens returns the limit on generated tokens. If the request sets none, it is
// DefaultMaxTokens or the limit of the model, whichever is lower.
func (q *chatRequest) maxTokens(modelMax uint32) (int, error) {
	bound := int64(maxSequenceTokens)
	if modelMax > 0 {
		bound = int64(modelMax)
	}
	name, value := "max_completion_tokens", q.MaxCompletionTokens
	if value == nil {
		name, value = "max_tokens", q.MaxTokens
	} else if q.MaxTokens != nil && *q.MaxTokens != *value {
		return 0, invalidField("max_tokens", "max_tokens and max_completion_tokens differ")
	}
	if value == nil {
		return int(min(DefaultMaxTokens, bound)), nil
	}
	if *value < 1 || *value > bound {
		return 0, invalidField(name, "%s must be from 1 to %d", name, bound)
	}
	return int(*value), nil
}

// promptText returns the role and text of each message, one message per line.
func (q *chatRequest) promptText() string {
	var text strings.Builder
	for _, m := range q.Messages {
		text.WriteString(m.Role)
		text.WriteByte(' ')
		text.WriteString(string(m.Content))
		text.WriteByte('\n')
	}
	return text.String()
}
