package instances

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// maxEngineReplyBytes bounds the reply to a report call or an order.
const maxEngineReplyBytes = 256 << 10

// EngineClient queries the state of engines and sends them orders.
type EngineClient struct {
	pool    *Pool
	dialect Dialect
	onReply func(address string, m ReplyMetadata)
}

// NewEngineClient returns a client that uses the connections of pool. It passes what each
// reply states to onReply.
func NewEngineClient(pool *Pool, d Dialect, onReply func(address string, m ReplyMetadata)) *EngineClient {
	return &EngineClient{pool, d, onReply}
}

// Report returns the state of the engine at address.
func (e *EngineClient) Report(ctx context.Context, address string, timeout time.Duration) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, body, err := e.call(ctx, address, e.dialect.ReportCall())
	if err != nil {
		return EngineState{}, err
	}
	if reply.Status != http.StatusOK {
		return EngineState{}, fault.New(fault.Upstream, "%s responded to a report call with status %d", address, reply.Status)
	}
	state, err := e.dialect.DecodeReport(body)
	state.RequestLimit = reply.Metadata.RequestLimit
	state.Leaving = reply.Metadata.Leaving
	return state, err
}

// Place orders the engine at address to hold a range of layers.
func (e *EngineClient) Place(ctx context.Context, address string, p Placement) error {
	call, err := e.dialect.PlaceCall(p)
	if err != nil {
		return err
	}
	return e.order(ctx, address, call)
}

// Repath orders the engine at address, the first of a running request, to use another
// path.
func (e *EngineClient) Repath(ctx context.Context, address string, r Repath) error {
	call, err := e.dialect.RepathCall(r)
	if err != nil {
		return err
	}
	return e.order(ctx, address, call)
}

func (e *EngineClient) order(ctx context.Context, address string, call Call) error {
	reply, body, err := e.call(ctx, address, call)
	if err != nil {
		return err
	}
	if status := reply.Status; status != http.StatusOK && status != http.StatusAccepted {
		// Field holds the address of the engine that caused the refusal.
		refused := fault.New(fault.Conflict, "%s refused the order with status %d: %s", address, status, body)
		return refused.WithField(e.dialect.RefusedBy(body))
	}
	return nil
}

// call returns the reply, which is closed, and its body.
func (e *EngineClient) call(ctx context.Context, address string, call Call) (*Reply, []byte, error) {
	call.Host = address
	reply, err := e.pool.Do(ctx, address, call)
	if err != nil {
		return nil, nil, err
	}
	defer reply.Close()
	e.onReply(address, reply.Metadata)
	body, err := reply.ReadAll(maxEngineReplyBytes)
	return reply, body, err
}
