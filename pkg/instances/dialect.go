// Package instances implements the HTTP client for upstreams that announce themselves
// and to which requests are sent directly, without an agent in between.
package instances

import (
	"net/http"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/hopbyhop"
)

// Dialect translates between the types of this package and the HTTP headers and bodies
// of a deployment.
type Dialect interface {
	// ReadRequestMetadata returns what the router needs from a caller's header.
	ReadRequestMetadata(h http.Header) (RequestMetadata, error)
	// WriteDispatch turns a caller's header into the header for an upstream.
	WriteDispatch(h http.Header, d Dispatch)
	// ReadReplyMetadata returns what the status and the header of a reply state about
	// it.
	ReadReplyMetadata(status int, h http.Header) ReplyMetadata
	// ReportCall returns the call that asks an engine for its state. DecodeReport
	// decodes the reply.
	ReportCall() Call
	DecodeReport(body []byte) (EngineState, error)
	PlaceCall(p Placement) (Call, error)
	RepathCall(r Repath) (Call, error)
	// RefusedBy returns the address of the engine that caused the refusal of an order,
	// or an empty string if the refusal names none.
	RefusedBy(body []byte) string
	// RouteHost returns the host name that selects the route.
	RouteHost(host string) string
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// StripHopByHop removes the hop-by-hop headers, and those that a Connection header
// names except the ones in keep.
func StripHopByHop(h http.Header, keep ...string) {
	for _, name := range hopbyhop.Names(h) {
		if !slices.Contains(keep, name) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// RequestMetadata is what a caller states about its request.
type RequestMetadata struct {
	RequestID       string
	MaxWait         time.Duration // time that the caller waits; zero if not stated
	APIKey          string        // empty if there is none
	PromptTokens    int
	MaxOutputTokens int // limit of the generated text
	// ExpectedOutputTokens is the caller's estimate of the length of the generated text,
	// zero if not stated.
	ExpectedOutputTokens int
	LastEventID          string // event after which a stream is resumed
	// SharedPromptParts identifies the parts of the prompt that other requests may have
	// as well, in order. The part that is the request's own is not among them.
	SharedPromptParts []string
}

// Dispatch is what the router tells an upstream about a request.
type Dispatch struct {
	InstanceID   string // the only process that may run the request
	Organisation string // empty on public routes
	Remaining    time.Duration
	Path         []path.PipelineStage // engines that the request passes through
	Rank         int
	LastEventID  string // event after which the stream goes on
}

// ReplyMetadata is what an upstream states about its reply.
type ReplyMetadata struct {
	RequestID string
	// NotRun is set if the upstream has not run the request and never will.
	NotRun bool
	// RefusingEngine is the address of the engine in the path that refused the request.
	RefusingEngine string
	// RequestLimit is the number of requests per second that the upstream takes from all
	// callers together for now; zero if it names no limit.
	RequestLimit float64
	// Leaving is set if the upstream leaves: it wants no new requests.
	Leaving bool
	// RetryAfter is the time for which the upstream, or RefusingEngine if it is named,
	// wants no requests; zero if it states none.
	RetryAfter time.Duration
	// Encoded is set if the body has a content encoding, so that it differs from what
	// the upstream produced.
	Encoded bool
	// Defect tells why the header is not valid, so that the reply proves nothing; empty if it
	// is valid.
	Defect string
}

// EngineState is the reply of an engine to a report call.
type EngineState struct {
	registry.PollResult
	// Stalled lists the requests that wait for a lost engine.
	Stalled []Stalled
}

// Stalled is a request that waits at the first engine of its path for another engine
// that does not respond.
type Stalled struct{ RequestID, Address string }

// Placement orders an engine to hold the layers [From, To).
type Placement struct {
	From, To int
	// AbortRequests ends the running requests that use layers which this order removes
	// from the engine. Without it, the engine waits for them.
	AbortRequests bool
	// BaseOrderCount is the number of accepted orders on which this order is based. An
	// engine that has since accepted another order refuses this one, so that a delayed
	// order cannot undo a newer one.
	BaseOrderCount uint64
}

// Repath moves a running request to another path with the same first engine.
type Repath struct {
	RequestID string
	Path      []path.PipelineStage
}
