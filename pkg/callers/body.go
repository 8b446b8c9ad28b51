package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// readBody reads the body within its bounds of size and time.
func (a *api) readBody(x *exchange, r *http.Request) ([]byte, error) {
	limit := a.opts.MaxBodyBytes
	if n := x.caller.Organisation.GetLimits().GetBodyBytes(); n > 0 {
		limit = int64(n)
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	// The server goes on reading to notice a disconnect; a deadline left in
	// place would look like one.
	_ = x.control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyError(err error, limit int64) error {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(limit)
	}
	return fault.Wrap(err, fault.Invalid, "request body was not received in time or was cut off").
		WithField("body").WithOutcome(fault.NotRun)
}

func tooLarge(limit int64) *fault.Error {
	return refuse("body", "request body is over the limit of %d bytes", limit)
}
