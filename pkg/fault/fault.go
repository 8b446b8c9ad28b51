// Package fault defines the typed errors of plantainstair. Each error has a
// kind, which callers branch on and metrics use as a label, and an outcome,
// which states whether the request may have run.
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
	Conflict        Kind = "conflict"          // another change of the same base revision or key was accepted first
	Expired         Kind = "expired"           // idempotency key older than the claim horizon
	AnswerLost      Kind = "answer_lost"       // the call with this key ran, but its response was not recorded
	RateLimited     Kind = "rate_limited"      // over a limit of the organisation
	Overloaded      Kind = "overloaded"        // queue full
	Quarantined     Kind = "quarantined"       // the prompt has parts on which engines crash
	Deadline        Kind = "deadline_exceeded" // did not finish before the deadline, or cannot
	Unavailable     Kind = "unavailable"       // no upstream, leader or quorum available
	StaleConfig     Kind = "stale_config"      // configuration not confirmed as current
	StaleEpoch      Kind = "stale_epoch"       // rejected because a higher fencing epoch is known
	OutOfOrder      Kind = "out_of_order"      // position does not follow the last one
	Upstream        Kind = "upstream_failed"   // upstream failed or violated the protocol
	Protocol        Kind = "protocol"          // malformed or oversized frame, version mismatch
	Corrupt         Kind = "corrupt"           // checksum or format error in a file
	Disk            Kind = "disk"              // write or sync failed
	NotLeader       Kind = "not_leader"        // receiver is not the leader
	Cancelled       Kind = "cancelled"         // cancelled by the caller
	Preempted       Kind = "preempted"         // lost its slot to another request
	Draining        Kind = "draining"          // process is shutting down
	UnknownOutcome  Kind = "unknown_outcome"   // the request may have run
	Internal        Kind = "internal"          // bug or unexpected failure in this process
)

// Outcome states whether a request ran.
type Outcome = wirepb.Outcome

// Outcomes of a request.
const (
	Unspecified = wirepb.Outcome_OUTCOME_UNSPECIFIED
	Answered    = wirepb.Outcome_OUTCOME_ANSWERED
	NotRun      = wirepb.Outcome_OUTCOME_NOT_RUN
	MayHaveRun  = wirepb.Outcome_OUTCOME_UNKNOWN
)

// OutcomeString returns the name of an outcome in the public API.
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

// Error is the typed error that packages return for failures.
type Error struct {
	Kind        Kind
	Message     string
	Field       string // input field, file offset or setting that caused the error
	Outcome     Outcome
	RetryAfter  time.Duration
	FailedStage int    // zero-based index in the pipeline chain, or NoStage
	Position    uint32 // next token position of a generation that stopped part-way
	Leader      string // address of the leader, set with NotLeader
	Revision    uint64 // revision of the change that was accepted, set with Conflict
	cause       error
}

// NoStage is the FailedStage of an error that no stage of a chain caused.
const NoStage = -1

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), FailedStage: NoStage}
}

// Wrap returns an error of the given kind with err as its cause.
func Wrap(err error, kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.cause = err
	return e
}

// Error returns the kind, the message, the field and the cause.
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

// WithField sets the input field that caused the error and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter sets the delay after which the caller may retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithStage sets the zero-based index of the failed stage and returns e.
func (e *Error) WithStage(index int) *Error {
	e.FailedStage = index
	return e
}

// As returns the first *Error in the chain of err, or nil for nil. Any other
// error is wrapped in an *Error of kind Internal.
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

// KindOf returns the kind of err, or the empty kind for nil. An error without a
// kind counts as Internal.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return As(err).Kind
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// ToWire converts err to its wire message. The message includes the text of the
// cause.
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

// FromWire converts a wire message to an *Error.
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
