package callers

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Headers of the API.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "Plantain-Outcome"
	headerDeadline   = "Plantain-Deadline-Ms"
	headerReplayed   = "Plantain-Replayed"
	headerRetryAfter = "Retry-After"
	headerKey        = "Idempotency-Key"
	headerKeyCreated = "Idempotency-Key-Created"
)

// exchange is one request and the state of its answer.
type exchange struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           string
	started      time.Time
	operation    string
	caller       Caller
	rank         wirepb.Rank
	outcome      fault.Outcome
	kind         fault.Kind
	headersSent  bool
	writeTimeout time.Duration
	nextExtend   time.Time
	log          logs.Logger
}

type exchangeKey struct{}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

func withExchange(r *http.Request, x *exchange) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
}

// extendWrite bounds the next write. The bound moves at most once a second,
// because a stream writes many small events.
func (x *exchange) extendWrite() {
	now := time.Now()
	if now.Before(x.nextExtend) {
		return
	}
	x.nextExtend = now.Add(time.Second)
	_ = x.control.SetWriteDeadline(now.Add(x.writeTimeout))
}

// sendHeaders sends the status line and headers with the outcome known so far.
func (x *exchange) sendHeaders(status int, outcome fault.Outcome) {
	x.headersSent = true
	x.outcome = outcome
	x.extendWrite()
	x.w.Header().Set(headerOutcome, fault.OutcomeString(outcome))
	x.w.WriteHeader(status)
}

// answer sends a whole answer. Its Content-Length lets the caller detect one
// that was cut off.
func (x *exchange) answer(status int, body []byte) {
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.sendHeaders(status, fault.Answered)
	if _, err := x.w.Write(body); err != nil {
		x.kind = fault.Cancelled
	}
}

// answerJSON sends a whole answer in JSON.
func (x *exchange) answerJSON(status int, body any) {
	b, err := encodeJSON(body)
	if err != nil {
		x.fail(err)
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.answer(status, b)
}

// failed records the error that ends the exchange.
func (x *exchange) failed(err error) *fault.Error {
	e := settle(err)
	x.kind = e.Kind
	log := x.log.Debug
	switch e.Kind {
	case fault.Upstream, fault.Protocol, fault.Unknown, fault.Internal:
		log = x.log.Info
	}
	log("request failed", logs.Str("request", x.id), logs.Str("organisation", x.caller.Name()), logs.Err(err))
	return e
}

// fail sends an error in place of an answer.
func (x *exchange) fail(err error) {
	e := x.failed(err)
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
	x.sendHeaders(statusOf(e), e.Outcome)
	_, _ = x.w.Write(b)
}
