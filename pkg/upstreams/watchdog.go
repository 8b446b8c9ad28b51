package upstreams

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// watchdog cancels an exchange when the upstream stays silent.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// newWatchdog allows first until the first reset and limit after each.
func newWatchdog(first, limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	timer := time.AfterFunc(first, func() {
		cancel(fault.New(fault.Upstream, "upstream is silent").WithOutcome(fault.MayHaveRun))
	})
	return &watchdog{timer: timer, limit: limit}
}

func (w *watchdog) reset()                 { w.timer.Reset(w.limit) }
func (w *watchdog) extend(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) stop()                  { w.timer.Stop() }
