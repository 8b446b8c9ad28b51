// Package callers implements the HTTP API for callers: chat completions in the
// format of the OpenAI API, the list of models, and calls to services.
package callers

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Caller is an authenticated caller: its organisation and its highest rank.
type Caller struct {
	Organisation *wirepb.Entry
	// Rank is the highest rank that the organisation's class allows.
	Rank wirepb.Rank
}

// Name returns the name of the organisation.
func (c Caller) Name() string { return c.Organisation.GetName() }

// GenerationRequest is a validated chat request.
type GenerationRequest struct {
	RequestID string
	Caller    Caller
	Rank      wirepb.Rank
	Model     string
	Version   string // empty selects the version of the catalogue entry
	Adapter   string
	Prompt    []uint32
	MaxTokens int
	Seed      uint64
	// Deadline applies to the first token, or to the whole response if
	// NonStreaming is set.
	Deadline     time.Time
	NonStreaming bool
}

// GenerationResult holds the finish reason and token counts of a complete
// generation.
type GenerationResult struct {
	FinishReason     string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// ServiceCall is a validated call to a service.
type ServiceCall struct {
	Caller   Caller
	Deadline time.Time
	Request  *wirepb.CallRequest
}

// Router executes the requests of callers. Its errors contain the outcome of the
// request.
type Router interface {
	// Authenticate returns the organisation whose API key has the given
	// hexadecimal SHA-256 digest.
	Authenticate(digest string) (*wirepb.Entry, error)
	Model(name string) (*wirepb.Entry, bool)
	Models() []*wirepb.Entry
	Service(name string) (*wirepb.Entry, bool)
	// Generate calls emit with each token, in order and exactly once. An error
	// from emit ends the generation.
	Generate(ctx context.Context, g *GenerationRequest, emit func(token uint32) error) (GenerationResult, error)
	Call(ctx context.Context, call *ServiceCall) (*wirepb.CallResponse, error)
	// KeyOutcome returns the known outcome of the call with an idempotency key.
	// It returns NotRun only if the call is proven not to have run.
	KeyOutcome(ctx context.Context, organisation, service, key string) fault.Outcome
}
