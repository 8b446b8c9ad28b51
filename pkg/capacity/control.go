package capacity

// Limits of the current implementation, with the constants that define them, and
// sizes at which benchmarks were run.
const (
	maxClaims        = 4 << 20   // pkg/core/state maxClaims
	maxStoredBytes   = 1 << 30   // pkg/core/state maxTotalResponseBytes
	maxSnapshotBytes = 3 << 30   // pkg/replicalink maxSnapshotBytes
	snapshotEntries  = 10_000    // pkg/replica DefaultSnapshotEntries
	maxWatchers      = 16_384    // pkg/role/control maxWatchers
	measuredCallers  = 128       // concurrent callers in the claim rate benchmark
	claimsOfLargest  = 1_000_000 // claims in the largest benchmarked state
)

// ControlProcessLoad returns the load of one control process, which is a voter in
// the current layout and a relay in the scaled one.
func (c Calculator) ControlProcessLoad() []Row {
	rows := c.controlRows()
	lost := c.withOneOfThreeLost().controlRows()
	limit := c.Plan.ControlCores.Value
	total := newTotalRow("all work, processor", limit, rows, UnitCores)
	after := newTotalRow("all work, processor, one of three processes lost", limit, lost, UnitCores)
	return append(rows, total, after)
}

// withOneOfThreeLost returns a calculator for one of the two processes that remain
// after one of three was lost. The watches are redistributed. Registrations are
// redistributed only among relays, because agents register with every voter but
// only with some relays.
func (c Calculator) withOneOfThreeLost() Calculator {
	const loadFactor = 3.0 / 2
	c.Layout.ControlWatches.Value *= loadFactor
	if c.Layout.ClaimGroups.Value > 1 {
		c.Layout.RegisteredAgents.Value *= loadFactor
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
		newRow("watches", UnitCount, maxWatchers, l.ControlWatches.Value, "layout; limit: maxWatchers"),
		newRow("watches, processor", UnitCores, p.ControlCores.Value, watch.Value*nanosecond*l.ControlWatches.Value, "both ends counted", watch),
		newRow("registrations, processor", UnitCores, p.ControlCores.Value, register.Value*nanosecond*l.RegisteredAgents.Value, "both ends counted", register),
		c.changeFanOut(),
		c.relayReports(),
		newRow("sessions, memory", UnitBytes, p.ControlMemory.Value, memory.Value*sessions, "both ends counted", memory),
		newRow("catalogue, memory", UnitBytes, p.ControlMemory.Value, organisation.Value*c.organisations(), "", organisation),
		c.controlTraffic(sessions),
		newRow("hosts", UnitCount, p.ControlHostLimit.Value, l.ControlHosts.Value, "layout"),
	}
}

// changeCostPerWatcher returns the CPU time of one change for one watcher: that of
// sending the event and that of the ping that confirms it. It also returns the two
// measured values.
func (c Calculator) changeCostPerWatcher() (seconds float64, send, ping MeasuredValue) {
	send = c.Measured.slope("pkg/role/control.Watcher/change", "watchers", "ns/watcher")
	ping = c.Measured.slope("pkg/role/control.Sessions/watch", "sessions", "cpu-ns-each-s/session")
	return (send.Value + ping.Value/controlPingsPerSecond) * nanosecond, send, ping
}

func (c Calculator) changeFanOut() Row {
	perWatcher, send, ping := c.changeCostPerWatcher()
	return newRow("changes, processor", UnitCores, c.Plan.ControlCores.Value, perWatcher*c.changesAtPeak()*c.Layout.ControlWatches.Value,
		"peak of changes; both ends counted", send, ping)
}

// relayReports returns the CPU time that a relay spends on the reports that it
// receives from agents, exchanges with other relays and sends to entries.
func (c Calculator) relayReports() Row {
	p, l := c.Plan, c.Layout
	stream := c.reportCost()
	update := c.Measured.atSize("pkg/role/entry.Report", "upstreams", "ns/op", p.Servers.Value)
	if l.LoadWatchers.Value > 0 {
		return newRow("relayed reports, processor", UnitCores, p.ControlCores.Value, 0, "no relay today", stream, update)
	}
	fromAgents := l.RegisteredAgents.Value * l.AgentReportRate.Value * (stream.Value + update.Value)
	entries := p.Nodes.Value / l.ControlHosts.Value
	toEntries := entries * l.EntryReportRate.Value * (stream.Value + l.RowsPerFrame.Value*update.Value)
	betweenRelays := p.Servers.Value * l.AgentReportRate.Value * update.Value
	return newRow("relayed reports, processor", UnitCores, p.ControlCores.Value, (fromAgents+toEntries+betweenRelays)*nanosecond,
		"every row from every relay; both ends counted", stream, update)
}

func (c Calculator) controlTraffic(sessions float64) Row {
	ping, current := c.messageBytes("ping"), c.messageBytes("current")
	change := c.Measured.atSize("pkg/wire.Message/watch_event", "organisations", "wire-B", 1)
	pings := sessions * controlPingsPerSecond * (ping.Value + current.Value + 2*c.frameOverhead())
	changes := c.Layout.ControlWatches.Value * c.changesAtPeak() * (change.Value + c.frameOverhead())
	return newRow("watches, registrations and reports, traffic", UnitBytesPerSecond, c.Plan.ControlLink.Value,
		pings+changes+c.relayTraffic(), "peak of changes; rows from every relay", ping, current, change)
}

// relayTraffic returns the bytes per second of the reports that a relay receives
// from agents and from other relays and sends to entries.
func (c Calculator) relayTraffic() float64 {
	p, l := c.Plan, c.Layout
	if l.LoadWatchers.Value > 0 {
		return 0
	}
	fromAgents := l.RegisteredAgents.Value * l.AgentReportRate.Value * l.HeartbeatReportBytes.Value
	betweenRelays := p.Servers.Value * l.AgentReportRate.Value * l.RowBytes.Value
	entries := p.Nodes.Value / l.ControlHosts.Value
	return fromAgents + betweenRelays + entries*l.EntryReportRate.Value*(l.RowsPerFrame.Value*l.RowBytes.Value+c.frameOverhead())
}

// ClaimLoad returns the load of one voter group that stores claims.
func (c Calculator) ClaimLoad() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	calls := p.PeakRequests.Value * p.KeyedCallShare.Value / l.ClaimGroups.Value
	const proposalsPerCall = 2 // one for the claim and one for its outcome
	heldClaims := calls * p.MeanLoadShare.Value * p.ClaimHorizon.Value
	rate := m.atSize("pkg/role/control.Cluster/claim", "callers", "claims/s", measuredCallers)
	work := m.atSize("pkg/role/control.Cluster/claim", "callers", "cpu-ns/op", measuredCallers)
	claim := m.slope("pkg/core/state.ApplyClaim", "claims", "B/claim")
	take := m.slope("pkg/core/state.Snapshot/take", "claims", "ns/op")
	bytes := m.slope("pkg/core/state.Snapshot/take", "claims", "bytes")
	restore := m.slope("pkg/core/state.Snapshot/restore", "claims", "ns/op")
	replay := m.slope("pkg/replica.Restart", "entries", "open-ms")
	proposals := calls * proposalsPerCall
	const oneCore = 1
	answers := heldClaims * p.AnswerBytes.Value
	restart := heldClaims*restore.Value*nanosecond + snapshotEntries*replay.Value/1000
	return []Row{
		newRow("proposals at peak", UnitPerSecond, rate.Value, proposals, "keyed calls; limit: measured rate, three voters on one disk", rate),
		newRow("proposals, processor of all voters", UnitCores, 0, proposals*work.Value*nanosecond, "callers counted", work),
		newRow("claims held", UnitCount, maxClaims, heldClaims, "keyed calls, mean load, horizon; limit: maxClaims"),
		newRow("recorded answers", UnitBytes, maxStoredBytes, answers, "answer size; limit: maxStoredBytes"),
		newRow("claims, memory", UnitBytes, p.ControlMemory.Value, heldClaims*claim.Value+answers, "answer size", claim),
		newRow("snapshot, bytes", UnitBytes, maxSnapshotBytes, heldClaims*bytes.Value+answers, "answer size; limit: maxSnapshot", bytes),
		newRow("snapshots, processor", UnitCores, oneCore, proposals/snapshotEntries*heldClaims*take.Value*nanosecond, "every 10,000 entries; limit: the one goroutine of the state", take),
		newRow("restart: snapshot and log", UnitSeconds, 0, restart, "10,000 entries after the snapshot; disk reads not counted", restore, replay),
	}
}

// OperatorLoad returns the load caused by the operator command line and its API.
func (c Calculator) OperatorLoad() []Row {
	p, m := c.Plan, c.Measured
	bytes := m.slope("pkg/operators.Catalogue/write", "organisations", "wire-B")
	write := m.slope("pkg/operators.Catalogue/write", "organisations", "ns/op")
	read := m.atSize("pkg/operators.Catalogue/read", "organisations", "ns/op", c.organisations())
	all := m.atSize("pkg/operators.Catalogue/write", "organisations", "wire-B", c.organisations())
	memory := m.atSize("pkg/operators.Catalogue/read", "organisations", "B/op", c.organisations())
	apply := m.atSize("pkg/core/state.ApplyChange", "organisations", "ns/op", c.organisations())
	return []Row{
		newRow("state", UnitBytes, 0, 0, "the command line keeps none"),
		newRow("changes at peak", UnitPerSecond, 0, c.changesAtPeak(), "peak of changes"),
		newRow("one change, traffic", UnitBytes, 0, bytes.Value, "one organisation", bytes),
		newRow("changes, traffic at control", UnitBytesPerSecond, 0, bytes.Value*c.changesAtPeak(), "one organisation for each change", bytes),
		newRow("one change, processor of the command line", UnitSeconds, 0, write.Value*nanosecond, "process start not measured", write),
		newRow("changes, processor of each voter", UnitCorePercent, 0, corePercent(apply.Value, c.changesAtPeak()), "apply step alone", apply),
		newRow("whole catalogue, traffic", UnitBytes, 0, all.Value, "", all),
		newRow("whole catalogue, processor", UnitSeconds, p.ChangePropagationLimit.Value, read.Value*nanosecond, "", read),
		newRow("whole catalogue, memory allocated", UnitBytes, p.NodeMemoryLimit.Value, memory.Value, "limit of a node as a yardstick", memory),
	}
}
