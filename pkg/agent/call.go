package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Call sends one service call. An answer that names another request is
// refused, so that a crossed answer never reaches a caller.
func (c *Client) Call(ctx context.Context, addr string, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	k, err := c.start(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_Call{Call: req}})
	if err != nil {
		return nil, err
	}
	defer k.close()
	f, err := k.read()
	if err != nil {
		return nil, err
	}
	answer := f.GetCallResponse()
	if answer == nil {
		return nil, k.unexpected(f)
	}
	// A replayed answer was recorded for an earlier request with the same key.
	if answer.RequestId != req.RequestId && !answer.Replayed {
		return nil, fault.New(fault.Protocol, "agent %s answered request %q in place of %q", addr, answer.RequestId, req.RequestId).
			WithStage(headStage).WithOutcome(fault.MayHaveRun)
	}
	return answer, nil
}
