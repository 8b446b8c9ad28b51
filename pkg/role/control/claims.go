package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// claimTimeout is shorter than the client's timeout for one try, so that the
	// client receives the outcome instead of timing out.
	claimTimeout = 1300 * time.Millisecond
	// maxClaimWait bounds how long a read waits for the outcome of a call.
	maxClaimWait = 10 * time.Minute
)

// serveClaim proposes a claim, resolve or release and writes the reply.
func (c *Control) serveClaim(s *wire.Stream, operation string, cmd *wirepb.Command) {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	result, err := c.proposer.propose(ctx, cmd)
	if err == nil && result.GetError() != nil {
		err = fault.FromWire(result.GetError())
	}
	c.replyClaim(s, operation, result.GetClaim(), err)
}

// serveClaimRead answers with the state of a claim after a read index.
func (c *Control) serveClaimRead(s *wire.Stream, read *wirepb.ClaimRead) {
	reply, err := c.readClaim(read)
	c.replyClaim(s, "read", reply, err)
}

func (c *Control) readClaim(read *wirepb.ClaimRead) (*wirepb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	return c.awaitClaim(read)
}

// awaitClaim returns the state of a claim and waits up to the requested time
// while the claim is pending. The caller has completed a read index, so that
// the state is linearizable.
func (c *Control) awaitClaim(read *wirepb.ClaimRead) (*wirepb.ClaimReply, error) {
	wait := min(time.Duration(read.GetWaitMs())*time.Millisecond, maxClaimWait)
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	for {
		changed, stop := c.machine.watchClaim(read.GetClaim())
		reply, err := c.machine.ReadClaim(read.GetClaim())
		if err != nil || reply.GetStatus() != state.ClaimPending || ctx.Err() != nil {
			stop()
			return reply, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		stop()
	}
}

func (c *Control) replyClaim(s *wire.Stream, operation string, reply *wirepb.ClaimReply, err error) {
	_ = s.SetDeadline(time.Now().Add(replyWriteTimeout))
	if err == nil && reply == nil {
		err = fault.New(fault.Internal, "command has no claim in its result")
	}
	if err != nil {
		c.metrics.countClaim(operation, string(fault.KindOf(err)))
		_ = s.WriteError(err)
		return
	}
	c.metrics.countClaim(operation, reply.GetStatus())
	_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_ClaimReply{ClaimReply: reply}})
}
