package capacity

// checksEachSecond is the rate of the entry's check for silent upstreams.
const checksEachSecond = 20

// EntryControlLoad returns the control work of one entry.
func (c Calculator) EntryControlLoad() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	known := l.KnownUpstreams.Value
	follow := m.at("pkg/role/entry.Follow", "upstreams", "ns/op", known)
	rows := c.watchRows(follow)
	rows = append(rows, c.entryReports()...)
	announcement := m.at("pkg/wire.Message/announcement", "models", "wire-B", 1)
	adopt := m.at("pkg/control.ViewChange", "upstreams", "ns/op", known)
	moves := c.announcementChanges() * known / p.Servers.Value
	check := m.at("pkg/role/entry.Check", "upstreams", "ns/op", known)
	rows = append(rows,
		row("announcements, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, moves*(announcement.Value+c.overhead()), "announcements changed", announcement),
		row("announcements, processor", UnitCorePercent, p.NodeCPULimit.Value, cost(adopt.Value+follow.Value, moves), "announcements changed", adopt, follow),
		row("check for silence, processor", UnitCorePercent, p.NodeCPULimit.Value, cost(check.Value, checksEachSecond), "", check),
		row("round trips, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, l.FollowedUpstreams.Value*l.EntryPingRate.Value*2*c.overhead(), "two frames for each ping", MeasuredValue{Description: "none"}),
	)
	sessions := l.EntrySessions.Value + 1
	rows = append(rows, c.keepAlive(sessions))
	rows = append(rows, c.entryMemory()...)
	return append(rows,
		sum("all control work, traffic", p.NodeTrafficLimit.Value, rows, UnitBytesPerSecond),
		sum("all control work, processor", p.NodeCPULimit.Value, rows, UnitCorePercent),
		sum("all control work, memory", p.NodeMemoryLimit.Value, rows, UnitBytes))
}

// reportFrame returns the bytes of a report frame without those below it.
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
	update := c.Measured.at("pkg/role/entry.Report", "upstreams", "ns/op", l.KnownUpstreams.Value)
	work := stream.Value + l.RowsPerFrame.Value*update.Value
	return []Row{
		row("load reports, frames", UnitPerSecond, 0, frames, "layout"),
		row("load reports, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, frames*(bytes.Value+c.overhead()), "layout, bytes below each frame", bytes),
		row("load reports, processor", UnitCorePercent, p.NodeCPULimit.Value, cost(work, frames), "both ends counted", stream, update),
	}
}

func (c Calculator) entryMemory() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	organisation := m.slope("pkg/control.ViewFull", "organisations", "heap-B")
	upstream := m.slope("pkg/role/entry.UpstreamMemory", "upstreams", "B/upstream")
	session := m.slope("pkg/role/agent.LoadWatchers", "watchers", "B/watcher")
	return []Row{
		row("catalogue, memory", UnitBytes, p.NodeMemoryLimit.Value, organisation.Value*c.organisations(), "two API keys for each organisation", organisation),
		row("routing state, memory", UnitBytes, p.NodeMemoryLimit.Value, upstream.Value*l.KnownUpstreams.Value, "64 prefixes for each upstream", upstream),
		row("sessions, memory", UnitBytes, p.NodeMemoryLimit.Value, session.Value*(l.EntrySessions.Value+l.ReportSources.Value-c.sharedSources()), "both ends counted", session),
	}
}

// sharedSources are the sources of reports that are also sessions to agents.
func (c Calculator) sharedSources() float64 {
	if c.Layout.RowBytes.Value == 0 {
		return c.Layout.ReportSources.Value
	}
	return 0
}

// EntryRequestLoad returns the requests of one entry, which are no control work.
func (c Calculator) EntryRequestLoad() []Row {
	p, m := c.Plan, c.Measured
	requests := p.PeakRequests.Value / p.Nodes.Value
	tokens := p.PeakTokens.Value / p.Nodes.Value
	streams := tokens * p.InterTokenLimit.Value
	perToken := m.slope("pkg/role/entry.Loop", "tokens", "cpu-ns/op")
	perRequest := m.at("pkg/role/entry.Loop", "tokens", "cpu-ns/op", 0)
	own := m.slope("pkg/role/entry.Request", "tokens", "ns/op")
	ownRequest := m.at("pkg/role/entry.Request", "tokens", "ns/op", 0)
	choice := m.at("pkg/core/route.Chain", "upstreams", "ns/op", c.Layout.KnownUpstreams.Value)
	stream := m.slope("pkg/role/entry.OpenStreams", "streams", "B/stream")
	generate := m.at("pkg/wire.Message/generate", "prompt", "wire-B", p.PromptTokens.Value)
	token := c.message("token")
	cores := func(request, token float64) float64 {
		return cost(request, requests)/percent + cost(token, tokens)/percent
	}
	return []Row{
		row("requests", UnitPerSecond, 0, requests, "even load"),
		row("tokens", UnitPerSecond, 0, tokens, "even load"),
		row("streams in progress", UnitCount, 0, streams, "36 ms between tokens"),
		row("requests to agents, traffic", UnitBytesPerSecond, 0, requests*(generate.Value+c.overhead()), "prompt", generate),
		row("tokens from agents, traffic", UnitBytesPerSecond, 0, tokens*(token.Value+c.overhead()), "one frame for each token", token),
		row("own code, processor", UnitCores, 0, cores(ownRequest.Value, own.Value), "no system calls", ownRequest, own),
		row("with connections, processor", UnitCores, 0, cores(perRequest.Value, perToken.Value), "agent's and caller's ends counted", perRequest, perToken),
		row("choice of a chain, processor", UnitCores, 0, cost(choice.Value, requests)/percent, "", choice),
		row("streams, memory", UnitBytes, 0, streams*stream.Value, "agent's end counted", stream),
	}
}
