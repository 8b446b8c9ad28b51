package capacity

// silenceChecksPerSecond is how often an entry checks for silent upstreams.
const silenceChecksPerSecond = 20

// EntryControlLoad returns the control-plane load of one entry.
func (c Calculator) EntryControlLoad() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	known := l.KnownUpstreams.Value
	follow := m.atSize("pkg/role/entry.Follow", "upstreams", "ns/op", known)
	rows := c.watchRows(follow)
	rows = append(rows, c.entryReports()...)
	announcement := m.atSize("pkg/wire.Message/announcement", "models", "wire-B", 1)
	adopt := m.atSize("pkg/control.ViewChange", "upstreams", "ns/op", known)
	announcementRate := c.announcementChanges() * known / p.Servers.Value
	check := m.atSize("pkg/role/entry.Check", "upstreams", "ns/op", known)
	rows = append(rows,
		newRow("announcements, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, announcementRate*(announcement.Value+c.frameOverhead()), "announcements changed", announcement),
		newRow("announcements, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(adopt.Value+follow.Value, announcementRate), "announcements changed", adopt, follow),
		newRow("check for silence, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(check.Value, silenceChecksPerSecond), "", check),
		newRow("round trips, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, l.FollowedUpstreams.Value*l.EntryPingRate.Value*2*c.frameOverhead(), "two frames for each ping", MeasuredValue{Description: "none"}),
	)
	sessions := l.EntrySessions.Value + 1
	rows = append(rows, c.keepAlive(sessions))
	rows = append(rows, c.entryMemory()...)
	return append(rows,
		newTotalRow("all control work, traffic", p.NodeTrafficLimit.Value, rows, UnitBytesPerSecond),
		newTotalRow("all control work, processor", p.NodeCPULimit.Value, rows, UnitCorePercent),
		newTotalRow("all control work, memory", p.NodeMemoryLimit.Value, rows, UnitBytes))
}

// reportFrame returns the payload size of a report frame in bytes, without the
// overhead of multiplexing, TCP and IP.
func (c Calculator) reportFrame() MeasuredValue {
	if c.Layout.RowBytes.Value == 0 {
		return c.reportBytes()
	}
	return MeasuredValue{Value: c.Layout.RowBytes.Value * c.Layout.RowsPerFrame.Value, Description: "none: no such frame yet"}
}

func (c Calculator) entryReports() []Row {
	p, l := c.Plan, c.Layout
	frames := l.ReportSources.Value * l.EntryReportRate.Value
	bytes, stream := c.reportFrame(), c.reportCost()
	update := c.Measured.atSize("pkg/role/entry.Report", "upstreams", "ns/op", l.KnownUpstreams.Value)
	work := stream.Value + l.RowsPerFrame.Value*update.Value
	return []Row{
		newRow("load reports, frames", UnitPerSecond, 0, frames, "layout"),
		newRow("load reports, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, frames*(bytes.Value+c.frameOverhead()), "layout, bytes below each frame", bytes),
		newRow("load reports, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(work, frames), "both ends counted", stream, update),
	}
}

func (c Calculator) entryMemory() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	organisation := m.slope("pkg/control.ViewFull", "organisations", "heap-B")
	upstream := m.slope("pkg/role/entry.UpstreamMemory", "upstreams", "B/upstream")
	session := m.slope("pkg/role/agent.LoadWatchers", "watchers", "B/watcher")
	return []Row{
		newRow("catalogue, memory", UnitBytes, p.NodeMemoryLimit.Value, organisation.Value*c.organisations(), "two API keys for each organisation", organisation),
		newRow("routing state, memory", UnitBytes, p.NodeMemoryLimit.Value, upstream.Value*l.KnownUpstreams.Value, "64 prefixes for each upstream", upstream),
		newRow("sessions, memory", UnitBytes, p.NodeMemoryLimit.Value, session.Value*(l.EntrySessions.Value+l.ReportSources.Value-c.sharedSources()), "both ends counted", session),
	}
}

// sharedSources returns the number of report sources whose sessions are already
// counted as sessions to agents.
func (c Calculator) sharedSources() float64 {
	if c.Layout.RowBytes.Value == 0 {
		return c.Layout.ReportSources.Value
	}
	return 0
}

// EntryRequestLoad returns the request load of one entry, which does not count as
// control-plane load.
func (c Calculator) EntryRequestLoad() []Row {
	p, m := c.Plan, c.Measured
	requests := p.PeakRequests.Value / p.Nodes.Value
	tokens := p.PeakTokens.Value / p.Nodes.Value
	streams := tokens * p.InterTokenLimit.Value
	perToken := m.slope("pkg/role/entry.Loop", "tokens", "cpu-ns/op")
	perRequest := m.atSize("pkg/role/entry.Loop", "tokens", "cpu-ns/op", 0)
	ownPerToken := m.slope("pkg/role/entry.Request", "tokens", "ns/op")
	ownPerRequest := m.atSize("pkg/role/entry.Request", "tokens", "ns/op", 0)
	choice := m.atSize("pkg/core/route.Chain", "upstreams", "ns/op", c.Layout.KnownUpstreams.Value)
	stream := m.slope("pkg/role/entry.OpenStreams", "streams", "B/stream")
	generate := m.atSize("pkg/wire.Message/generate", "prompt", "wire-B", p.PromptTokens.Value)
	token := c.messageBytes("token")
	cores := func(request, token float64) float64 {
		return corePercent(request, requests)/percent + corePercent(token, tokens)/percent
	}
	return []Row{
		newRow("requests", UnitPerSecond, 0, requests, "even load"),
		newRow("tokens", UnitPerSecond, 0, tokens, "even load"),
		newRow("streams in progress", UnitCount, 0, streams, "36 ms between tokens"),
		newRow("requests to agents, traffic", UnitBytesPerSecond, 0, requests*(generate.Value+c.frameOverhead()), "prompt", generate),
		newRow("tokens from agents, traffic", UnitBytesPerSecond, 0, tokens*(token.Value+c.frameOverhead()), "one frame for each token", token),
		newRow("own code, processor", UnitCores, 0, cores(ownPerRequest.Value, ownPerToken.Value), "no system calls", ownPerRequest, ownPerToken),
		newRow("with connections, processor", UnitCores, 0, cores(perRequest.Value, perToken.Value), "agent's and caller's ends counted", perRequest, perToken),
		newRow("choice of a chain, processor", UnitCores, 0, corePercent(choice.Value, requests)/percent, "", choice),
		newRow("streams, memory", UnitBytes, 0, streams*stream.Value, "agent's end counted", stream),
	}
}
