// Package fault defines the typed errors of plantainstair. Each error has a
// kind that callers and metrics switch on, and an outcome that tells what is
// known about the execution of the request.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Kind classifies an error.
type Kind string

// Kinds of errors. The strings are part of the public API.
const (
	Invalid         Kind = "invalid"           // malformed or out-of-range input
	Unauthenticated Kind = "unauthenticated"   // missing or unknown credentials
	Forbidden       Kind = "forbidden"         // known caller without the right
	NotFound        Kind = "not_found"         // no such model, service or entry
	Conflict        Kind = "conflict"          // lost a race on a revision or key
	Expired         Kind = "expired"           // idempotency key outside the horizon
	AnswerLost      Kind = "answer_lost"       // the call of the key ran, its answer was not recorded
	RateLimited     Kind = "rate_limited"      // over the organisation's limit
	Overloaded      Kind = "overloaded"        // queue full
	Deadline        Kind = "deadline_exceeded" // cannot finish or did not finish in time
	Unavailable     Kind = "unavailable"       // no upstream, leader or quorum to serve
	StaleConfig     Kind = "stale_config"      // configuration not confirmed as current
	StaleEpoch      Kind = "stale_epoch"       // fenced by a higher epoch
	OutOfOrder      Kind = "out_of_order"      // position is not the next one
	Upstream        Kind = "upstream_failed"   // upstream failed or answered out of protocol
	Protocol        Kind = "protocol"          // malformed or oversized frame, version mismatch
	Corrupt         Kind = "corrupt"           // checksum or format error in a file
	Disk            Kind = "disk"              // write or sync failed
	NotLeader       Kind = "not_leader"        // receiver is not the leader
	Cancelled       Kind = "cancelled"         // cancelled by the caller
	Preempted       Kind = "preempted"         // lost its slot to other work
	Draining        Kind = "draining"          // process is shutting down
	Unknown         Kind = "unknown_outcome"   // the request may or may not have run
	Internal        Kind = "internal"          // fault in this process
)

// Outcome tells what is known about the execution of a request.
type Outcome = wirepb.Outcome

// Outcomes of a request.
const (
	Unspecified = wirepb.Outcome_OUTCOME_UNSPECIFIED
	Answered    = wirepb.Outcome_OUTCOME_ANSWERED
	NotRun      = wirepb.Outcome_OUTCOME_NOT_RUN
	MayHaveRun  = wirepb.Outcome_OUTCOME_UNKNOWN
)

// OutcomeString returns the public name of an outcome.
func OutcomeString(o Outcome) string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Error is the error type of every failure.
type Error struct {
	Kind        Kind
	Message     string
	Field       string // input field, file offset or setting at fault
	Outcome     Outcome
	RetryAfter  time.Duration
	FailedStage int // index in the chain, or NoStage
	Position    uint32
	Leader      string
	Revision    uint64
	cause       error
}

// NoStage marks an error that no stage of a chain caused.
const NoStage = -1

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), FailedStage: NoStage}
}

// Wrap returns an error of the given kind caused by err.
func Wrap(err error, kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.cause = err
	return e
}

// Error implements error.
func (e *Error) Error() string {
	msg := string(e.Kind) + ": " + e.Message
	if e.Field != "" {
		msg += " (" + e.Field + ")"
	}
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// WithField names the input field at fault.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithOutcome sets the outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter sets the delay after which a retry is safe and sensible.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithStage sets the failed stage of a chain.
func (e *Error) WithStage(index int) *Error {
	e.FailedStage = index
	return e
}

// As returns err as an *Error. An error of another type becomes Internal.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// KindOf returns the kind of err, or the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return As(err).Kind
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// ToWire converts err for a frame.
func ToWire(err error) *wirepb.Error {
	e := As(err)
	if e == nil {
		return nil
	}
	msg := e.Message
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return &wirepb.Error{
		Kind:         string(e.Kind),
		Message:      msg,
		Field:        e.Field,
		Outcome:      e.Outcome,
		RetryAfterMs: uint32(e.RetryAfter / time.Millisecond),
		FailedStage:  uint32(e.FailedStage + 1),
		Position:     e.Position,
		Leader:       e.Leader,
		Revision:     e.Revision,
	}
}

// FromWire converts an error received in a frame.
func FromWire(w *wirepb.Error) *Error {
	if w == nil {
		return nil
	}
	return &Error{
		Kind:        Kind(w.Kind),
		Message:     w.Message,
		Field:       w.Field,
		Outcome:     w.Outcome,
		RetryAfter:  time.Duration(w.RetryAfterMs) * time.Millisecond,
		FailedStage: int(w.FailedStage) - 1,
		Position:    w.Position,
		Leader:      w.Leader,
		Revision:    w.Revision,
	}
}
