package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bounds of the backoff between two attempts to report the outcome of a claim
// to control.
const (
	recordRetryMinDelay = 50 * time.Millisecond
	recordRetryMaxDelay = 2 * time.Second
)

// recordResponse stores the answer at control. It retries until control answers
// or refuses for good, or the agent is closed.
func (c *claimedCall) recordResponse() {
	resolve := &wirepb.ClaimResolve{Claim: c.claim, Response: c.response}
	reply := c.retryUntilAnswered(func(ctx context.Context) (*wirepb.ClaimReply, error) {
		return c.agent.control.Resolve(ctx, resolve)
	})
	if reply.GetStatus() != control.ClaimAnswered {
		c.agent.log.Error("outcome of a claimed call was not recorded",
			logs.Str("service", c.claim.Service), logs.Str("attempt", c.claim.Attempt), logs.Str("status", reply.GetStatus()))
	}
}

// releaseClaim releases the claim of this attempt, which was not sent. The
// reply is the resulting state of the key; it is nil when that state cannot be
// learnt.
func (c *claimedCall) releaseClaim() *wirepb.ClaimReply {
	c.admitted.freeSlot()
	reply := c.retryUntilAnswered(func(ctx context.Context) (*wirepb.ClaimReply, error) {
		return c.agent.control.Release(ctx, c.claim)
	})
	if reply.GetStatus() == control.ClaimWon {
		return nil // contradicts the release: this attempt cannot hold the claim
	}
	return reply
}

// retryUntilAnswered repeats a request to control until it is answered or
// refused for good. It returns nil if there is no answer.
func (c *claimedCall) retryUntilAnswered(send func(context.Context) (*wirepb.ClaimReply, error)) *wirepb.ClaimReply {
	backoff := recordRetryMinDelay
	for {
		ctx, cancel := context.WithTimeout(c.agent.baseCtx, c.agent.settings.ClaimTimeout)
		reply, err := send(ctx)
		cancel()
		if err == nil {
			return reply
		}
		if isPermanentRefusal(err) || c.agent.baseCtx.Err() != nil {
			c.agent.log.Error("gave up reporting the outcome of a claim to control", logs.Str("attempt", c.claim.Attempt), logs.Err(err))
			return nil
		}
		delay.Wait(c.agent.baseCtx, backoff)
		backoff = min(2*backoff, recordRetryMaxDelay)
	}
}

func isPermanentRefusal(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Forbidden, fault.Conflict, fault.Expired:
		return true
	}
	return false
}
