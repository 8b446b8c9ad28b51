package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// serveForward proposes a command that another replica forwarded. It does not
// forward the command again: after a change of leader the sender finds the new
// leader itself.
func (c *Control) serveForward(s *wire.Stream, fwd *wirepb.Forward) {
	ctx, cancel := context.WithTimeout(c.ctx, tryTimeout)
	defer cancel()
	reply, err := c.executeForward(ctx, fwd)
	if err != nil {
		reply = &wirepb.ForwardReply{Error: fault.ToWire(err)}
	}
	_ = s.SetDeadline(time.Now().Add(replyWriteTimeout))
	_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_ForwardReply{ForwardReply: reply}})
}

func (c *Control) executeForward(ctx context.Context, fwd *wirepb.Forward) (*wirepb.ForwardReply, error) {
	if fwd.GetReadIndex() {
		index, err := c.node.ReadIndex(ctx)
		return &wirepb.ForwardReply{ReadIndex: index}, err
	}
	if fwd.GetCommand() == nil {
		return nil, fault.New(fault.Invalid, "forwarded command is missing").WithOutcome(fault.NotRun)
	}
	result, err := c.proposer.proposeLocally(ctx, fwd.GetCommand())
	return &wirepb.ForwardReply{Result: result}, err
}
