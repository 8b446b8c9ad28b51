package load

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Outcome is the result of a request as observed by the caller.
type Outcome int

// Outcomes of a request.
const (
	Answered     Outcome = iota // a complete answer
	NotRun                      // refused, and known not to have been executed
	Unknown                     // may or may not have been executed
	Truncated                   // an incomplete answer that the caller can recognise as incomplete
	Wrong                       // an answer that differs from the expected one, or an incomplete one presented as complete
	NotSent                     // not sent because too many requests were in progress
	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{"answered", "not_run", "unknown", "truncated", "wrong", "not_sent"}

// String returns the name of the outcome in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Result describes how one request ended.
type Result struct {
	Arrival    *Arrival
	Outcome    Outcome
	Code       string          // error code of the entry, or one of the codes below
	TokenTimes []time.Duration // receipt of each token relative to the start of the run; repeated tokens are not counted
	EndedAt    time.Duration   // relative to the start of the run
	SendDelay  time.Duration   // delay of the send after the scheduled time
	Resends    int
}

// Codes of failures for which the entry returned no error code.
const (
	codeDial              = "dial"
	codeConnection        = "connection"
	codeTimeout           = "timeout"
	codeProtocol          = "protocol"
	codeReferenceMismatch = "differs_from_reference"
	codeIncomplete        = "incomplete_but_done"
	codeRepeatedExecution = "ran_more_than_once"
	codeOtherRequest      = "answer_of_another_request"
)

// setConnectionFailure sets the outcome of a request whose connection failed
// before it was answered. If dialing failed, the request was never sent.
func (r *Result) setConnectionFailure(err error) {
	var op *net.OpError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		r.Outcome, r.Code = NotRun, codeDial
	case errors.As(err, &timeout) && timeout.Timeout():
		r.Outcome, r.Code = Unknown, codeTimeout
	default:
		r.Outcome, r.Code = Unknown, codeConnection
	}
}

// setReportedFailure sets the outcome and code that the entry reported.
func (r *Result) setReportedFailure(outcome, code string) {
	r.Code = code
	r.Outcome = Unknown
	if outcome == fault.OutcomeString(fault.NotRun) {
		r.Outcome = NotRun
	}
}
