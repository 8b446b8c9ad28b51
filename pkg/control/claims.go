package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// tryTimeout is longer than an election, so that one try usually survives a
	// change of leader.
	tryTimeout = 1500 * time.Millisecond
	retryDelay = 50 * time.Millisecond
)

// Statuses of a claim in a reply.
const (
	ClaimWon      = state.ClaimWon
	ClaimPending  = state.ClaimPending
	ClaimAnswered = state.ClaimAnswered
	ClaimAbsent   = state.ClaimAbsent
	ClaimExpired  = state.ClaimExpired
	ClaimMismatch = state.ClaimMismatch
)

// Claim makes a claim durable at a quorum. Repeating it with the same attempt
// id is safe. An error means that the claim may or may not have been made.
func (c *Client) Claim(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	return c.sendClaimRequest(ctx, &wirepb.Frame{Body: &wirepb.Frame_Claim{Claim: req}}, 0)
}

// Resolve records the outcome of a claimed call.
func (c *Client) Resolve(ctx context.Context, req *wirepb.ClaimResolve) (*wirepb.ClaimReply, error) {
	return c.sendClaimRequest(ctx, &wirepb.Frame{Body: &wirepb.Frame_ClaimResolve{ClaimResolve: req}}, 0)
}

// Release releases the claim of an attempt that was never dispatched.
func (c *Client) Release(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	release := &wirepb.ClaimRelease{Claim: req}
	return c.sendClaimRequest(ctx, &wirepb.Frame{Body: &wirepb.Frame_ClaimRelease{ClaimRelease: release}}, 0)
}

// ReadClaim reads a claim linearizably. With a positive wait the replica
// delays the reply until the claim has an outcome or the wait is over.
func (c *Client) ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error) {
	read := &wirepb.ClaimRead{Claim: req, WaitMs: uint32(wait / time.Millisecond)}
	return c.sendClaimRequest(ctx, &wirepb.Frame{Body: &wirepb.Frame_ClaimRead{ClaimRead: read}}, wait)
}

// sendClaimRequest sends one request and retries it on the other replicas until it
// succeeds, is refused or ctx ends.
func (c *Client) sendClaimRequest(ctx context.Context, req *wirepb.Frame, wait time.Duration) (*wirepb.ClaimReply, error) {
	var lastErr error
	for ctx.Err() == nil {
		addresses := c.replicaAddresses()
		if len(addresses) == 0 {
			return nil, fault.New(fault.Invalid, "no control address").WithField("control.addresses")
		}
		index := c.preferredIndex.Load()
		addr := addresses[int(index)%len(addresses)]
		reply, err := c.exchange(ctx, addr, req, wait)
		if err == nil {
			return reply, nil
		}
		if !isRetryable(err) {
			return nil, err
		}
		lastErr = err
		c.preferredIndex.CompareAndSwap(index, index+1)
		delay.Wait(ctx, delay.Jitter(retryDelay))
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return nil, fault.Wrap(lastErr, fault.Unavailable, "no control replica answered").WithOutcome(fault.MayHaveRun)
}

func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Forbidden, fault.NotFound, fault.Conflict:
		return false
	}
	return true
}

func (c *Client) exchange(ctx context.Context, addr string, req *wirepb.Frame, wait time.Duration) (*wirepb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+wait)
	defer cancel()
	f, err := c.pool.Exchange(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	if reply := f.GetClaimReply(); reply != nil {
		return reply, nil
	}
	return nil, fault.New(fault.Protocol, "%s answered a claim with another message", addr)
}
