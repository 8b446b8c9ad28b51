// Package entry assembles the entry process: it takes requests of callers,
// chooses upstreams from an immutable snapshot, repairs streams and drains.
package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ControlClient is the part of control.Client that an entry uses.
type ControlClient interface {
	View() *control.View
	Changed() <-chan struct{}
	Confirmed() time.Time
	ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error)
}

// AgentClient is the part of agent.Client that an entry uses.
type AgentClient interface {
	Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, on agent.Events) (*wirepb.GenerateDone, error)
	Call(ctx context.Context, addr string, req *wirepb.CallRequest) (*wirepb.CallResponse, error)
	Follow(ctx context.Context, addr string, onReport func(*wirepb.LoadReport), onRoundTrip func(time.Duration))
	Drop(addr string)
}
