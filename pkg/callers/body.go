package callers

import (
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
)

// readBody reads the request body within the size limit, the read timeout and the memory that
// other bodies leave. The body is released when the exchange ends, unless it is before.
func (a *api) readBody(x *exchange, r *http.Request) ([]byte, error) {
	limit := a.opts.MaxBodyBytes
	if n := x.caller.Organisation.GetLimits().GetBodyBytes(); n > 0 {
		limit = int64(n)
	}
	// The deadline is the read deadline that startExchange has set.
	body, err := a.opts.Bodies.Read(x.w, r, limit, time.Time{})
	if err != nil {
		x.bodyErr = err
		x.w.Header().Set("Connection", "close")
		return nil, bodyError(err, limit)
	}
	x.body = body
	// The server keeps reading to detect a disconnect, so an expired read deadline
	// would be taken for one.
	_ = x.controller.SetReadDeadline(time.Time{})
	return body.Join(), nil
}

// releaseBody frees the body for others, once the exchange does not need it any more.
func (x *exchange) releaseBody() {
	x.body.Release()
	x.body = nil
}

// endBody ends the receipt of a body that was refused.
func (x *exchange) endBody(r *http.Request) {
	x.releaseBody()
	if x.bodyErr != nil && x.headersSent {
		requestbody.EndRefused(x.w, r, x.bodyErr)
	}
}

func bodyError(err error, limit int64) error {
	switch fault.KindOf(err) {
	case fault.Invalid:
		return invalidField("body", "request body is over the limit of %d bytes", limit)
	case fault.Cancelled:
		return fault.Wrap(err, fault.Invalid, "request body was not received in time or was cut off").
			WithField("body").WithOutcome(fault.NotRun)
	}
	return err
}
