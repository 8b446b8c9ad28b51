package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// callCost is the cost of a service call to the scheduler. A service has no
// tokens, so that every call counts the same.
const callCost = 1

// Call implements entry.Handler.
func (a *Agent) Call(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	started := a.now()
	var answer *wirepb.CallResponse
	var err error
	if req.Repeatable {
		answer, err = a.callRepeatable(ctx, req)
	} else {
		answer, err = a.callOnce(ctx, req)
	}
	a.metrics.finished("call", req.Rank, a.organisationLabel(req.Organisation), err, a.now().Sub(started))
	return answer, err
}

// callRepeatable runs a call that needs no claim.
func (a *Agent) callRepeatable(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	admitted, err := a.admitCall(ctx, req)
	if err != nil {
		return nil, err
	}
	defer admitted.release()
	ctx, cancel := context.WithTimeout(ctx, min(a.serviceTimeout(req.Service), callerTime(req)))
	defer cancel()
	return a.dispatch(ctx, admitted.up, req, 0)
}

// callerTime returns the time that the caller waits.
func callerTime(req *wirepb.CallRequest) time.Duration {
	if req.DeadlineMs == 0 {
		return maxCallerTime
	}
	return time.Duration(req.DeadlineMs) * time.Millisecond
}

// maxCallerTime is the wait of a caller that names no deadline.
const maxCallerTime = 10 * time.Minute

// admittedCall is a call that holds a slot.
type admittedCall struct {
	up   *upstreamView
	slot *slot
	done func()
}

// freeSlot lets other work run while the call waits for control.
func (c *admittedCall) freeSlot() { c.slot.release() }

// release ends the call. It is called once.
func (c *admittedCall) release() {
	c.slot.release()
	c.done()
}

// admitCall checks and queues a call. Its errors prove that this attempt did
// not run.
func (a *Agent) admitCall(ctx context.Context, req *wirepb.CallRequest) (*admittedCall, error) {
	done, up, err := a.admit()
	if err != nil {
		return nil, err
	}
	slot, err := a.queueCall(ctx, up, req)
	if err != nil {
		done()
		return nil, err
	}
	c := &admittedCall{up: a.upstream.view(), slot: slot, done: done}
	if c.up == nil {
		c.release()
		return nil, errNoUpstream()
	}
	return c, nil
}

func (a *Agent) queueCall(ctx context.Context, up *upstreamView, req *wirepb.CallRequest) (*slot, error) {
	if err := up.serves(req.Service); err != nil {
		return nil, err
	}
	return a.wait(ctx, work{
		organisation: req.Organisation,
		rank:         req.Rank,
		weight:       req.Weight,
		cost:         callCost,
		bytes:        len(req.Body) + len(req.Path),
		deadlineMS:   req.DeadlineMs,
	})
}

// serves refuses a service that the upstream does not offer.
func (u *upstreamView) serves(service string) error {
	for _, s := range u.announced.Services {
		if s == service {
			return nil
		}
	}
	return fault.New(fault.NotFound, "service %.64q is not offered here", service).WithField("service").WithOutcome(fault.NotRun)
}

func (a *Agent) serviceTimeout(service string) time.Duration {
	if v := a.control.View(); v != nil {
		if ms := v.Services[service].GetService().GetTimeoutMs(); ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return a.set.ServiceTimeout
}

// dispatch sends the call to the service once.
func (a *Agent) dispatch(ctx context.Context, up *upstreamView, req *wirepb.CallRequest, maxAnswer int64) (*wirepb.CallResponse, error) {
	call := &upstreams.ServiceCall{
		RequestID: req.RequestId, Key: req.IdempotencyKey, Organisation: req.Organisation,
		Method: req.Method, Path: req.Path, Body: req.Body, MaxResponseBytes: maxAnswer,
	}
	for _, h := range req.Headers {
		call.Headers = append(call.Headers, upstreams.Header{Name: h.Name, Value: h.Value})
	}
	answer, err := a.client.CallService(ctx, up.announced.Address, call)
	if err != nil {
		f := fault.As(err)
		a.noteUpstreamError(up, f, fault.NoStage)
		return nil, f
	}
	out := &wirepb.CallResponse{RequestId: req.RequestId, Status: uint32(answer.Status), Body: answer.Body}
	for _, h := range answer.Headers {
		out.Headers = append(out.Headers, &wirepb.Header{Name: h.Name, Value: h.Value})
	}
	return out, nil
}

// noteUpstreamError ejects the upstream when it refuses connections. Index is
// that of this agent's stage: errors of other stages do not count.
func (a *Agent) noteUpstreamError(up *upstreamView, f *fault.Error, index int) {
	if f.FailedStage == index && upstreams.IsConnectionRefused(f) {
		a.upstream.refused(up)
	}
}
