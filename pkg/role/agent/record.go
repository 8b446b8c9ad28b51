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

// Delays between two attempts to tell control the outcome of a claim.
const (
	recordMinDelay = 50 * time.Millisecond
	recordMaxDelay = 2 * time.Second
)

// record stores the answer with control. It repeats until control has
// answered or the agent ends.
func (c *onceCall) record() {
	resolve := &wirepb.ClaimResolve{Claim: c.claim, Response: c.response}
	reply := c.untilAnswered(func(ctx context.Context) (*wirepb.ClaimReply, error) {
		return c.agent.control.Resolve(ctx, resolve)
	})
	if reply.GetStatus() != control.ClaimAnswered {
		c.agent.log.Error("outcome of a claimed call was not recorded",
			logs.Str("service", c.claim.Service), logs.Str("attempt", c.claim.Attempt), logs.Str("status", reply.GetStatus()))
	}
}

// releaseClaim gives up the attempt, which was not dispatched. The reply says
// what became of the key; it is nil when that cannot be learnt.
func (c *onceCall) releaseClaim() *wirepb.ClaimReply {
	c.admitted.freeSlot()
	reply := c.untilAnswered(func(ctx context.Context) (*wirepb.ClaimReply, error) {
		return c.agent.control.Release(ctx, c.claim)
	})
	if reply.GetStatus() == control.ClaimWon {
		return nil // contradicts the release
	}
	return reply
}

// untilAnswered repeats a request to control until it is answered or refused
// for good. It returns nil without an answer.
func (c *onceCall) untilAnswered(send func(context.Context) (*wirepb.ClaimReply, error)) *wirepb.ClaimReply {
	backoff := recordMinDelay
	for {
		ctx, cancel := context.WithTimeout(c.agent.life, c.agent.set.ClaimTimeout)
		reply, err := send(ctx)
		cancel()
		if err == nil {
			return reply
		}
		if refusedForGood(err) || c.agent.life.Err() != nil {
			c.agent.log.Error("control refused the outcome of a claim", logs.Str("attempt", c.claim.Attempt), logs.Err(err))
			return nil
		}
		delay.Wait(c.agent.life, backoff)
		backoff = min(2*backoff, recordMaxDelay)
	}
}

func refusedForGood(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Forbidden, fault.Conflict, fault.Expired:
		return true
	}
	return false
}
