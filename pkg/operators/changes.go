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
			return missingField("put")
		}
	}
	for _, n := range req.Remove {
		if n.Value == nil {
			return missingField("remove")
		}
	}
	return nil
}

// WaitTimeout returns how long the response waits for the watchers to confirm
// the revision.
func (c *ChangeRequest) WaitTimeout() time.Duration {
	if c.WaitMs == 0 {
		return defaultConfirmationWait
	}
	return min(time.Duration(c.WaitMs)*time.Millisecond, maxConfirmationWait)
}

func missingField(field string) error {
	return fault.New(fault.Invalid, "%s is missing", field).WithField(field).WithOutcome(fault.NotRun)
}

// maxRequestIDBytes limits a request ID. The Raft log accepts IDs of twice this
// length, because a request of several steps proposes each step under an ID
// derived from its own.
const maxRequestIDBytes = 128

func checkRequestID(id string) error {
	if id == "" {
		return missingField("request_id")
	}
	if len(id) > maxRequestIDBytes {
		return fault.New(fault.Invalid, "request id is over %d bytes", maxRequestIDBytes).WithField("request_id").WithOutcome(fault.NotRun)
	}
	return nil
}
