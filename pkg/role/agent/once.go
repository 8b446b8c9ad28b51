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
	// maxRecordedBody leaves room for the headers in the 256 KiB that control
	// records for an answer.
	maxRecordedBody = 176 << 10
	// recordWait bounds how long an answer is kept back until it is recorded.
	recordWait = time.Second
	// refusalReads bounds the reads of claims for refused calls, so that a
	// flood of them does not reach control.
	refusalReads       = 32
	refusalReadTimeout = time.Second
)

// onceCall is one call that must run at most once. After its claim was asked
// for it goes on by itself, whatever becomes of the entry.
type onceCall struct {
	agent    *Agent
	req      *wirepb.CallRequest
	claim    *wirepb.ClaimRequest
	admitted *admittedCall

	reserved sync.Once            // gives back the room for the outcome
	unasked  chan struct{}        // closed when no caller waits any more
	answered chan struct{}        // closed when response is set
	response *wirepb.CallResponse // answer of the service
	finished chan struct{}        // closed when result and err are set
	result   *wirepb.CallResponse
	err      error
}

// callOnce runs a call under a claim.
func (a *Agent) callOnce(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	if req.IdempotencyKey == "" {
		return nil, refuse("idempotency_key", "is empty for a call that may not be repeated")
	}
	deadline := time.NewTimer(callerTime(req))
	defer deadline.Stop()
	c := &onceCall{
		agent: a, req: req, claim: a.claimOf(req),
		unasked: make(chan struct{}), answered: make(chan struct{}), finished: make(chan struct{}),
	}
	defer close(c.unasked)
	if err := c.admit(ctx); err != nil {
		return c.refused(ctx, fault.As(err))
	}
	go c.run()
	return c.await(ctx, deadline.C)
}

func (a *Agent) claimOf(req *wirepb.CallRequest) *wirepb.ClaimRequest {
	return &wirepb.ClaimRequest{
		Organisation:     req.Organisation,
		Service:          req.Service,
		Key:              req.IdempotencyKey,
		KeyCreatedUnixMs: req.KeyCreatedUnixMs,
		Attempt:          uuid.NewString(),
		RequestDigest:    requestDigest(req),
		Host:             a.set.Host,
	}
}

// requestDigest covers what makes two requests with one key the same.
func requestDigest(req *wirepb.CallRequest) []byte {
	h := sha256.New()
	h.Write([]byte(req.Method))
	h.Write([]byte{0})
	h.Write([]byte(req.Path))
	h.Write([]byte{0})
	h.Write(req.Body)
	return h.Sum(nil)
}

// admit takes room for the outcome and a slot.
func (c *onceCall) admit(ctx context.Context) error {
	a := c.agent
	select {
	case a.pending <- struct{}{}:
	default:
		return fault.New(fault.Overloaded, "%d claimed calls are running or not yet recorded", cap(a.pending)).
			WithOutcome(fault.NotRun).WithRetryAfter(recordWait)
	}
	admitted, err := a.admitCall(ctx, c.req)
	if err != nil {
		<-a.pending
		return err
	}
	c.admitted = admitted
	return nil
}

// freeRoom gives back the room for the outcome. Later calls do nothing.
func (c *onceCall) freeRoom() { c.reserved.Do(func() { <-c.agent.pending }) }

// refused answers a call that this agent did not claim. Whether the key ran
// is for a linearizable read to say.
func (c *onceCall) refused(ctx context.Context, f *fault.Error) (*wirepb.CallResponse, error) {
	a := c.agent
	select {
	case a.reads <- struct{}{}:
		defer func() { <-a.reads }()
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
		return c.replay(reply), nil
	case reply.Status == control.ClaimAnswered:
		return nil, errAnswerLost()
	default:
		return nil, f.WithOutcome(fault.MayHaveRun)
	}
}

// replay returns the recorded answer of an earlier attempt.
func (c *onceCall) replay(reply *wirepb.ClaimReply) *wirepb.CallResponse {
	r := reply.Response
	return &wirepb.CallResponse{RequestId: c.req.RequestId, Status: r.Status, Headers: r.Headers, Body: r.Body, Replayed: true}
}

// await waits for the outcome on behalf of the caller. An answer that is not
// recorded within recordWait is passed on: it is true, and a resend of the
// key cannot run again, because the claim stands.
func (c *onceCall) await(ctx context.Context, deadline <-chan time.Time) (*wirepb.CallResponse, error) {
	select {
	case <-c.finished:
		return c.result, c.err
	case <-c.answered:
	case <-deadline:
		return nil, fault.New(fault.Deadline, "call has no outcome yet").WithOutcome(fault.MayHaveRun)
	case <-ctx.Done():
		return nil, cancelled(ctx).WithOutcome(fault.MayHaveRun)
	}
	record := time.NewTimer(recordWait)
	defer record.Stop()
	select {
	case <-c.finished:
	case <-record.C:
	case <-deadline:
	case <-ctx.Done():
	}
	return c.response, nil
}

// run makes the claim and follows its reply to the end.
func (c *onceCall) run() {
	defer c.freeRoom()
	defer c.admitted.release()
	ctx, cancel := context.WithTimeout(context.Background(), c.agent.set.ClaimTimeout)
	reply, err := c.agent.control.Claim(ctx, c.claim)
	cancel()
	if err != nil {
		// The claim may have been made. Without certainty nothing is sent.
		reply = c.releaseClaim()
	}
	c.follow(reply)
}

// follow acts on the state of the claim.
func (c *onceCall) follow(reply *wirepb.ClaimReply) {
	switch reply.GetStatus() {
	case control.ClaimWon:
		c.runWon()
	case control.ClaimAnswered:
		c.finishReplay(reply)
	case control.ClaimPending:
		c.waitForOther()
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
	return fault.New(fault.Unknown, "state of the claim is not known").WithOutcome(fault.MayHaveRun)
}

// errAnswerLost is the outcome of a key whose call ran according to an
// operator. No response is known, and none will be.
func errAnswerLost() *fault.Error {
	return fault.New(fault.AnswerLost, "the call ran, but its answer was not recorded").
		WithField("idempotency_key").WithOutcome(fault.Answered)
}

func (c *onceCall) finishReplay(reply *wirepb.ClaimReply) {
	if reply.Response == nil {
		c.finish(nil, errAnswerLost())
		return
	}
	c.finish(c.replay(reply), nil)
}

func (c *onceCall) finish(result *wirepb.CallResponse, err error) {
	c.result, c.err = result, err
	close(c.finished)
}

// runWon dispatches the call. Only this attempt may do so, and only here.
func (c *onceCall) runWon() {
	a := c.agent
	ctx, cancel := context.WithTimeout(context.Background(), a.serviceTimeout(c.req.Service))
	response, err := a.dispatch(ctx, c.admitted.up, c.req, maxRecordedBody)
	cancel()
	c.admitted.freeSlot()
	switch {
	case err == nil:
		c.response = response
		close(c.answered)
		c.record()
		c.finish(response, nil)
	case fault.As(err).Outcome == fault.NotRun:
		c.finishNotRun(err)
	default:
		// The claim stays: nobody may run the call again.
		c.finish(nil, fault.As(err).WithOutcome(fault.MayHaveRun))
	}
}

// finishNotRun releases the claim of a call that was never sent.
func (c *onceCall) finishNotRun(err error) {
	reply := c.releaseClaim()
	if reply.GetStatus() == control.ClaimAbsent {
		c.finish(nil, fault.As(err).WithOutcome(fault.NotRun))
		return
	}
	c.follow(reply)
}

// waitForOther waits for the outcome of the attempt that holds the key, as long
// as the caller waits.
func (c *onceCall) waitForOther() {
	// This attempt has no outcome to record. Resends of a key that stays
	// pending must not keep other keys from running.
	c.admitted.freeSlot()
	c.freeRoom()
	until := c.agent.now().Add(min(callerTime(c.req), maxOtherWait))
	for {
		left := until.Sub(c.agent.now())
		if left <= 0 || c.isUnasked() {
			c.finish(nil, fault.New(fault.Unknown, "an earlier attempt has no outcome yet").WithOutcome(fault.MayHaveRun))
			return
		}
		reply := c.readClaim(min(left, readClaimWait))
		if reply.GetStatus() != control.ClaimPending {
			c.followOther(reply)
			return
		}
	}
}

func (c *onceCall) isUnasked() bool {
	select {
	case <-c.unasked:
		return true
	default:
		return false
	}
}

const (
	readClaimWait = time.Second
	// maxOtherWait bounds how long a resend occupies memory here.
	maxOtherWait = 30 * time.Second
)

func (c *onceCall) readClaim(wait time.Duration) *wirepb.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), wait+c.agent.set.ClaimTimeout)
	defer cancel()
	reply, err := c.agent.control.ReadClaim(ctx, c.claim, wait)
	if err != nil {
		return nil
	}
	return reply
}

// followOther ends a call whose key belonged to another attempt. It never
// dispatches: this attempt holds no claim.
func (c *onceCall) followOther(reply *wirepb.ClaimReply) {
	if reply.GetStatus() == control.ClaimWon {
		c.finish(nil, errClaimUnknown())
		return
	}
	c.follow(reply)
}
