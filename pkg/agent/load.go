package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Timing of load watches.
const (
	ReportInterval = 100 * time.Millisecond
	// secondLook is kept back from EjectAfter. Reports that arrived while this
	// process was paused are read in it before the agent is given up.
	secondLook      = 150 * time.Millisecond
	followMinDelay  = 50 * time.Millisecond
	followMaxDelay  = time.Second
	pingEachReports = 10
)

// WatchLoad passes the load reports of the agent at addr to onReport until the
// stream fails, ctx ends or no report arrives for EjectAfter.
func (c *Client) WatchLoad(ctx context.Context, addr string, onReport func(*wirepb.LoadReport)) error {
	watch := &wirepb.LoadWatch{IntervalMs: uint32(ReportInterval / time.Millisecond)}
	k, err := c.start(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_LoadWatch{LoadWatch: watch}})
	if err != nil {
		return err
	}
	defer k.close()
	for {
		f, err := k.readReport()
		if err != nil {
			return err
		}
		report := f.GetLoadReport()
		if report == nil {
			return k.unexpected(f)
		}
		onReport(report)
	}
}

// readReport reads one frame within EjectAfter.
func (k *call) readReport() (*wirepb.Frame, error) {
	k.extend(EjectAfter - secondLook)
	started := time.Now()
	f, err := k.read()
	if err == nil || time.Since(started) < EjectAfter-secondLook {
		return f, err
	}
	k.extend(secondLook)
	return k.read()
}

// Follow keeps a load watch on the agent at addr until ctx ends. When the
// watch fails, the session is dropped if the agent fell silent, which ends
// every stream to it at once. onRoundTrip receives measured round trips.
// Reports are withheld while a ping is unanswered for SuspectAfter.
func (c *Client) Follow(ctx context.Context, addr string, onReport func(*wirepb.LoadReport), onRoundTrip func(time.Duration)) {
	backoff := followMinDelay
	p := &pinger{client: c, addr: addr, onRoundTrip: onRoundTrip}
	for ctx.Err() == nil {
		got := 0
		last := time.Now()
		err := c.WatchLoad(ctx, addr, func(r *wirepb.LoadReport) {
			got++
			last = time.Now()
			p.after(ctx, got)
			// Reports prove one direction only. Behind a link that carries
			// nothing towards the agent it would look alive and get work.
			if !p.overdue() {
				onReport(r)
			}
		})
		if ctx.Err() != nil {
			return
		}
		if time.Since(last) >= EjectAfter-secondLook && fault.Is(err, fault.Unavailable) {
			c.Drop(addr)
		}
		if got > 0 {
			backoff = followMinDelay
		}
		delay.Wait(ctx, delay.Jitter(backoff))
		backoff = min(2*backoff, followMaxDelay)
	}
}

// pinger measures the round trip now and then, one ping at a time.
type pinger struct {
	client      *Client
	addr        string
	onRoundTrip func(time.Duration)
	sent        atomic.Pointer[time.Time] // of the ping on its way, or nil
}

// overdue reports whether a ping has no answer for so long that the agent is
// suspect.
func (p *pinger) overdue() bool {
	sent := p.sent.Load()
	return sent != nil && time.Since(*sent) >= SuspectAfter
}

func (p *pinger) after(ctx context.Context, reports int) {
	if reports%pingEachReports != 1 {
		return
	}
	now := time.Now()
	if !p.sent.CompareAndSwap(nil, &now) {
		return
	}
	go func() {
		defer p.sent.Store(nil)
		s, err := p.client.pool.Session(ctx, p.addr)
		if err != nil {
			return
		}
		if d, err := s.MeasureRTT(); err == nil && ctx.Err() == nil {
			p.onRoundTrip(d)
		}
	}()
}
