// Package entry implements the entry process, the front end of the router. It
// accepts the requests of callers, selects upstreams from an immutable snapshot
// of the configuration, forwards requests to their agents, retries failed
// attempts and repairs interrupted streams.
package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ControlClient is the subset of control.Client that an entry uses.
type ControlClient interface {
	View() *control.View
	Changed() <-chan struct{}
	Confirmed() time.Time
	ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error)
}

// AgentClient is the subset of agent.Client that an entry uses.
type AgentClient interface {
	Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, on agent.GenerateCallbacks) (*wirepb.GenerateDone, error)
	Call(ctx context.Context, addr string, req *wirepb.CallRequest) (*wirepb.CallResponse, error)
	Monitor(ctx context.Context, addr string, onReport func(*wirepb.LoadReport), onRoundTrip func(time.Duration))
	CloseSession(addr string)
}
