// Package ctl implements the commands of plantainctl, the command line for
// operators.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// Exit codes of the command line.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitConflict       = 3
	ExitUnavailable    = 4
	ExitInvalid        = 5
	ExitUnconfirmed    = 6
	ExitUnknownOutcome = 7
)

// Settings are the settings of the command line.
type Settings struct {
	Addresses []string      `ini:"control.admin_addresses" required:"true" format:"address" help:"Admin addresses of the control replicas."`
	Token     string        `ini:"control.token" required:"true" min:"8" help:"Admin token of the operator."`
	Timeout   time.Duration `ini:"control.timeout" default:"15s" min:"100ms" max:"10m" help:"Longest time of one command."`
}

// App runs commands through the admin API and writes the results to Out, as JSON
// if JSON is set.
type App struct {
	Client *operators.Client
	Out    io.Writer
	JSON   bool
}

// New returns an App that uses the addresses and token of the settings.
func New(s Settings, out io.Writer, asJSON bool) *App {
	return &App{Client: &operators.Client{Addresses: s.Addresses, Token: s.Token}, Out: out, JSON: asJSON}
}

// LoadSettings reads the settings file at path.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	err := config.Load(path, &s)
	return s, err
}

// UnconfirmedError reports a change that was accepted but that some watchers did
// not confirm in time.
type UnconfirmedError struct {
	Revision     uint64
	Lagging      []string
	LaggingTotal int
}

// Error returns the revision, the number of lagging watchers and some of their
// hosts.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("revision %d is accepted but %d watchers have not confirmed it: %s",
		e.Revision, e.LaggingTotal, strings.Join(e.Lagging, ", "))
}

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return ExitUnconfirmed
	}
	var invalid *config.Error
	if errors.As(err, &invalid) {
		return ExitInvalid
	}
	switch e := fault.As(err); e.Kind {
	case fault.Conflict:
		return ExitConflict
	case fault.Invalid, fault.NotFound, fault.Unauthenticated, fault.Forbidden:
		return ExitInvalid
	case fault.Unavailable, fault.NotLeader, fault.Deadline, fault.UnknownOutcome:
		if e.Outcome == fault.NotRun {
			return ExitUnavailable
		}
		return ExitUnknownOutcome
	}
	return ExitFailure
}

// printReply writes a reply as JSON if a.JSON is set, otherwise by calling text.
func (a *App) printReply(reply any, text func(io.Writer)) error {
	if !a.JSON {
		text(a.Out)
		return nil
	}
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(reply); err != nil {
		return fault.Wrap(err, fault.Internal, "write JSON")
	}
	return nil
}

// Context returns a context that ends after the timeout of the settings.
func (s Settings) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.Timeout)
}
