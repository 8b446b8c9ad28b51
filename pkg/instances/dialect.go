// Package instances talks to upstreams that announce themselves and to which
// requests are sent without an agent in between.
package instances

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
)

// Dialect translates between this package and what a deployment speaks.
type Dialect interface {
	// ReadRequestMetadata reads what the router needs from a caller's header.
	ReadRequestMetadata(h http.Header) (RequestMetadata, error)
	// WriteDispatch turns a caller's header into the one for an upstream.
	WriteDispatch(h http.Header, d Dispatch)
	// ReadReplyMetadata reads what an upstream says beside its answer.
	ReadReplyMetadata(status int, h http.Header) Metadata
	// ReportCall asks an engine for its state, which DecodeReport reads.
	ReportCall() Call
	DecodeReport(body []byte) (EngineState, error)
	PlaceCall(p Placement) (Call, error)
	RepathCall(r Repath) (Call, error)
	// RefusedBy returns the address of the engine because of which an order was
	// refused, if the refusal names it.
	RefusedBy(body []byte) string
	// RouteHost returns the host name that selects the route.
	RouteHost(host string) string
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// StripHopByHop removes the headers that concern one connection only, and
// those that a Connection header names, but for the ones to keep.
func StripHopByHop(h http.Header, keep ...string) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(keep, name) {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// RequestMetadata is what a caller says of its request.
type RequestMetadata struct {
	RequestID string
	MaxWait   time.Duration // time that the caller waits; zero when not said
	APIKey    string        // API key, empty when there is none
	Prompt    int           // tokens
	MaxAnswer int           // tokens
	// ExpectedAnswer is the caller's guess in tokens, zero when not said.
	ExpectedAnswer int
	LastEventID    string // event after which a stream is resumed
}

// Dispatch is what the router says to an upstream.
type Dispatch struct {
	InstanceID   string // the only process that may run the request
	Organisation string // empty on public routes
	Remaining    time.Duration
	Path         []path.PipelineStage // engines that the request passes through
	Rank         int
	LastEventID  string // event after which the stream goes on
}

// Metadata is what an upstream says beside the body.
type Metadata struct {
	RequestID string
	// NotRun is set by an upstream that did not run the request and never will.
	NotRun bool
	// RefusingEngine is the address of the engine of the path that refused.
	RefusingEngine string
	// Encoded marks a body that is not as the upstream wrote it.
	Encoded bool
}

// EngineState is the answer of an engine to a report call.
type EngineState struct {
	registry.PollResult
	// Stalled are requests that wait for a lost engine.
	Stalled []Stalled
}

// Stalled is a request that waits at the first engine of its path for another
// one that does not answer.
type Stalled struct{ RequestID, Address string }

// Placement orders an engine to hold a range of layers.
type Placement struct {
	From, To int
	// AbortRequests ends the requests that pass through layers that are given up, rather than
	// wait for them.
	AbortRequests bool
	// BaseOrderCount is the count of accepted orders on which this one is based. An
	// engine that has accepted another since refuses it, so that an order that
	// is carried out late cannot undo a newer one.
	BaseOrderCount uint64
}

// Repath moves a running request to another path with the same first engine.
type Repath struct {
	RequestID string
	Path      []path.PipelineStage
}
