package entry

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// snapshot is what traffic goroutines read. It is immutable; the table is
// updated in place and safe for concurrent readers.
type snapshot struct {
	view  *control.View
	table *route.Table
}

// current returns the snapshot if the configuration is confirmed as current.
func (e *Entry) current() (*snapshot, error) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, e.stale("configuration was not received yet")
	}
	if age := e.opts.Now().Sub(e.opts.Control.Confirmed()); age > e.opts.Settings.ConfigGrace {
		return nil, e.stale("configuration is not confirmed as current")
	}
	return s, nil
}

// staleRetryAfter is about the time in which control elects a leader and a
// watcher confirms again.
const staleRetryAfter = 2 * time.Second

func (e *Entry) stale(reason string) *fault.Error {
	return fault.New(fault.StaleConfig, "%s", reason).
		WithOutcome(fault.NotRun).
		WithRetryAfter(staleRetryAfter)
}

// Ready reports why the entry cannot take work.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return fault.New(fault.Draining, "entry is shutting down")
	}
	if _, err := e.current(); err != nil {
		return err
	}
	if !e.warm.Load() {
		return fault.New(fault.Unavailable, "load reports of the upstreams have not arrived yet")
	}
	return nil
}
