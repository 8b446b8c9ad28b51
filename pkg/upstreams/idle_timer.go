package upstreams

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// idleTimer cancels an exchange when the upstream sends nothing for too long.
type idleTimer struct {
	timer *time.Timer
	limit time.Duration
}

// newIdleTimer returns a running timer that expires after first, and after
// limit from each reset.
func newIdleTimer(first, limit time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	timer := time.AfterFunc(first, func() {
		cancel(fault.New(fault.Upstream, "upstream is silent").WithOutcome(fault.MayHaveRun))
	})
	return &idleTimer{timer: timer, limit: limit}
}

func (t *idleTimer) reset()                  { t.timer.Reset(t.limit) }
func (t *idleTimer) resetTo(d time.Duration) { t.timer.Reset(d) }
func (t *idleTimer) stop()                   { t.timer.Stop() }
