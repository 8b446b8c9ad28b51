package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// GenerateCallbacks are called during a generation, in the goroutine that called
// Generate. An error from a callback ends the generation.
type GenerateCallbacks struct {
	OnToken func(*wirepb.Token) error
	// ChooseStages returns replacements when the later stages of the request have
	// no free slot. It is called only if the request sets LateStages.
	ChooseStages func(*wirepb.StageQuery) (*wirepb.StageChoice, error)
}

// Generate requests a generation from the head agent of a chain and returns when
// it has finished. Cancelling ctx closes the stream, which cancels the generation
// at the agent. The returned error is a *fault.Error with the failed stage, if
// that is known, or the error of a callback.
func (c *Client) Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, on GenerateCallbacks) (*wirepb.GenerateDone, error) {
	rs, err := c.sendRequest(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_Generate{Generate: req}})
	if err != nil {
		return nil, err
	}
	defer rs.close()
	for {
		f, err := rs.read()
		if err != nil {
			return nil, err
		}
		switch body := f.Body.(type) {
		case *wirepb.Frame_Token:
			if err := on.OnToken(body.Token); err != nil {
				return nil, err
			}
		case *wirepb.Frame_StageQuery:
			if on.ChooseStages == nil {
				return nil, rs.unexpectedFrame(f)
			}
			choice, err := on.ChooseStages(body.StageQuery)
			if err != nil {
				return nil, err
			}
			if err := rs.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageChoice{StageChoice: choice}}); err != nil {
				return nil, rs.connectionError(err)
			}
		case *wirepb.Frame_GenerateDone:
			return body.GenerateDone, nil
		default:
			return nil, rs.unexpectedFrame(f)
		}
	}
}
