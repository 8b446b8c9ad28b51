package capacity

// AgentControlLoad returns the control-plane load of one agent. The limits are those
// of a node, because the design page gives none for servers.
func (c Calculator) AgentControlLoad() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	rows := c.watchRows()
	rows = append(rows, c.agentReports()...)
	rows = append(rows, c.agentRegistrations()...)
	idle := m.slope("pkg/role/agent.Idle", "agents", "cpu-ns-each-s/agent")
	base := m.slope("pkg/role/agent.Idle", "agents", "B/agent")
	organisation := m.slope("pkg/control.ViewFull", "organisations", "heap-B")
	rows = append(rows, c.keepAlive(l.AgentSessions.Value+l.Registrations.Value))
	const bothDirections = 2
	pings := p.MeasuredPeers.Value * l.PeerPingRate.Value * bothDirections * 2 * c.frameOverhead()
	rows = append(rows,
		newRow("pings between agents, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, pings, "agents measured; two frames for each ping, both directions", MeasuredValue{Description: "none"}),
		newRow("timers, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(idle.Value, 1), "stand-in engine counted", idle),
		newRow("agent, memory", UnitBytes, p.NodeMemoryLimit.Value, base.Value, "stand-in engine counted", base),
		newRow("catalogue, memory", UnitBytes, p.NodeMemoryLimit.Value, organisation.Value*c.organisations(), "two API keys for each organisation", organisation),
	)
	return append(rows,
		newTotalRow("all control work, traffic", p.NodeTrafficLimit.Value, rows, UnitBytesPerSecond),
		newTotalRow("all control work, processor", p.NodeCPULimit.Value, rows, UnitCorePercent),
		newTotalRow("all control work, memory", p.NodeMemoryLimit.Value, rows, UnitBytes))
}

func (c Calculator) agentReports() []Row {
	p, l := c.Plan, c.Layout
	frames := l.LoadWatchers.Value * l.AgentReportRate.Value
	bytes, stream := c.reportBytes(), c.reportCost()
	memory := c.Measured.slope("pkg/role/agent.LoadWatchers", "watchers", "B/watcher")
	return []Row{
		newRow("load watches, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, frames*(bytes.Value+c.frameOverhead()), "layout", bytes),
		newRow("load watches, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(stream.Value, frames), "both ends counted", stream),
		newRow("load watches, memory", UnitBytes, p.NodeMemoryLimit.Value, memory.Value*l.LoadWatchers.Value, "both ends counted", memory),
	}
}

func (c Calculator) agentRegistrations() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	beat, reply := c.messageBytes("heartbeat"), c.messageBytes("heartbeat_reply")
	exchange := beat.Value + reply.Value + l.HeartbeatReportBytes.Value + 2*c.frameOverhead()
	work := m.slope("pkg/role/control.Sessions/register", "sessions", "cpu-ns-each-s/session")
	memory := m.slope("pkg/role/control.Sessions/register", "sessions", "B/session")
	return []Row{
		newRow("registrations, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value, l.Registrations.Value*controlPingsPerSecond*exchange, "layout", beat, reply),
		newRow("registrations, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(work.Value, l.Registrations.Value), "both ends counted", work),
		newRow("registrations, memory", UnitBytes, p.NodeMemoryLimit.Value, memory.Value*l.Registrations.Value, "both ends counted", memory),
	}
}

// AgentRequestLoad returns the request load of one agent, which does not count as
// control-plane load.
func (c Calculator) AgentRequestLoad() []Row {
	p, m := c.Plan, c.Measured
	stages := p.Stages.Value
	requests := p.PeakRequests.Value * stages / p.Servers.Value
	steps := p.PeakTokens.Value * stages / p.Servers.Value
	step := m.slope("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op")
	whole := m.slope("pkg/role/agent.Relay/whole", "tokens", "cpu-ns/op")
	queue := m.atSize("pkg/core/sched.Operations", "organisations", "ns/op", c.organisations())
	streams := p.PeakTokens.Value * p.InterTokenLimit.Value * stages / p.Servers.Value
	return []Row{
		newRow("requests with a stage here", UnitPerSecond, 0, requests, "three stages, even load"),
		newRow("steps", UnitPerSecond, 0, steps, "three stages, even load"),
		newRow("streams in progress", UnitCount, 0, streams, "36 ms between tokens"),
		newRow("steps of chains, processor", UnitCores, 0, corePercent(step.Value/stages, steps)/percent, "stand-in engine and entry counted", step),
		newRow("whole models instead, processor", UnitCores, 0, corePercent(whole.Value, steps/stages)/percent, "stand-in engine and entry counted", whole),
		newRow("queue, processor", UnitCores, 0, corePercent(queue.Value, requests)/percent, "", queue),
	}
}
