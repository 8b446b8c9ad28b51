package operators

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// orders handles POST /v1/orders.
func (a *api) orders(r *request) (any, error) {
	req := &OrderRequest{}
	if err := decode(r.body, req); err != nil {
		return nil, err
	}
	if err := req.validate(); err != nil {
		return nil, err
	}
	return a.service.Order(r.Context(), r.operator, req)
}

// drain handles POST /v1/upstreams/{host}/drain.
func (a *api) drain(r *request) (any, error) {
	body := &DrainRequest{}
	if err := decode(r.body, body); err != nil {
		return nil, err
	}
	req := &OrderRequest{
		RequestID: body.RequestID,
		Host:      r.PathValue("host"),
		Order:     Order{Value: &wirepb.Order{Action: "drain"}},
		TimeoutMs: body.TimeoutMs,
	}
	if err := req.validate(); err != nil {
		return nil, err
	}
	return a.service.Order(r.Context(), r.operator, req)
}

func (o *OrderRequest) validate() error {
	if err := checkRequestID(o.RequestID); err != nil {
		return err
	}
	if o.Host == "" {
		return missingField("host")
	}
	if o.Order.Value == nil {
		return missingField("order")
	}
	if o.Order.Value.Id != "" || o.Order.Value.Epoch != 0 {
		err := fault.New(fault.Invalid, "the control process sets id and epoch")
		return err.WithField("order.epoch").WithOutcome(fault.NotRun)
	}
	return nil
}

// Timeout returns how long the response waits for the upstream to carry out the
// order.
func (o *OrderRequest) Timeout() time.Duration { return effectiveOrderTimeout(o.TimeoutMs) }

func effectiveOrderTimeout(ms uint32) time.Duration {
	if ms == 0 {
		return defaultOrderTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxOrderTimeout)
}
