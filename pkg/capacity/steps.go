package capacity

import (
	"fmt"
	"strings"
)

// layoutStep is an intermediate layout between the current and the scaled one, or a
// variant of the scaled one.
type layoutStep struct {
	name   string
	layout Layout
}

// layoutSteps returns the current layout, the layouts that result when the mechanisms
// of the scaled layout are added one by one, and the scaled layout with other subset
// sizes. wholeReport is the size of a complete report in bytes.
func (p Plan) layoutSteps(wholeReport float64) []layoutStep {
	full, l := p.ScaledLayout(), p.CurrentLayout()
	out := []layoutStep{{"today", l}}
	l.FollowedUpstreams, l.KnownUpstreams, l.EntrySessions, l.FullStateUpstreams = full.FollowedUpstreams, full.KnownUpstreams, full.EntrySessions, full.FullStateUpstreams
	l.ReportSources = full.FollowedUpstreams
	l.LoadWatchers.Value = full.FollowedUpstreams.Value * p.Nodes.Value / p.Servers.Value
	l.AgentSessions = full.AgentSessions
	out = append(out, layoutStep{"+ subset of 128 upstreams for each entry", l})
	l.KeepAliveRate, l.PeerPingRate, l.EntryPingRate = full.KeepAliveRate, full.PeerPingRate, full.EntryPingRate
	out = append(out, layoutStep{"+ keep-alives each 60 s, no other pings, peers each 10 s", l})
	l.EntryReportRate, l.AgentReportRate = full.EntryReportRate, full.AgentReportRate
	out = append(out, layoutStep{"+ reports each 500 ms", l})
	fullRows := full
	fullRows.RowsPerFrame.Value = upstreamSubset
	fullRows.HeartbeatReportBytes.Value = wholeReport
	out = append(out, layoutStep{"+ relays of each data centre, whole rows and reports", fullRows})
	out = append(out, layoutStep{"+ deltas of rows and reports: all mechanisms", full})
	for _, size := range []float64{32, 64, 256, 512} {
		out = append(out, layoutStep{fmt.Sprintf("all mechanisms, subset of %.0f", size), p.withSubset(full, size)})
	}
	return out
}

func (p Plan) withSubset(l Layout, size float64) Layout {
	l.FollowedUpstreams.Value, l.KnownUpstreams.Value, l.EntrySessions.Value, l.FullStateUpstreams.Value = size, size, size, size
	l.RowsPerFrame.Value = size / 4
	l.AgentSessions.Value = size*p.Nodes.Value/p.Servers.Value + 2*p.MeasuredPeers.Value
	return l
}

// stepTable returns a table of the control-plane load of an entry and of an agent
// under each layout step, which shows the step from which each limit is met.
func (r *Report) stepTable() string {
	var lines []string
	for _, s := range r.plan.layoutSteps(r.current.reportBytes().Value) {
		c := Calculator{Plan: r.plan, Measured: r.measured, Layout: s.layout}
		lines = append(lines, tableRow(append([]string{s.name}, append(totals(c.EntryControlLoad()), totals(c.AgentControlLoad())...)...)...))
	}
	return table([]string{"Layout", "Entry: traffic", "Entry: processor", "Entry: memory", "Agent: traffic", "Agent: processor", "Agent: memory"}, lines)
}

// totals returns the formatted values of the total rows.
func totals(rows []Row) []string {
	var out []string
	for _, r := range rows {
		if strings.HasPrefix(r.Name, "**") {
			out = append(out, formatWithLimit(r))
		}
	}
	return out
}

// messageTable returns a table of the size of each message kind.
func (r *Report) messageTable() string {
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
		lines = append(lines, tableRow(kind, formatUnit(s.Line.Intercept, s.Unit), each))
	}
	return table([]string{"Message", "Bytes", "And"}, lines)
}
