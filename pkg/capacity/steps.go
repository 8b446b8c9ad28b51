package capacity

import (
	"fmt"
	"strings"
)

// step is a layout on the way from today's to the one with all mechanisms.
type step struct {
	name   string
	layout Layout
}

// steps adds one mechanism after the other. A whole report has so many bytes.
func (p Plan) steps(wholeReport float64) []step {
	full, l := p.ScaledLayout(), p.CurrentLayout()
	out := []step{{"today", l}}
	l.FollowedUpstreams, l.KnownUpstreams, l.EntrySessions, l.FullStateUpstreams = full.FollowedUpstreams, full.KnownUpstreams, full.EntrySessions, full.FullStateUpstreams
	l.ReportSources = full.FollowedUpstreams
	l.LoadWatchers.Value = full.FollowedUpstreams.Value * p.Nodes.Value / p.Servers.Value
	l.AgentSessions = full.AgentSessions
	out = append(out, step{"+ subset of 128 upstreams for each entry", l})
	l.KeepAliveRate, l.PeerPingRate, l.EntryPingRate = full.KeepAliveRate, full.PeerPingRate, full.EntryPingRate
	out = append(out, step{"+ keep-alives each 60 s, no other pings, peers each 10 s", l})
	l.EntryReportRate, l.AgentReportRate = full.EntryReportRate, full.AgentReportRate
	out = append(out, step{"+ reports each 500 ms", l})
	whole := full
	whole.RowsPerFrame.Value = subset
	whole.HeartbeatReportBytes.Value = wholeReport
	out = append(out, step{"+ relays of each data centre, whole rows and reports", whole})
	out = append(out, step{"+ deltas of rows and reports: all mechanisms", full})
	for _, size := range []float64{32, 64, 256, 512} {
		out = append(out, step{fmt.Sprintf("all mechanisms, subset of %.0f", size), p.withSubset(full, size)})
	}
	return out
}

func (p Plan) withSubset(l Layout, size float64) Layout {
	l.FollowedUpstreams.Value, l.KnownUpstreams.Value, l.EntrySessions.Value, l.FullStateUpstreams.Value = size, size, size, size
	l.RowsPerFrame.Value = size / 4
	l.AgentSessions.Value = size*p.Nodes.Value/p.Servers.Value + 2*p.MeasuredPeers.Value
	return l
}

// steps tells which parameter makes which limit hold.
func (r *Report) steps() string {
	var lines []string
	for _, s := range r.plan.steps(r.today.reportBytes().Value) {
		c := Calculator{Plan: r.plan, Measured: r.measured, Layout: s.layout}
		lines = append(lines, cells(append([]string{s.name}, append(totals(c.EntryControlLoad()), totals(c.AgentControlLoad())...)...)...))
	}
	return table([]string{"Layout", "Entry: traffic", "Entry: processor", "Entry: memory", "Agent: traffic", "Agent: processor", "Agent: memory"}, lines)
}

func totals(rows []Row) []string {
	var out []string
	for _, r := range rows {
		if strings.HasPrefix(r.Name, "**") {
			out = append(out, verdict(r))
		}
	}
	return out
}

// messages lists the bytes of each message kind.
func (r *Report) messages() string {
	var lines []string
	for _, s := range r.measured.All() {
		kind, ok := strings.CutPrefix(s.Name, "pkg/wire.Message/")
		if !ok || s.Unit != "wire-B" {
			continue
		}
		each := ""
		if s.Param != "" {
			each = fmt.Sprintf("%s for each of %s", formatUnit(s.Line.Slope, s.Unit), s.Param)
		}
		lines = append(lines, cells(kind, formatUnit(s.Line.Intercept, s.Unit), each))
	}
	return table([]string{"Message", "Bytes", "And"}, lines)
}
