package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Generate asks the head agent of a chain for tokens and passes each one to
// onToken, whose error ends the generation. Cancelling ctx closes the stream,
// which cancels the work at the agent. The returned error is a *fault.Error
// that names the failed stage where one is known.
func (c *Client) Generate(ctx context.Context, addr string, req *wirepb.GenerateRequest, onToken func(*wirepb.Token) error) (*wirepb.GenerateDone, error) {
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
			if err := onToken(body.Token); err != nil {
				return nil, err
			}
		case *wirepb.Frame_GenerateDone:
			return body.GenerateDone, nil
		default:
			return nil, k.unexpected(f)
		}
	}
}
