package callers

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

type completion struct {
	ID          string         `json:"id"`
	Object      string         `json:"object"`
	Created     int64          `json:"created"`
	Model       string         `json:"model"`
	ServiceTier string         `json:"service_tier"`
	Choices     []answerChoice `json:"choices"`
	Usage       usage          `json:"usage"`
}

type answerChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(s GenerationResult) usage {
	return usage{
		PromptTokens:     s.PromptTokens,
		CompletionTokens: s.CompletionTokens,
		TotalTokens:      s.PromptTokens + s.CompletionTokens,
		PromptDetails:    promptDetails{CachedTokens: s.CachedTokens},
	}
}

// serveChat answers POST /v1/chat/completions.
func (a *api) serveChat(x *exchange, r *http.Request) {
	body, err := a.readBody(x, r)
	if err != nil {
		x.fail(err)
		return
	}
	q, err := parseChat(body)
	if err != nil {
		x.fail(err)
		return
	}
	g, err := a.generation(x, r, q)
	if err != nil {
		x.fail(err)
		return
	}
	if q.Stream {
		a.streamChat(x, r, q, g)
		return
	}
	a.wholeChat(x, r, q, g)
}

// generation checks a chat request against the catalogue.
func (a *api) generation(x *exchange, r *http.Request, q *chatRequest) (*GenerationRequest, error) {
	x.rank = effectiveRank(x.caller.Rank, q.ServiceTier)
	name, err := parseModelName(q.Model)
	if err != nil {
		return nil, err
	}
	entry, ok := a.opts.Router.Model(name.Name)
	if !ok {
		return nil, fault.New(fault.NotFound, "model %q does not exist", name.Name).WithField("model").WithOutcome(fault.NotRun)
	}
	if name.Adapter != "" && !slices.Contains(entry.GetModel().GetAdapters(), name.Adapter) {
		return nil, fault.New(fault.NotFound, "model %q has no adapter %q", name.Name, name.Adapter).
			WithField("model").WithOutcome(fault.NotRun)
	}
	maxTokens, err := q.maxTokens(entry.GetModel().GetMaxTokens())
	if err != nil {
		return nil, err
	}
	deadline, err := a.deadline(x, r)
	if err != nil {
		return nil, err
	}
	return &GenerationRequest{
		RequestID:    x.id,
		Caller:       x.caller,
		Rank:         x.rank,
		Model:        name.Name,
		Version:      name.Version,
		Adapter:      name.Adapter,
		Prompt:       a.opts.Tokenize(q.promptText()),
		MaxTokens:    maxTokens,
		Seed:         seedOf(q),
		Deadline:     deadline,
		NonStreaming: !q.Stream,
	}, nil
}

// seedOf returns the seed of the request. One is chosen if the request has
// none, because a repaired stream must go on with the same seed.
func seedOf(q *chatRequest) uint64 {
	if q.Seed != nil {
		return uint64(*q.Seed)
	}
	return rand.Uint64()
}

// wholeChat answers once the last token is there.
func (a *api) wholeChat(x *exchange, r *http.Request, q *chatRequest, g *GenerationRequest) {
	var text strings.Builder
	summary, err := a.opts.Router.Generate(r.Context(), g, func(token uint32) error {
		text.WriteString(a.opts.Detokenize(token))
		return nil
	})
	if err != nil {
		x.fail(err)
		return
	}
	x.answerJSON(http.StatusOK, completion{
		ID:          completionID(x),
		Object:      "chat.completion",
		Created:     x.started.Unix(),
		Model:       q.Model,
		ServiceTier: tierOfRank(g.Rank),
		Choices: []answerChoice{{
			Message:      answerMessage{Role: "assistant", Content: text.String()},
			FinishReason: summary.FinishReason,
		}},
		Usage: usageOf(summary),
	})
}

func completionID(x *exchange) string { return "chatcmpl-" + x.id }
