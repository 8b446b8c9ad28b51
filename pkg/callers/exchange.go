package callers

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// HTTP headers of the API.
const (
	headerRequestID             = "X-Request-Id"
	headerOutcome               = "Plantain-Outcome"
	headerDeadline              = "Plantain-Deadline-Ms"
	headerReplayed              = "Plantain-Replayed"
	headerRetryAfter            = "Retry-After"
	headerIdempotencyKey        = "Idempotency-Key"
	headerIdempotencyKeyCreated = "Idempotency-Key-Created"
)

// exchange holds a request's identity and the state of its response.
type exchange struct {
	w                  http.ResponseWriter
	controller         *http.ResponseController
	id                 string
	started            time.Time
	operation          string
	caller             Caller
	rank               wirepb.Rank
	outcome            fault.Outcome
	kind               fault.Kind
	headersSent        bool
	writeTimeout       time.Duration
	nextDeadlineUpdate time.Time
	body               *requestbody.Body // nil once it is released
	bodyErr            error             // why the body was refused
	log                logs.Logger
}

type exchangeKey struct{}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

func withExchange(r *http.Request, x *exchange) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
}

// extendWriteDeadline sets the deadline of the next write. It updates the deadline
// at most once a second, because a stream writes many small events.
func (x *exchange) extendWriteDeadline() {
	now := time.Now()
	if now.Before(x.nextDeadlineUpdate) {
		return
	}
	x.nextDeadlineUpdate = now.Add(time.Second)
	_ = x.controller.SetWriteDeadline(now.Add(x.writeTimeout))
}

// writeHeaders sends the status line and the headers, with the outcome known so
// far.
func (x *exchange) writeHeaders(status int, outcome fault.Outcome) {
	x.headersSent = true
	x.outcome = outcome
	x.extendWriteDeadline()
	x.w.Header().Set(headerOutcome, fault.OutcomeString(outcome))
	x.w.WriteHeader(status)
}

// writeResponse sends a whole response. Its Content-Length lets the caller detect
// truncation.
func (x *exchange) writeResponse(status int, body []byte) {
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHeaders(status, fault.Answered)
	if _, err := x.w.Write(body); err != nil {
		x.kind = fault.Cancelled
	}
}

// writeJSON sends a whole response with a JSON body.
func (x *exchange) writeJSON(status int, body any) {
	b, err := encodeJSON(body)
	if err != nil {
		x.sendError(err)
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.writeResponse(status, b)
}

// recordError records and logs the error that ends the exchange, and returns it
// with an outcome and a retry delay.
func (x *exchange) recordError(err error) *fault.Error {
	e := normalizeError(err)
	x.kind = e.Kind
	log := x.log.Debug
	switch e.Kind {
	case fault.Upstream, fault.Protocol, fault.UnknownOutcome, fault.Internal:
		log = x.log.Info
	}
	log("request failed", logs.Str("request", x.id), logs.Str("organisation", x.caller.Name()), logs.Err(err))
	return e
}

// sendError sends an error response.
func (x *exchange) sendError(err error) {
	e := x.recordError(err)
	b, encodeErr := encodeJSON(errorBody(e, x.id))
	if encodeErr != nil {
		x.w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	if s := retryAfterSeconds(e); s > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(s))
	}
	x.writeHeaders(httpStatus(e), e.Outcome)
	_, _ = x.w.Write(b)
}
