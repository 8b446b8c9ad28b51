package operators

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// changes handles POST /v1/changes.
func (a *api) changes(r *request) (any, error) {
	req := &ChangeRequest{}
	if err := decodeChange(r.body, req); err != nil {
		a.service.RecordRefused(r.Context(), r.operator, err)
		return nil, err
	}
	return a.service.Apply(r.Context(), r.operator, req)
}

func decodeChange(body []byte, req *ChangeRequest) error {
	if len(body) == 0 {
		return fault.New(fault.Invalid, "body is missing").WithField("body").WithOutcome(fault.NotRun)
	}
	if err := decode(body, req); err != nil {
		return err
	}
	if err := checkRequestID(req.RequestID); err != nil {
		return err
	}
	for _, e := range req.Put {
		if e.Value == nil {
			return missing("put")
		}
	}
	for _, n := range req.Remove {
		if n.Value == nil {
			return missing("remove")
		}
	}
	return nil
}

// WaitTimeout returns how long an answer may be held for confirmations.
func (c *ChangeRequest) WaitTimeout() time.Duration {
	if c.WaitMS == 0 {
		return defaultWait
	}
	return min(time.Duration(c.WaitMS)*time.Millisecond, maxWait)
}

func missing(field string) error {
	return fault.New(fault.Invalid, "%s is missing", field).WithField(field).WithOutcome(fault.NotRun)
}

// maxRequestID bounds a request id in bytes. The log takes twice as many, for
// the steps of one request.
const maxRequestID = 128

func checkRequestID(id string) error {
	if id == "" {
		return missing("request_id")
	}
	if len(id) > maxRequestID {
		return fault.New(fault.Invalid, "request id is over %d bytes", maxRequestID).WithField("request_id").WithOutcome(fault.NotRun)
	}
	return nil
}
