package upstreams

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Generate runs a generation on an engine that holds all layers of the model.
// It calls onToken for each token and returns the final line. An error from
// onToken stops the generation and is returned. The first line must arrive
// within firstTimeout, each later line within Options.LineTimeout.
func (c *Client) Generate(ctx context.Context, address string, r *GenerateRequest, firstTimeout time.Duration, onToken func(*GenerateLine) error) (*GenerateLine, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := newIdleTimer(firstTimeout, c.opts.LineTimeout, cancel)
	defer idleTimer.stop()
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "encode generate request")
	}
	resp, err := c.post(ctx, address, PathGenerate, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readTokens(ctx, resp.Body, r.Position, idleTimer, onToken)
}

func (c *Client) readTokens(ctx context.Context, body io.Reader, next uint32, timer *idleTimer, onToken func(*GenerateLine) error) (*GenerateLine, error) {
	lines := NewLineReader(body, c.opts.MaxLineBytes)
	for {
		line, err := readGenerateLine(lines)
		if err != nil {
			return nil, streamError(ctx, err, "generate")
		}
		timer.reset()
		if line.Error != nil {
			return nil, line.Error.Fault().WithOutcome(fault.MayHaveRun)
		}
		if line.Done {
			return line, nil
		}
		if line.Position != next {
			return nil, fault.New(fault.Upstream, "engine sent position %d in place of %d", line.Position, next).WithField("position")
		}
		next++
		if err := onToken(line); err != nil {
			return nil, err
		}
	}
}

func readGenerateLine(lines *LineReader) (*GenerateLine, error) {
	line := &GenerateLine{}
	if err := lines.ReadJSON(line); err != nil {
		return nil, err
	}
	return line, nil
}
