// Package callers is the HTTP API towards callers: chat completions in
// OpenAI's shape, the list of models, and calls to services.
package callers

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Caller is an authenticated caller.
type Caller struct {
	Organisation *wirepb.Entry
	// Rank is the highest rank that the organisation's class allows.
	Rank wirepb.Rank
}

// Name returns the name of the organisation.
func (c Caller) Name() string { return c.Organisation.GetName() }

// GenerationRequest is a checked chat request.
type GenerationRequest struct {
	RequestID string
	Caller    Caller
	Rank      wirepb.Rank
	Model     string
	Version   string // empty means the version of the catalogue entry
	Adapter   string
	Prompt    []uint32
	MaxTokens int
	Seed      uint64
	// Deadline bounds the first token, and the whole answer when Whole is set.
	Deadline     time.Time
	NonStreaming bool
}

// GenerationResult describes a complete generation.
type GenerationResult struct {
	FinishReason     string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// ServiceCall is a checked call to a service.
type ServiceCall struct {
	Caller   Caller
	Deadline time.Time
	Request  *wirepb.CallRequest
}

// Router performs the requests of callers. The errors that it returns carry
// the outcome of the request.
type Router interface {
	// Authenticate finds the organisation of an API key by the hexadecimal
	// SHA-256 of the key.
	Authenticate(digest string) (*wirepb.Entry, error)
	Model(name string) (*wirepb.Entry, bool)
	Models() []*wirepb.Entry
	Service(name string) (*wirepb.Entry, bool)
	// Generate passes each token to emit, in order and exactly once. An error
	// of emit ends the generation.
	Generate(ctx context.Context, g *GenerationRequest, emit func(token uint32) error) (GenerationResult, error)
	Call(ctx context.Context, call *ServiceCall) (*wirepb.CallResponse, error)
	// KeyOutcome tells what is known about the call with an idempotency key
	// that the caller's request names. It is NotRun only if that is proved.
	KeyOutcome(ctx context.Context, organisation, service, key string) fault.Outcome
}
