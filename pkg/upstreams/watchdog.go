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

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	timer := time.AfterFunc(limit, func() {
		cancel(fault.New(fault.Upstream, "upstream was silent for %v", limit).WithOutcome(fault.MayHaveRun))
	})
	return &watchdog{timer: timer, limit: limit}
}

func (w *watchdog) reset()                 { w.timer.Reset(w.limit) }
func (w *watchdog) extend(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) pause()                 { w.timer.Stop() }
func (w *watchdog) stop()                  { w.timer.Stop() }
