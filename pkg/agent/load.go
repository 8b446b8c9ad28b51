package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Timing of load watches and pings.
const (
	// LoadReportInterval is the interval that a load watch requests.
	LoadReportInterval = 100 * time.Millisecond
	// finalReadTimeout is the last part of EjectAfter. After the first read has
	// timed out, a second read with this timeout picks up reports that arrived
	// while this process was paused.
	finalReadTimeout = 150 * time.Millisecond
	minWatchBackoff  = 50 * time.Millisecond
	maxWatchBackoff  = time.Second
	reportsPerPing   = 10
)

// WatchLoad calls onReport with each load report of the agent at addr until the
// stream fails, ctx ends or no report arrives for EjectAfter. It returns the
// error that ended the watch.
func (c *Client) WatchLoad(ctx context.Context, addr string, onReport func(*wirepb.LoadReport)) error {
	watch := &wirepb.LoadWatch{IntervalMs: uint32(LoadReportInterval / time.Millisecond)}
	rs, err := c.sendRequest(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_LoadWatch{LoadWatch: watch}})
	if err != nil {
		return err
	}
	defer rs.close()
	for {
		f, err := rs.readReport()
		if err != nil {
			return err
		}
		report := f.GetLoadReport()
		if report == nil {
			return rs.unexpectedFrame(f)
		}
		onReport(report)
	}
}

// readReport reads one frame within EjectAfter, which is divided between two
// reads.
func (rs *requestStream) readReport() (*wirepb.Frame, error) {
	rs.extendReadDeadline(EjectAfter - finalReadTimeout)
	started := time.Now()
	f, err := rs.read()
	if err == nil || time.Since(started) < EjectAfter-finalReadTimeout {
		return f, err
	}
	rs.extendReadDeadline(finalReadTimeout)
	return rs.read()
}

// Monitor watches the load of the agent at addr until ctx ends and restarts the
// watch with backoff when it fails. If the agent sent no report for EjectAfter,
// Monitor closes the session, which ends all streams to the agent at once. It
// calls onRoundTrip with measured round-trip times, and does not call onReport
// while a ping has been unanswered for SuspectAfter.
func (c *Client) Monitor(ctx context.Context, addr string, onReport func(*wirepb.LoadReport), onRoundTrip func(time.Duration)) {
	backoff := minWatchBackoff
	p := &pinger{client: c, addr: addr, onRoundTrip: onRoundTrip}
	for ctx.Err() == nil {
		got := 0
		last := time.Now()
		err := c.WatchLoad(ctx, addr, func(r *wirepb.LoadReport) {
			got++
			last = time.Now()
			p.afterReport(ctx, got)
			// A report proves only that the agent can reach this process. If
			// nothing reaches the agent, it must not appear alive and get work.
			if !p.overdue() {
				onReport(r)
			}
		})
		if ctx.Err() != nil {
			return
		}
		if time.Since(last) >= EjectAfter-finalReadTimeout && fault.Is(err, fault.Unavailable) {
			c.CloseSession(addr)
		}
		if got > 0 {
			backoff = minWatchBackoff
		}
		delay.Wait(ctx, delay.Jitter(backoff))
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// pinger measures the round-trip time every reportsPerPing reports. It has at
// most one ping in flight.
type pinger struct {
	client       *Client
	addr         string
	onRoundTrip  func(time.Duration)
	pendingSince atomic.Pointer[time.Time] // start of the ping in flight, or nil
}

// overdue reports whether a ping has been unanswered for SuspectAfter.
func (p *pinger) overdue() bool {
	pendingSince := p.pendingSince.Load()
	return pendingSince != nil && time.Since(*pendingSince) >= SuspectAfter
}

func (p *pinger) afterReport(ctx context.Context, reports int) {
	if reports%reportsPerPing != 1 {
		return
	}
	now := time.Now()
	if !p.pendingSince.CompareAndSwap(nil, &now) {
		return
	}
	go func() {
		defer p.pendingSince.Store(nil)
		s, err := p.client.pool.Session(ctx, p.addr)
		if err != nil {
			return
		}
		if d, err := s.MeasureRTT(); err == nil && ctx.Err() == nil {
			p.onRoundTrip(d)
		}
	}()
}
