package operators

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

var statusByKind = map[fault.Kind]int{
	fault.Invalid:         http.StatusBadRequest,
	fault.Unauthenticated: http.StatusUnauthorized,
	fault.Forbidden:       http.StatusForbidden,
	fault.NotFound:        http.StatusNotFound,
	fault.Conflict:        http.StatusConflict,
	fault.StaleEpoch:      http.StatusConflict,
	fault.Expired:         http.StatusGone,
	fault.AnswerLost:      http.StatusGone,
	fault.RateLimited:     http.StatusTooManyRequests,
	fault.Overloaded:      http.StatusServiceUnavailable,
	fault.Unavailable:     http.StatusServiceUnavailable,
	fault.NotLeader:       http.StatusServiceUnavailable,
	fault.Draining:        http.StatusServiceUnavailable,
	fault.Deadline:        http.StatusGatewayTimeout,
	fault.UnknownOutcome:  http.StatusGatewayTimeout,
	fault.Upstream:        http.StatusBadGateway,
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		code = http.StatusInternalServerError
		b, _ = json.Marshal(errorReply(fault.Wrap(err, fault.Internal, "encode answer")))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(b, '\n'))
}

func errorReply(e *fault.Error) ErrorReply {
	return ErrorReply{Error: ErrorBody{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Field:        e.Field,
		Outcome:      fault.OutcomeString(e.Outcome),
		RetryAfterMs: uint64(e.RetryAfter / time.Millisecond),
		Revision:     e.Revision,
	}}
}

func writeError(w http.ResponseWriter, err error) {
	e := fault.As(err)
	code, ok := statusByKind[e.Kind]
	if !ok {
		code = http.StatusInternalServerError
	}
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, code, errorReply(e))
}

// decode parses a body that holds exactly one JSON value. Unknown fields are an
// error; an empty body leaves v unchanged.
func decode(body []byte, v any) error {
	if len(body) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return bodyError(err, d.InputOffset())
	}
	if _, err := d.Token(); err != io.EOF {
		return bodyError(err, d.InputOffset())
	}
	return nil
}

func bodyError(err error, offset int64) error {
	message := "text after the JSON value"
	if err != nil {
		message = err.Error()
	}
	return fault.New(fault.Invalid, "body at offset %d: %s", offset, message).WithField("body").WithOutcome(fault.NotRun)
}

// queryUint returns the unsigned integer in a query parameter, or fallback if
// the parameter is missing or empty.
func queryUint(r *request, name string, fallback, limit uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v > limit {
		return 0, fault.New(fault.Invalid, "%q is not a number up to %d", text, limit).WithField(name).WithOutcome(fault.NotRun)
	}
	return v, nil
}
