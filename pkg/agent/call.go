package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Call sends one service call and returns the response. A response with a
// different request ID is an error, so that a caller never receives the response
// to another request.
func (c *Client) Call(ctx context.Context, addr string, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	rs, err := c.sendRequest(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_Call{Call: req}})
	if err != nil {
		return nil, err
	}
	defer rs.close()
	f, err := rs.read()
	if err != nil {
		return nil, err
	}
	answer := f.GetCallResponse()
	if answer == nil {
		return nil, rs.unexpectedFrame(f)
	}
	// A replayed response carries the ID of the earlier request with the same
	// idempotency key.
	if answer.RequestId != req.RequestId && !answer.Replayed {
		return nil, fault.New(fault.Protocol, "agent %s answered request %q in place of %q", addr, answer.RequestId, req.RequestId).
			WithStage(headStageIndex).WithOutcome(fault.MayHaveRun)
	}
	return answer, nil
}
