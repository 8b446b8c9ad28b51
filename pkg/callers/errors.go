package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// statusClientClosedRequest is the status of a request whose caller disconnected
// before the response. The caller does not receive it.
const statusClientClosedRequest = 499

// DefaultRetryAfter is the retry delay of retryable errors that specify none.
const DefaultRetryAfter = time.Second

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail extends OpenAI's error object with the outcome, the retry delay in
// milliseconds (zero if the error is not retryable) and the request ID.
type ErrorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         string  `json:"code"`
	Param        *string `json:"param"`
	Outcome      string  `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms"`
	RequestID    string  `json:"request_id"`
}

// normalizeError returns a copy of err with an outcome and a retry delay. An error
// without an outcome gets fault.MayHaveRun.
func normalizeError(err error) *fault.Error {
	e := *fault.As(err)
	if e.Outcome == fault.Unspecified {
		e.Outcome = fault.MayHaveRun
	}
	if !retryable(e.Kind) {
		e.RetryAfter = 0
	} else if e.RetryAfter <= 0 {
		e.RetryAfter = DefaultRetryAfter
	}
	return &e
}

// retryable reports whether the same request can succeed later. A retry is always
// safe: a chat request has no side effects, and a service call is either
// repeatable or protected by its idempotency key.
func retryable(k fault.Kind) bool {
	switch k {
	case fault.RateLimited, fault.Overloaded, fault.Deadline, fault.Unavailable, fault.StaleConfig,
		fault.StaleEpoch, fault.OutOfOrder, fault.Upstream, fault.Protocol, fault.Preempted, fault.Draining,
		fault.UnknownOutcome, fault.NotLeader, fault.Quarantined:
		return true
	}
	return false
}

// publicMessage returns the message for callers. Internal failures get a fixed
// message because their own may contain internal addresses; the log has the
// original message with the request ID.
func publicMessage(e *fault.Error) string {
	switch e.Kind {
	case fault.Unavailable:
		return "no upstream was able to answer"
	case fault.Upstream, fault.Protocol, fault.OutOfOrder, fault.StaleEpoch:
		return "an upstream failed"
	case fault.UnknownOutcome:
		return "the outcome of the call is not known"
	case fault.Internal:
		return "request failed"
	}
	return e.Message
}

// errorBody returns the response body for e. It excludes the causes of e.
func errorBody(e *fault.Error, requestID string) ErrorBody {
	d := ErrorDetail{
		Message:      publicMessage(e),
		Type:         openAIErrorType(e.Kind),
		Code:         string(e.Kind),
		Outcome:      fault.OutcomeString(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
	if e.Field != "" {
		d.Param = &e.Field
	}
	return ErrorBody{Error: d}
}

// openAIErrorType returns the OpenAI error type that is closest to k.
func openAIErrorType(k fault.Kind) string {
	switch k {
	case fault.Invalid, fault.NotFound, fault.Conflict, fault.Expired, fault.AnswerLost:
		return "invalid_request_error"
	case fault.Unauthenticated:
		return "authentication_error"
	case fault.Forbidden:
		return "permission_error"
	case fault.RateLimited:
		return "rate_limit_error"
	}
	return "server_error"
}

func httpStatus(e *fault.Error) int {
	switch e.Kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.Unauthenticated:
		return http.StatusUnauthorized
	case fault.Forbidden:
		return http.StatusForbidden
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	case fault.Expired, fault.AnswerLost:
		return http.StatusGone
	case fault.RateLimited:
		return http.StatusTooManyRequests
	case fault.Overloaded, fault.Unavailable, fault.StaleConfig, fault.Preempted, fault.Draining, fault.NotLeader, fault.Quarantined:
		return http.StatusServiceUnavailable
	case fault.Deadline:
		return http.StatusGatewayTimeout
	case fault.Upstream, fault.Protocol, fault.UnknownOutcome, fault.StaleEpoch, fault.OutOfOrder:
		return http.StatusBadGateway
	case fault.Cancelled:
		return statusClientClosedRequest
	}
	return http.StatusInternalServerError
}

// retryAfterSeconds rounds up, so that a caller does not retry too early.
func retryAfterSeconds(e *fault.Error) int {
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}

func encodeJSON(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode answer")
	}
	return b, nil
}

// invalidField returns an error for an invalid field of a request that was not run.
func invalidField(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, format, args...).WithField(field).WithOutcome(fault.NotRun)
}
