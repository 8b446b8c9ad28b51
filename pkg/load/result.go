package load

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Outcome is how a request ended, as the caller sees it.
type Outcome int

// Outcomes of a request.
const (
	Answered  Outcome = iota // complete
	NotRun                   // refused with the proof that it did not run
	Unknown                  // it may or may not have run
	Truncated                // an incomplete answer that is marked as such
	Wrong                    // an answer that differs from the reference, or is incomplete but presented as complete
	NotSent                  // over the bound of requests in progress
	outcomes  = iota
)

var outcomeNames = [outcomes]string{"answered", "not_run", "unknown", "truncated", "wrong", "not_sent"}

// String returns the name used in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the end of one request.
type Result struct {
	Arrival    *Arrival
	Outcome    Outcome
	Code       string          // error code, or what was wrong
	TokenTimes []time.Duration // first receipt of each token of the answer, from the start of the run
	EndedAt    time.Duration   // from the start of the run
	SendDelay  time.Duration   // delay of the send after the planned time
	Resends    int
}

// Codes of failures that the entry did not name.
const (
	codeDial       = "dial"
	codeConnection = "connection"
	codeTimeout    = "timeout"
	codeProtocol   = "protocol"
	codeReference  = "differs_from_reference"
	codeIncomplete = "incomplete_but_done"
	codeRepeated   = "ran_more_than_once"
	codeForeign    = "answer_of_another_request"
)

// failConnection sets the outcome of a request whose connection failed before
// an answer. A connection that was never made carried no request.
func (r *Result) failConnection(err error) {
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

// failNamed sets the outcome that the entry gave.
func (r *Result) failNamed(outcome, code string) {
	r.Code = code
	r.Outcome = Unknown
	if outcome == fault.OutcomeString(fault.NotRun) {
		r.Outcome = NotRun
	}
}
