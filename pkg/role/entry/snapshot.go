package entry

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// snapshot is the state that request goroutines read. It is immutable, except
// that the table is updated in place; the table is safe for concurrent readers.
type snapshot struct {
	view  *control.View
	table *route.Table
	// entryCount is the number of entries that share the limits of the organisations.
	entryCount int
}

// confirmedSnapshot returns the latest snapshot, or a StaleConfig error if the
// configuration has not been confirmed as current within MaxConfigAge.
func (e *Entry) confirmedSnapshot() (*snapshot, error) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, e.staleConfigError("configuration was not received yet")
	}
	if age := e.opts.Now().Sub(e.opts.Control.Confirmed()); age > e.opts.Settings.MaxConfigAge {
		return nil, e.staleConfigError("configuration is not confirmed as current")
	}
	return s, nil
}

// staleRetryAfter is approximately the time in which the control replicas elect
// a leader and a watch confirms the configuration again.
const staleRetryAfter = 2 * time.Second

func (e *Entry) staleConfigError(reason string) *fault.Error {
	return fault.New(fault.StaleConfig, "%s", reason).
		WithOutcome(fault.NotRun).
		WithRetryAfter(staleRetryAfter)
}

// Ready returns nil if the entry can take new requests, and the reason as an
// error otherwise.
func (e *Entry) Ready() error {
	if e.shuttingDown.Load() {
		return fault.New(fault.Draining, "entry is shutting down")
	}
	if _, err := e.confirmedSnapshot(); err != nil {
		return err
	}
	if !e.warmedUp.Load() {
		return fault.New(fault.Unavailable, "load reports of the upstreams have not arrived yet")
	}
	return nil
}
