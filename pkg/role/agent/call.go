package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// callCost is the scheduler cost of a service call. Service calls have no
// tokens, so all of them cost the same.
const callCost = 1

// Call implements entry.Handler.
func (a *Agent) Call(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	started := a.now()
	var answer *wirepb.CallResponse
	var err error
	if req.Repeatable {
		answer, err = a.callRepeatable(ctx, req)
	} else {
		answer, err = a.callAtMostOnce(ctx, req)
	}
	a.metrics.recordRequest("call", req.Rank, a.organisationLabel(req.Organisation), err, a.now().Sub(started))
	return answer, err
}

// callRepeatable runs a call that needs no claim.
func (a *Agent) callRepeatable(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	admitted, err := a.admitCall(ctx, req)
	if err != nil {
		return nil, err
	}
	defer admitted.release()
	ctx, cancel := context.WithTimeout(ctx, min(a.serviceTimeout(req.Service), callerTimeout(req)))
	defer cancel()
	return a.sendCall(ctx, admitted.up, req, 0)
}

// callerTimeout returns how long the caller waits for the answer.
func callerTimeout(req *wirepb.CallRequest) time.Duration {
	if req.DeadlineMs == 0 {
		return maxCallerTimeout
	}
	return time.Duration(req.DeadlineMs) * time.Millisecond
}

// maxCallerTimeout is the timeout of a caller that names no deadline.
const maxCallerTimeout = 10 * time.Minute

// admittedCall is a call that holds a slot.
type admittedCall struct {
	up   *upstreamSnapshot
	slot *slot
	done func()
}

// freeSlot releases the slot while the call waits for control, so that other
// work can run.
func (c *admittedCall) freeSlot() { c.slot.release() }

// release frees the slot and ends the call. It is called once.
func (c *admittedCall) release() {
	c.slot.release()
	c.done()
}

// admitCall checks a call and waits for a slot. Its errors mean that this
// attempt did not run.
func (a *Agent) admitCall(ctx context.Context, req *wirepb.CallRequest) (*admittedCall, error) {
	done, up, err := a.admit()
	if err != nil {
		return nil, err
	}
	slot, err := a.acquireCallSlot(ctx, up, req)
	if err != nil {
		done()
		return nil, err
	}
	c := &admittedCall{slot: slot, done: done}
	if c.up, err = a.takingUpstream(); err != nil {
		c.release()
		return nil, err
	}
	return c, nil
}

func (a *Agent) acquireCallSlot(ctx context.Context, up *upstreamSnapshot, req *wirepb.CallRequest) (*slot, error) {
	if err := up.checkService(req.Service); err != nil {
		return nil, err
	}
	return a.acquireSlot(ctx, workItem{
		organisation: req.Organisation,
		rank:         req.Rank,
		weight:       req.Weight,
		cost:         callCost,
		bytes:        len(req.Body) + len(req.Path),
		timeoutMs:    req.DeadlineMs,
	})
}

// checkService refuses a service that the upstream does not offer.
func (u *upstreamSnapshot) checkService(service string) error {
	for _, s := range u.announced.Services {
		if s == service {
			return nil
		}
	}
	return fault.New(fault.NotFound, "service %.64q is not offered by this upstream", service).WithField("service").WithOutcome(fault.NotRun)
}

func (a *Agent) serviceTimeout(service string) time.Duration {
	if v := a.control.View(); v != nil {
		if ms := v.Services[service].GetService().GetTimeoutMs(); ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return a.settings.DefaultServiceTimeout
}

// sendCall sends the call to the service once.
func (a *Agent) sendCall(ctx context.Context, up *upstreamSnapshot, req *wirepb.CallRequest, maxAnswerBytes int64) (*wirepb.CallResponse, error) {
	call := &upstreams.ServiceCall{
		RequestID: req.RequestId, Key: req.IdempotencyKey, Organisation: req.Organisation,
		Method: req.Method, Target: req.Path, Body: req.Body, MaxResponseBytes: maxAnswerBytes,
	}
	for _, h := range req.Headers {
		call.Headers = append(call.Headers, upstreams.Header{Name: h.Name, Value: h.Value})
	}
	answer, err := a.client.CallService(ctx, up.announced.Address, call)
	if err != nil {
		f := fault.As(err)
		a.ejectUnreachableUpstream(up, f, fault.NoStage)
		return nil, f
	}
	out := &wirepb.CallResponse{RequestId: req.RequestId, Status: uint32(answer.Status), Body: answer.Body}
	for _, h := range answer.Headers {
		out.Headers = append(out.Headers, &wirepb.Header{Name: h.Name, Value: h.Value})
	}
	return out, nil
}

// ejectUnreachableUpstream ejects the upstream when f says that it refused a
// connection. Index is that of this agent's stage; errors of other stages are
// ignored.
func (a *Agent) ejectUnreachableUpstream(up *upstreamSnapshot, f *fault.Error, index int) {
	if f.FailedStage == index && upstreams.IsConnectionRefused(f) {
		a.upstream.ejectIfCurrent(up)
	}
}
