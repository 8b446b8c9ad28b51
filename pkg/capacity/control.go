package capacity

// Bounds of today's build, named as in the code.
const (
	maxClaims        = 4 << 20   // pkg/core/state maxClaims
	maxStoredBytes   = 1 << 30   // pkg/core/state maxStoredBytes
	maxSnapshotBytes = 3 << 30   // pkg/role/control maxSnapshot
	snapshotEntries  = 10_000    // pkg/replica DefaultSnapshotEntries
	maxWatchers      = 16_384    // pkg/role/control maxWatchers
	measuredCallers  = 128       // callers of the measured rate of claims
	claimsOfLargest  = 1_000_000 // claims of the largest measured state
)

// ControlProcessLoad returns the work of one control process: today a voter, with the
// mechanisms a relay.
func (c Calculator) ControlProcessLoad() []Row {
	rows := c.controlRows()
	lost := c.oneOfThreeLost().controlRows()
	limit := c.Plan.ControlCores.Value
	total := sum("all work, processor", limit, rows, UnitCores)
	after := sum("all work, processor, one of three processes lost", limit, lost, UnitCores)
	return append(rows, total, after)
}

// oneOfThreeLost returns the calculator for one of the two processes that are
// left. Agents are registered with every voter, but only with some relays.
func (c Calculator) oneOfThreeLost() Calculator {
	const left = 3.0 / 2
	c.Layout.ControlWatches.Value *= left
	if c.Layout.ClaimGroups.Value > 1 {
		c.Layout.RegisteredAgents.Value *= left
	}
	return c
}

func (c Calculator) controlRows() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	watch := m.slope("pkg/role/control.Sessions/watch", "sessions", "cpu-ns-each-s/session")
	register := m.slope("pkg/role/control.Sessions/register", "sessions", "cpu-ns-each-s/session")
	memory := m.slope("pkg/role/control.Sessions/watch", "sessions", "B/session")
	organisation := m.slope("pkg/core/state.ApplyChange", "organisations", "B/organisation")
	sessions := l.ControlWatches.Value + l.RegisteredAgents.Value
	return []Row{
		row("watches", UnitCount, maxWatchers, l.ControlWatches.Value, "layout; limit: maxWatchers"),
		row("watches, processor", UnitCores, p.ControlCores.Value, watch.Value*nanosecond*l.ControlWatches.Value, "both ends counted", watch),
		row("registrations, processor", UnitCores, p.ControlCores.Value, register.Value*nanosecond*l.RegisteredAgents.Value, "both ends counted", register),
		c.fanOut(),
		c.relayReports(),
		row("sessions, memory", UnitBytes, p.ControlMemory.Value, memory.Value*sessions, "both ends counted", memory),
		row("catalogue, memory", UnitBytes, p.ControlMemory.Value, organisation.Value*c.organisations(), "", organisation),
		c.controlTraffic(sessions),
		row("hosts", UnitCount, p.ControlHostLimit.Value, l.ControlHosts.Value, "layout"),
	}
}

// sendChange is the processor time of one change for one watcher: the event and
// the ping by which the watcher confirms it.
func (c Calculator) sendChange() (seconds float64, send, exchange MeasuredValue) {
	send = c.Measured.slope("pkg/role/control.Watcher/change", "watchers", "ns/watcher")
	exchange = c.Measured.slope("pkg/role/control.Sessions/watch", "sessions", "cpu-ns-each-s/session")
	return (send.Value + exchange.Value/controlBeat) * nanosecond, send, exchange
}

func (c Calculator) fanOut() Row {
	perWatcher, send, exchange := c.sendChange()
	return row("changes, processor", UnitCores, c.Plan.ControlCores.Value, perWatcher*c.changesAtPeak()*c.Layout.ControlWatches.Value,
		"peak of changes; both ends counted", send, exchange)
}

// relayReports is the processor time of a relay for reports, in and out.
func (c Calculator) relayReports() Row {
	p, l := c.Plan, c.Layout
	stream := c.reportCost()
	update := c.Measured.at("pkg/role/entry.Report", "upstreams", "ns/op", p.Servers.Value)
	if l.LoadWatchers.Value > 0 {
		return row("relayed reports, processor", UnitCores, p.ControlCores.Value, 0, "no relay today", stream, update)
	}
	in := l.RegisteredAgents.Value * l.AgentReportRate.Value * (stream.Value + update.Value)
	entries := p.Nodes.Value / l.ControlHosts.Value
	out := entries * l.EntryReportRate.Value * (stream.Value + l.RowsPerFrame.Value*update.Value)
	exchange := p.Servers.Value * l.AgentReportRate.Value * update.Value
	return row("relayed reports, processor", UnitCores, p.ControlCores.Value, (in+out+exchange)*nanosecond,
		"every row from every relay; both ends counted", stream, update)
}

func (c Calculator) controlTraffic(sessions float64) Row {
	ping, current := c.message("ping"), c.message("current")
	change := c.Measured.at("pkg/wire.Message/watch_event", "organisations", "wire-B", 1)
	beats := sessions * controlBeat * (ping.Value + current.Value + 2*c.overhead())
	changes := c.Layout.ControlWatches.Value * c.changesAtPeak() * (change.Value + c.overhead())
	return row("watches, registrations and reports, traffic", UnitBytesPerSecond, c.Plan.ControlLink.Value,
		beats+changes+c.relayTraffic(), "peak of changes; rows from every relay", ping, current, change)
}

// relayTraffic returns the bytes of reports that a relay receives from agents
// and relays and sends to entries.
func (c Calculator) relayTraffic() float64 {
	p, l := c.Plan, c.Layout
	if l.LoadWatchers.Value > 0 {
		return 0
	}
	in := l.RegisteredAgents.Value * l.AgentReportRate.Value * l.HeartbeatReportBytes.Value
	exchange := p.Servers.Value * l.AgentReportRate.Value * l.RowBytes.Value
	entries := p.Nodes.Value / l.ControlHosts.Value
	return in + exchange + entries*l.EntryReportRate.Value*(l.RowsPerFrame.Value*l.RowBytes.Value+c.overhead())
}

// ClaimLoad returns the work of one group of voters for claims.
func (c Calculator) ClaimLoad() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	calls := p.PeakRequests.Value * p.KeyedCallShare.Value / l.ClaimGroups.Value
	const proposalsOfCall = 2 // claim and outcome
	held := calls * p.MeanLoadShare.Value * p.ClaimHorizon.Value
	rate := m.at("pkg/role/control.Cluster/claim", "callers", "claims/s", measuredCallers)
	work := m.at("pkg/role/control.Cluster/claim", "callers", "cpu-ns/op", measuredCallers)
	claim := m.slope("pkg/core/state.ApplyClaim", "claims", "B/claim")
	take := m.slope("pkg/core/state.Snapshot/take", "claims", "ns/op")
	bytes := m.slope("pkg/core/state.Snapshot/take", "claims", "bytes")
	restore := m.slope("pkg/core/state.Snapshot/restore", "claims", "ns/op")
	replay := m.slope("pkg/replica.Restart", "entries", "open-ms")
	proposals := calls * proposalsOfCall
	const oneCore = 1
	answers := held * p.AnswerBytes.Value
	restart := held*restore.Value*nanosecond + snapshotEntries*replay.Value/1000
	return []Row{
		row("proposals at peak", UnitPerSecond, rate.Value, proposals, "keyed calls; limit: measured rate, three voters on one disk", rate),
		row("proposals, processor of all voters", UnitCores, 0, proposals*work.Value*nanosecond, "callers counted", work),
		row("claims held", UnitCount, maxClaims, held, "keyed calls, mean load, horizon; limit: maxClaims"),
		row("recorded answers", UnitBytes, maxStoredBytes, answers, "answer size; limit: maxStoredBytes"),
		row("claims, memory", UnitBytes, p.ControlMemory.Value, held*claim.Value+answers, "answer size", claim),
		row("snapshot, bytes", UnitBytes, maxSnapshotBytes, held*bytes.Value+answers, "answer size; limit: maxSnapshot", bytes),
		row("snapshots, processor", UnitCores, oneCore, proposals/snapshotEntries*held*take.Value*nanosecond, "every 10,000 entries; limit: the one goroutine of the state", take),
		row("restart: snapshot and log", UnitSeconds, 0, restart, "10,000 entries after the snapshot; disk reads not counted", restore, replay),
	}
}

// OperatorLoad returns the work of the operator command line and of its API.
func (c Calculator) OperatorLoad() []Row {
	p, m := c.Plan, c.Measured
	bytes := m.slope("pkg/operators.Catalogue/write", "organisations", "wire-B")
	write := m.slope("pkg/operators.Catalogue/write", "organisations", "ns/op")
	read := m.at("pkg/operators.Catalogue/read", "organisations", "ns/op", c.organisations())
	all := m.at("pkg/operators.Catalogue/write", "organisations", "wire-B", c.organisations())
	memory := m.at("pkg/operators.Catalogue/read", "organisations", "B/op", c.organisations())
	apply := m.at("pkg/core/state.ApplyChange", "organisations", "ns/op", c.organisations())
	return []Row{
		row("state", UnitBytes, 0, 0, "the command line keeps none"),
		row("changes at peak", UnitPerSecond, 0, c.changesAtPeak(), "peak of changes"),
		row("one change, traffic", UnitBytes, 0, bytes.Value, "one organisation", bytes),
		row("changes, traffic at control", UnitBytesPerSecond, 0, bytes.Value*c.changesAtPeak(), "one organisation for each change", bytes),
		row("one change, processor of the command line", UnitSeconds, 0, write.Value*nanosecond, "process start not measured", write),
		row("changes, processor of each voter", UnitCorePercent, 0, cost(apply.Value, c.changesAtPeak()), "apply step alone", apply),
		row("whole catalogue, traffic", UnitBytes, 0, all.Value, "", all),
		row("whole catalogue, processor", UnitSeconds, p.ChangePropagationLimit.Value, read.Value*nanosecond, "", read),
		row("whole catalogue, memory allocated", UnitBytes, p.NodeMemoryLimit.Value, memory.Value, "limit of a node as a yardstick", memory),
	}
}
