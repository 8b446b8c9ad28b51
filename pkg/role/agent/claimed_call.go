package agent

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxRecordedBodyBytes leaves room for the headers within the 256 KiB that
	// control stores for an answer.
	maxRecordedBodyBytes = 176 << 10
	// recordWait limits how long an answer is held back until control has
	// recorded it.
	recordWait = time.Second
	// maxRefusalReads limits the concurrent claim reads for refused calls, so
	// that many refusals at once do not overload control.
	maxRefusalReads    = 32
	refusalReadTimeout = time.Second
)

// claimedCall is a call that must run at most once. Once its claim has been
// requested it runs to its end, even when the entry disconnects.
type claimedCall struct {
	agent    *Agent
	req      *wirepb.CallRequest
	claim    *wirepb.ClaimRequest
	admitted *admittedCall

	releasePendingOnce sync.Once            // makes releasePending idempotent
	callerGone         chan struct{}        // closed when the caller no longer waits
	answered           chan struct{}        // closed once response is set
	response           *wirepb.CallResponse // the answer of the service
	finished           chan struct{}        // closed once result and err are set
	result             *wirepb.CallResponse
	err                error
}

// callAtMostOnce runs a call under a claim.
func (a *Agent) callAtMostOnce(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	if req.IdempotencyKey == "" {
		return nil, invalidRequest("idempotency_key", "is empty for a call that may not be repeated")
	}
	deadline := time.NewTimer(callerTimeout(req))
	defer deadline.Stop()
	c := &claimedCall{
		agent: a, req: req, claim: a.claimRequestFor(req),
		callerGone: make(chan struct{}), answered: make(chan struct{}), finished: make(chan struct{}),
	}
	defer close(c.callerGone)
	if err := c.admit(ctx); err != nil {
		return c.answerRefused(ctx, fault.As(err))
	}
	go c.run()
	return c.await(ctx, deadline.C)
}

func (a *Agent) claimRequestFor(req *wirepb.CallRequest) *wirepb.ClaimRequest {
	return &wirepb.ClaimRequest{
		Organisation:     req.Organisation,
		Service:          req.Service,
		Key:              req.IdempotencyKey,
		KeyCreatedUnixMs: req.KeyCreatedUnixMs,
		Attempt:          uuid.NewString(),
		RequestDigest:    requestDigest(req),
		Host:             a.settings.Host,
	}
}

// requestDigest returns a hash of the fields that must be equal in all requests
// with the same key.
func requestDigest(req *wirepb.CallRequest) []byte {
	h := sha256.New()
	h.Write([]byte(req.Method))
	h.Write([]byte{0})
	h.Write([]byte(req.Path))
	h.Write([]byte{0})
	h.Write(req.Body)
	return h.Sum(nil)
}

// admit takes a unit of the pendingClaims semaphore and acquires a slot.
func (c *claimedCall) admit(ctx context.Context) error {
	a := c.agent
	select {
	case a.pendingClaims <- struct{}{}:
	default:
		return fault.New(fault.Overloaded, "%d claimed calls are running or not yet recorded", cap(a.pendingClaims)).
			WithOutcome(fault.NotRun).WithRetryAfter(recordWait)
	}
	admitted, err := a.admitCall(ctx, c.req)
	if err != nil {
		<-a.pendingClaims
		return err
	}
	c.admitted = admitted
	return nil
}

// releasePending releases the unit of the pendingClaims semaphore. Later calls
// have no effect.
func (c *claimedCall) releasePending() { c.releasePendingOnce.Do(func() { <-c.agent.pendingClaims }) }

// answerRefused answers a call that this agent did not claim. A linearizable
// read of the claim decides whether an earlier attempt ran.
func (c *claimedCall) answerRefused(ctx context.Context, f *fault.Error) (*wirepb.CallResponse, error) {
	a := c.agent
	select {
	case a.refusalReadSlots <- struct{}{}:
		defer func() { <-a.refusalReadSlots }()
	default:
		return nil, f.WithOutcome(fault.MayHaveRun)
	}
	ctx, cancel := context.WithTimeout(ctx, refusalReadTimeout)
	defer cancel()
	reply, err := a.control.ReadClaim(ctx, c.claim, 0)
	switch {
	case err != nil:
		return nil, f.WithOutcome(fault.MayHaveRun)
	case reply.Status == control.ClaimAbsent:
		return nil, f.WithOutcome(fault.NotRun)
	case reply.Status == control.ClaimAnswered && reply.Response != nil:
		return c.replayedResponse(reply), nil
	case reply.Status == control.ClaimAnswered:
		return nil, errAnswerLost()
	default:
		return nil, f.WithOutcome(fault.MayHaveRun)
	}
}

// replayedResponse returns the recorded answer of an earlier attempt.
func (c *claimedCall) replayedResponse(reply *wirepb.ClaimReply) *wirepb.CallResponse {
	r := reply.Response
	return &wirepb.CallResponse{RequestId: c.req.RequestId, Status: r.Status, Headers: r.Headers, Body: r.Body, Replayed: true}
}

// await waits for the outcome on behalf of the caller. An answer that is not
// recorded within recordWait is returned anyway: it is correct, and a retry
// with the same key cannot run again because the claim still exists.
func (c *claimedCall) await(ctx context.Context, deadline <-chan time.Time) (*wirepb.CallResponse, error) {
	select {
	case <-c.finished:
		return c.result, c.err
	case <-c.answered:
	case <-deadline:
		return nil, fault.New(fault.Deadline, "call has no outcome yet").WithOutcome(fault.MayHaveRun)
	case <-ctx.Done():
		return nil, cancellationError(ctx).WithOutcome(fault.MayHaveRun)
	}
	recordTimer := time.NewTimer(recordWait)
	defer recordTimer.Stop()
	select {
	case <-c.finished:
	case <-recordTimer.C:
	case <-deadline:
	case <-ctx.Done():
	}
	return c.response, nil
}

// run requests the claim and carries out the call according to the reply.
func (c *claimedCall) run() {
	defer c.releasePending()
	defer c.admitted.release()
	ctx, cancel := context.WithTimeout(context.Background(), c.agent.settings.ClaimTimeout)
	reply, err := c.agent.control.Claim(ctx, c.claim)
	cancel()
	if err != nil {
		// The claim may have been made. The call is not sent without a
		// confirmed claim.
		reply = c.releaseClaim()
	}
	c.handleClaimReply(reply)
}

// handleClaimReply continues or finishes the call according to the state of the
// claim.
func (c *claimedCall) handleClaimReply(reply *wirepb.ClaimReply) {
	switch reply.GetStatus() {
	case control.ClaimWon:
		c.runClaimed()
	case control.ClaimAnswered:
		c.finishReplay(reply)
	case control.ClaimPending:
		c.waitForOtherAttempt()
	case control.ClaimAbsent:
		c.finish(nil, fault.New(fault.Unavailable, "claim was not made").WithOutcome(fault.NotRun))
	case control.ClaimExpired:
		c.finish(nil, fault.New(fault.Expired, "key is outside the horizon").WithField("idempotency_key").WithOutcome(fault.MayHaveRun))
	case control.ClaimMismatch:
		c.finish(nil, fault.New(fault.Conflict, "key was used for another request").WithField("idempotency_key").WithOutcome(fault.MayHaveRun))
	default:
		c.finish(nil, errClaimUnknown())
	}
}

func errClaimUnknown() *fault.Error {
	return fault.New(fault.UnknownOutcome, "state of the claim is not known").WithOutcome(fault.MayHaveRun)
}

// errAnswerLost is returned for a key whose claim an operator settled as run.
// No response was recorded.
func errAnswerLost() *fault.Error {
	return fault.New(fault.AnswerLost, "the call ran, but its answer was not recorded").
		WithField("idempotency_key").WithOutcome(fault.Answered)
}

func (c *claimedCall) finishReplay(reply *wirepb.ClaimReply) {
	if reply.Response == nil {
		c.finish(nil, errAnswerLost())
		return
	}
	c.finish(c.replayedResponse(reply), nil)
}

func (c *claimedCall) finish(result *wirepb.CallResponse, err error) {
	c.result, c.err = result, err
	close(c.finished)
}

// runClaimed sends the call to the service. Only the attempt that won the claim
// does so, and only here.
func (c *claimedCall) runClaimed() {
	a := c.agent
	ctx, cancel := context.WithTimeout(context.Background(), a.serviceTimeout(c.req.Service))
	response, err := a.sendCall(ctx, c.admitted.up, c.req, maxRecordedBodyBytes)
	cancel()
	c.admitted.freeSlot()
	switch {
	case err == nil:
		c.response = response
		close(c.answered)
		c.recordResponse()
		c.finish(response, nil)
	case fault.As(err).Outcome == fault.NotRun:
		c.finishNotRun(err)
	default:
		// The claim is kept, so that no other attempt runs the call again.
		c.finish(nil, fault.As(err).WithOutcome(fault.MayHaveRun))
	}
}

// finishNotRun releases the claim of a call that was never sent.
func (c *claimedCall) finishNotRun(err error) {
	reply := c.releaseClaim()
	if reply.GetStatus() == control.ClaimAbsent {
		c.finish(nil, fault.As(err).WithOutcome(fault.NotRun))
		return
	}
	c.handleClaimReply(reply)
}

// waitForOtherAttempt waits for the outcome of the attempt that holds the key,
// for as long as the caller waits.
func (c *claimedCall) waitForOtherAttempt() {
	// This attempt has no outcome to record. Retries of a key that stays
	// pending must not keep other keys from running.
	c.admitted.freeSlot()
	c.releasePending()
	deadline := c.agent.now().Add(min(callerTimeout(c.req), maxOtherAttemptWait))
	for {
		remaining := deadline.Sub(c.agent.now())
		if remaining <= 0 || c.isCallerGone() {
			c.finish(nil, fault.New(fault.UnknownOutcome, "an earlier attempt has no outcome yet").WithOutcome(fault.MayHaveRun))
			return
		}
		reply := c.readClaim(min(remaining, readClaimWait))
		if reply.GetStatus() != control.ClaimPending {
			c.handleOtherAttempt(reply)
			return
		}
	}
}

func (c *claimedCall) isCallerGone() bool {
	select {
	case <-c.callerGone:
		return true
	default:
		return false
	}
}

const (
	readClaimWait = time.Second
	// maxOtherAttemptWait limits how long a retry occupies memory on this
	// agent.
	maxOtherAttemptWait = 30 * time.Second
)

func (c *claimedCall) readClaim(wait time.Duration) *wirepb.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), wait+c.agent.settings.ClaimTimeout)
	defer cancel()
	reply, err := c.agent.control.ReadClaim(ctx, c.claim, wait)
	if err != nil {
		return nil
	}
	return reply
}

// handleOtherAttempt finishes a call whose key is claimed by another attempt.
// It never sends the call, because this attempt holds no claim.
func (c *claimedCall) handleOtherAttempt(reply *wirepb.ClaimReply) {
	if reply.GetStatus() == control.ClaimWon {
		c.finish(nil, errClaimUnknown())
		return
	}
	c.handleClaimReply(reply)
}
