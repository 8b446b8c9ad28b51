package callers

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

type completion struct {
	ID          string             `json:"id"`
	Object      string             `json:"object"`
	Created     int64              `json:"created"`
	Model       string             `json:"model"`
	ServiceTier string             `json:"service_tier"`
	Choices     []completionChoice `json:"choices"`
	Usage       usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
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

func newUsage(s GenerationResult) usage {
	return usage{
		PromptTokens:     s.PromptTokens,
		CompletionTokens: s.CompletionTokens,
		TotalTokens:      s.PromptTokens + s.CompletionTokens,
		PromptDetails:    promptDetails{CachedTokens: s.CachedTokens},
	}
}

// serveChat handles POST /v1/chat/completions.
func (a *api) serveChat(x *exchange, r *http.Request) {
	body, err := a.readBody(x, r)
	if err != nil {
		x.sendError(err)
		return
	}
	q, err := parseChat(body)
	x.releaseBody()
	if err != nil {
		x.sendError(err)
		return
	}
	g, err := a.newGenerationRequest(x, r, q)
	if err != nil {
		x.sendError(err)
		return
	}
	if q.Stream {
		a.streamChat(x, r, q, g)
		return
	}
	a.completeChat(x, r, q, g)
}

// newGenerationRequest validates a chat request against the catalogue and
// converts it. It sets the rank of the exchange.
func (a *api) newGenerationRequest(x *exchange, r *http.Request, q *chatRequest) (*GenerationRequest, error) {
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
		Seed:         seedOrRandom(q),
		Deadline:     deadline,
		NonStreaming: !q.Stream,
	}, nil
}

// seedOrRandom returns the seed of the request, or a random one. The seed is
// fixed here because a repaired stream must continue with the same seed.
func seedOrRandom(q *chatRequest) uint64 {
	if q.Seed != nil {
		return uint64(*q.Seed)
	}
	return rand.Uint64()
}

// completeChat runs a non-streaming generation and responds with the whole
// completion.
func (a *api) completeChat(x *exchange, r *http.Request, q *chatRequest, g *GenerationRequest) {
	var text strings.Builder
	summary, err := a.opts.Router.Generate(r.Context(), g, func(token uint32) error {
		text.WriteString(a.opts.Detokenize(token))
		return nil
	})
	if err != nil {
		x.sendError(err)
		return
	}
	x.writeJSON(http.StatusOK, completion{
		ID:          completionID(x),
		Object:      "chat.completion",
		Created:     x.started.Unix(),
		Model:       q.Model,
		ServiceTier: serviceTier(g.Rank),
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text.String()},
			FinishReason: summary.FinishReason,
		}},
		Usage: newUsage(summary),
	})
}

func completionID(x *exchange) string { return "chatcmpl-" + x.id }
