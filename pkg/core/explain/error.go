package explain

import "github.com/plantainstair/plantainstair/pkg/fault"

// ErrorReply is the answer to a query that cannot be explained.
type ErrorReply struct {
	Error struct {
		Kind    fault.Kind `json:"kind"`
		Message string     `json:"message"`
		Field   string     `json:"field,omitempty"`
	} `json:"error"`
}

// NewErrorReply returns the answer for an error.
func NewErrorReply(e *fault.Error) ErrorReply {
	var r ErrorReply
	r.Error.Kind, r.Error.Message, r.Error.Field = e.Kind, e.Message, e.Field
	return r
}

// Err returns the error of the answer, nil if the answer states none.
func (r ErrorReply) Err() error {
	if r.Error.Kind == "" {
		return nil
	}
	return fault.New(r.Error.Kind, "%s", r.Error.Message).WithField(r.Error.Field).WithOutcome(fault.NotRun)
}
