package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// GenerateCallbacks are the calls of a generation in progress. All come from the goroutine
// that called Generate, and an error ends the generation.
type GenerateCallbacks struct {
	OnToken func(*wirepb.Token) error
	// ChooseStages chooses later stages when those of the request have no free slot.
	// It is called only for a request with LateStages.
	ChooseStages func(*wirepb.StageQuery) (*wirepb.StageChoice, error)
}

// Generate asks the head agent of a chain for tokens. Cancelling ctx closes the
// stream, which cancels the work at the agent. The returned error is a
// *fault.Error that names the failed stage where one is known.
func (c *Client) Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, on GenerateCallbacks) (*wirepb.GenerateDone, error) {
	k, err := c.start(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_Generate{Generate: req}})
	if err != nil {
		return nil, err
	}
	defer k.close()
	for {
		f, err := k.read()
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
				return nil, k.unexpected(f)
			}
			choice, err := on.ChooseStages(body.StageQuery)
			if err != nil {
				return nil, err
			}
			if err := k.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageChoice{StageChoice: choice}}); err != nil {
				return nil, k.lost(err)
			}
		case *wirepb.Frame_GenerateDone:
			return body.GenerateDone, nil
		default:
			return nil, k.unexpected(f)
		}
	}
}
