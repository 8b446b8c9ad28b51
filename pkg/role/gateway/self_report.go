package gateway

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func stageProcess(p path.PipelineStage) selfreport.Process {
	return selfreport.Process{ID: p.ID, StartUnixMs: p.StartUnixMs}
}

// recordReplyOf records what the reply of a process states about it.
func (g *Gateway) recordReplyOf(p selfreport.Process, m instances.ReplyMetadata, source string) {
	g.recordSelfReport(p, selfreport.Report{Leaving: m.Leaving, Pause: m.RetryAfter, Source: source})
}

// recordPathReply records what the reply to a stream states about the first engine of its
// path, and about the engine that refused it: that one asks for time.
func (g *Gateway) recordPathReply(stages []path.PipelineStage, m instances.ReplyMetadata) {
	refusing := stages[0]
	for _, s := range stages {
		if s.Address == m.RefusingEngine {
			refusing = s
		}
	}
	g.recordSelfReport(stageProcess(stages[0]), selfreport.Report{Leaving: m.Leaving, Source: "stream"})
	g.recordSelfReport(stageProcess(refusing), selfreport.Report{Pause: m.RetryAfter, Source: "stream"})
}

// recordOrderReply records what the reply to an order states about the engine at an
// address.
func (g *Gateway) recordOrderReply(address string, m instances.ReplyMetadata) {
	if !m.Leaving && m.RetryAfter == 0 {
		return
	}
	for _, in := range g.view.Load().byID {
		if in.GetAddress() == address {
			g.recordReplyOf(selfreport.ProcessOf(in), m, "order")
		}
	}
}

func (g *Gateway) recordSelfReport(p selfreport.Process, r selfreport.Report) {
	now := time.Now()
	s, changed := g.selfReports.Record(now, p, r)
	if !changed {
		return
	}
	fields := []logs.Field{logs.Str("upstream", p.ID), logs.Str("source", s.Source)}
	if r.Leaving {
		g.metrics.leavingReports.Inc()
		g.log.Info("Upstream says that it leaves.", fields...)
	}
	if r.Pause > 0 {
		g.metrics.pauseReports.Inc()
		g.recordPause(p)
		g.log.Info("Upstream asks for time.", append(fields, logs.Dur("for", s.PausedUntil.Sub(now)))...)
	}
	select {
	case g.repairSignal <- struct{}{}: // running streams may have to move off it
	default:
	}
}

// isBlocked reports whether an instance stated that it wants no new requests.
func (g *Gateway) isBlocked(in *wirepb.Instance) bool {
	return !g.selfReports.IsEmpty() && g.selfReports.Blocked(time.Now(), selfreport.ProcessOf(in))
}

// isClosedTo returns a function that reports whether an engine is not to be on the next
// path of a stream: it wants no new requests. An engine of the present path may stay on it
// unless it leaves, the first one in any case.
func (g *Gateway) isClosedTo(stages []path.PipelineStage) func(*wirepb.Instance) bool {
	return func(in *wirepb.Instance) bool {
		switch {
		case in.GetId() == stages[0].ID:
			return false
		case passesThrough(stages, in.GetId()):
			return g.selfReports.Get(selfreport.ProcessOf(in)).Leaving
		}
		return g.isBlocked(in)
	}
}

// isPathBlocked reports whether an engine of a path stated since the path was chosen that
// it wants no new requests.
func (g *Gateway) isPathBlocked(stages []path.PipelineStage) bool {
	now := time.Now()
	for _, s := range stages {
		if g.selfReports.Blocked(now, stageProcess(s)) {
			return true
		}
	}
	return false
}

// pauseWait returns the time until the first of the untried upstreams of a service that
// all ask for time takes requests again, zero if none of them asks for time.
func (g *Gateway) pauseWait(q *request, tried map[string]bool) time.Duration {
	if g.selfReports.IsEmpty() {
		return 0
	}
	var untried []selfreport.Process
	for _, in := range g.view.Load().byService[q.service.Name] {
		if !tried[in.GetId()] {
			untried = append(untried, selfreport.ProcessOf(in))
		}
	}
	return g.waitFor(untried)
}

func (g *Gateway) waitFor(processes []selfreport.Process) time.Duration {
	now := time.Now()
	end, ok := g.selfReports.SoonestEnd(now, processes)
	if !ok {
		return 0
	}
	return end.Sub(now)
}

// pathPauseWait returns the time until the engines that ask for time take requests again,
// zero if there would be no path with them either. It is the Retry-After of a stream that
// has no path without them.
func (g *Gateway) pathPauseWait(v *view, q *request) time.Duration {
	if g.selfReports.IsEmpty() {
		return 0
	}
	now := time.Now()
	choice, err := g.bestPathAmong(v, q, nil, func(in *wirepb.Instance) bool { return g.selfReports.Get(selfreport.ProcessOf(in)).Leaving })
	if err != nil {
		return 0
	}
	var longest time.Duration
	for _, s := range choice.Stages {
		longest = max(longest, g.selfReports.Get(stageProcess(s)).PausedUntil.Sub(now))
	}
	return longest
}

// forgetSelfReports drops the reports that bind nobody.
func (g *Gateway) forgetSelfReports(v *view) {
	g.selfReports.Forget(time.Now(), func(p selfreport.Process) bool {
		in := v.byID[p.ID]
		return in != nil && in.GetBornUnixMs() == p.StartUnixMs
	})
}
