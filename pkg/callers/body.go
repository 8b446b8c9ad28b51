package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// readBody reads the request body within the size limit and the read timeout.
func (a *api) readBody(x *exchange, r *http.Request) ([]byte, error) {
	limit := a.opts.MaxBodyBytes
	if n := x.caller.Organisation.GetLimits().GetBodyBytes(); n > 0 {
		limit = int64(n)
	}
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	// The server keeps reading to detect a disconnect, so an expired read deadline
	// would be taken for one.
	_ = x.controller.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyError(err error, limit int64) error {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return bodyTooLarge(limit)
	}
	return fault.Wrap(err, fault.Invalid, "request body was not received in time or was cut off").
		WithField("body").WithOutcome(fault.NotRun)
}

func bodyTooLarge(limit int64) *fault.Error {
	return invalidField("body", "request body is over the limit of %d bytes", limit)
}
