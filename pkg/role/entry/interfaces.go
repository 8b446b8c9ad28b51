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

// Control is the part of control.Client that an entry uses.
type Control interface {
	View() *control.View
	Changed() <-chan struct{}
	Confirmed() time.Time
	ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error)
}

// Agents is the part of agent.Client that an entry uses.
type Agents interface {
	Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, on agent.GenerateCallbacks) (*wirepb.GenerateDone, error)
	Call(ctx context.Context, addr string, req *wirepb.CallRequest) (*wirepb.CallResponse, error)
	Monitor(ctx context.Context, addr string, onReport func(*wirepb.LoadReport), onRoundTrip func(time.Duration))
	CloseSession(addr string)
}
