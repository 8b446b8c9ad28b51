package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// lossReportSpacing is the least time between two loss reports, so that the streams that
	// one loss interrupts share a report.
	lossReportSpacing = 20 * time.Millisecond
	// lossRepeatDelay is the least time between two reports of the same engine.
	lossRepeatDelay = 200 * time.Millisecond
	// lossReportTimeout limits one report. A later report repeats it if the loss persists.
	lossReportTimeout = 250 * time.Millisecond
	// maxPendingLosses bounds the engines in a report, and maxRecentLosses those whose last
	// report is remembered.
	maxPendingLosses = 64
	maxRecentLosses  = 1024
)

// lossReports collects the engines that may be lost until they are reported.
type lossReports struct {
	changed chan struct{} // signals that there is something to report

	mu      sync.Mutex
	pending []*wirepb.EngineLoss
	recent  map[suspicion.Process]time.Time // when each engine was last recorded
}

func newLossReports() *lossReports {
	return &lossReports{changed: make(chan struct{}, 1), recent: make(map[suspicion.Process]time.Time)}
}

// record adds the engine of a stage to the next report, unless it was recorded a short time
// ago.
func (l *lossReports) record(now time.Time, p path.PipelineStage, cause wirepb.LossCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := suspicion.Process{ID: p.ID, StartUnixMs: p.StartUnixMs}
	if at, ok := l.recent[k]; ok && now.Sub(at) < lossRepeatDelay {
		return
	}
	if len(l.pending) >= maxPendingLosses || len(l.recent) >= maxRecentLosses {
		return
	}
	l.recent[k] = now
	l.pending = append(l.pending, &wirepb.EngineLoss{InstanceId: p.ID, BornUnixMs: p.StartUnixMs, Cause: cause})
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// take returns the engines to report and forgets them.
func (l *lossReports) take(now time.Time) []*wirepb.EngineLoss {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, at := range l.recent {
		if now.Sub(at) >= lossRepeatDelay {
			delete(l.recent, k)
		}
	}
	out := l.pending
	l.pending = nil
	return out
}

// recordRefusalBy records the engine at address if another engine of the path refused a
// request because of it. One that states when it takes requests again is not lost.
func (g *Gateway) recordRefusalBy(stages []path.PipelineStage, address string, retryAfter time.Duration) {
	if address == "" || retryAfter > 0 {
		return
	}
	for _, p := range stages[1:] {
		if p.Address == address {
			g.losses.record(time.Now(), p, wirepb.LossCause_LOSS_CAUSE_REFUSED_BY_ENGINE)
		}
	}
}

// recordLostConnection records the first engine of a path if the connection to it failed or
// broke without an action of the caller or of this gateway.
func (g *Gateway) recordLostConnection(ctx context.Context, firstStage path.PipelineStage, err error) {
	if err != nil && ctx.Err() == nil && !fault.Is(err, fault.Cancelled) {
		g.losses.record(time.Now(), firstStage, wirepb.LossCause_LOSS_CAUSE_CONNECTION)
	}
}

// recordPause records an engine that newly asked for time. Usual polls of an engine with a low
// load are rare, and the leader is to know of the pause before it sends an order.
func (g *Gateway) recordPause(p selfreport.Process) {
	v := g.view.Load()
	in := v.byID[p.ID]
	if in == nil || v.conf == nil {
		return
	}
	if service := v.conf.Services[in.GetService()]; service != nil && service.Model != nil {
		g.losses.record(time.Now(), path.PipelineStage{ID: p.ID, StartUnixMs: p.StartUnixMs}, wirepb.LossCause_LOSS_CAUSE_PAUSED)
	}
}

// checkSilence records the engines of silent streams at each suspicion.CheckInterval, until
// ctx ends.
func (g *Gateway) checkSilence(ctx context.Context) {
	ticker := time.NewTicker(suspicion.CheckInterval)
	defer ticker.Stop()
	var silence suspicion.Silence
	var states []suspicion.StreamState
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		states = states[:0]
		for _, s := range g.streams.list() {
			states = append(states, s.silenceState())
		}
		now := time.Now()
		for _, p := range silence.Check(now, states) {
			if serves(g.view.Load().byID[p.ID], p) {
				g.losses.record(now, p, wirepb.LossCause_LOSS_CAUSE_SILENT_STREAM)
			}
		}
	}
}

func (s *stream) silenceState() suspicion.StreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return suspicion.StreamState{
		Stages: s.stages, Writes: s.attemptWrites, LastAt: s.lastEventAt, FirstEventTarget: s.q.route.TargetLatency, Gap: &s.gap,
	}
}

// reportLosses sends the leader the engines that may be lost, until ctx ends. A report that
// no leader takes is dropped: the next leader polls all engines.
func (g *Gateway) reportLosses(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.losses.changed:
		}
		if losses := g.losses.take(time.Now()); len(losses) > 0 {
			// A lost packet delays a report by more than lossReportSpacing.
			sending.Go(func() { g.sendLossReport(ctx, &wirepb.LossReport{Losses: losses}) })
		}
		if !delay.Wait(ctx, lossReportSpacing) {
			return
		}
	}
}

func (g *Gateway) sendLossReport(ctx context.Context, r *wirepb.LossReport) {
	ctx, cancel := context.WithTimeout(ctx, lossReportTimeout)
	defer cancel()
	ids := make([]string, 0, len(r.GetLosses()))
	for _, l := range r.GetLosses() {
		ids = append(ids, l.GetInstanceId())
	}
	if err := g.client.ReportLoss(ctx, r); err != nil {
		g.metrics.lossReportsDropped.Inc()
		g.log.Debug("Loss report not taken.", logs.Strs("instances", ids), logs.Err(err))
		return
	}
	g.metrics.lossReports.Inc()
	g.log.Debug("Engines reported.", logs.Strs("instances", ids), logs.Str("cause", r.GetLosses()[0].GetCause().String()))
}
