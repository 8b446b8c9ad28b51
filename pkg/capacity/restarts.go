package capacity

// restartedProcesses is the number of entries and agents that restart.
type restartedProcesses struct{ entries, agents float64 }

// proportionalRestarts returns the number of entries and agents among the given
// number of hosts, in proportion to their total numbers.
func (p Plan) proportionalRestarts(hosts float64) restartedProcesses {
	all := p.Nodes.Value + p.Servers.Value
	return restartedProcesses{entries: hosts * p.Nodes.Value / all, agents: hosts * p.Servers.Value / all}
}

func (p Plan) dataCentreRestarts() restartedProcesses {
	return restartedProcesses{entries: p.Nodes.Value / p.DataCentres.Value, agents: p.Servers.Value / p.DataCentres.Value}
}

// fullStateCosts holds the sizes and the CPU times of transferring the full state.
type fullStateCosts struct {
	organisations, upstreams, decodeOrganisations, decodeUpstreams, session, start MeasuredValue
}

func (c Calculator) fullStateCosts() fullStateCosts {
	m, l := c.Measured, c.Layout
	return fullStateCosts{
		organisations:       m.atSize("pkg/control.ViewFull", "organisations", "wire-B", c.organisations()),
		upstreams:           m.atSize("pkg/control.ViewFull", "upstreams", "wire-B", l.FullStateUpstreams.Value),
		decodeOrganisations: m.atSize("pkg/control.ViewFull", "organisations", "ns/op", c.organisations()),
		decodeUpstreams:     m.atSize("pkg/control.ViewFull", "upstreams", "ns/op", l.FullStateUpstreams.Value),
		session:             m.slope("pkg/link.Handshake", "sessions", "cpu-ns/session"),
		start:               m.slope("pkg/role/control.Sessions/watch", "sessions", "start-cpu-ns/session"),
	}
}

// ProcessRestart returns the state that one entry and one agent load after a
// restart, and its cost.
func (c Calculator) ProcessRestart() []Row {
	l, t := c.Layout, c.fullStateCosts()
	decode := (t.decodeOrganisations.Value + t.decodeUpstreams.Value) * nanosecond
	return []Row{
		newRow("entry: full state from one control process", UnitBytes, 0, t.organisations.Value+t.upstreams.Value, "", t.organisations, t.upstreams),
		newRow("entry: decoding it, processor", UnitSeconds, 0, decode, "", t.decodeOrganisations, t.decodeUpstreams),
		newRow("entry: sessions to agents, processor", UnitSeconds, 0, l.EntrySessions.Value*t.session.Value*nanosecond, "both ends counted", t.session),
		newRow("agent: catalogue from one control process", UnitBytes, 0, t.organisations.Value, "", t.organisations),
		newRow("agent: decoding it, processor", UnitSeconds, 0, t.decodeOrganisations.Value*nanosecond, "", t.decodeOrganisations),
		newRow("agent: sessions to entries, processor", UnitSeconds, 0, (l.AgentSessions.Value-2*c.Plan.MeasuredPeers.Value)*t.session.Value*nanosecond, "both ends counted", t.session),
	}
}

// MassRestart returns the load on the control processes when many processes
// restart at once, and the load on the entries and agents that did not restart.
func (c Calculator) MassRestart(r restartedProcesses) []Row {
	p, l, t := c.Plan, c.Layout, c.fullStateCosts()
	servers := c.servingProcesses()
	bytes := (r.entries*(t.organisations.Value+t.upstreams.Value) + r.agents*t.organisations.Value) / servers
	encode := c.Measured.atSize("pkg/role/control.WatcherFull", "organisations", "ns/op", c.organisations())
	build := c.Measured.atSize("pkg/role/control.FullBuild", "upstreams", "ns/op", l.FullStateUpstreams.Value)
	register := c.Measured.slope("pkg/role/control.Sessions/register", "sessions", "start-cpu-ns/session")
	registered := r.agents * l.Registrations.Value / c.registrationProcesses()
	cpu := (r.entries+r.agents)/servers*(t.start.Value+encode.Value) + registered*register.Value
	builds := min(registered, (r.entries+r.agents)/servers) * build.Value
	total := (cpu + builds) * nanosecond
	perEntry := r.agents * l.EntrySessions.Value / p.Servers.Value
	perAgent := r.entries * (l.AgentSessions.Value - 2*p.MeasuredPeers.Value) / p.Nodes.Value
	return []Row{
		newRow("entries that restart", UnitCount, 0, r.entries, "in proportion"),
		newRow("agents that restart", UnitCount, 0, r.agents, "in proportion"),
		newRow("bytes from each control process", UnitBytes, 0, bytes, "even spread", t.organisations, t.upstreams),
		newRow("time on its network", UnitSeconds, p.ChangePropagationLimit.Value, bytes/p.ControlLink.Value, "network of a control host"),
		newRow("registrations at each control process", UnitCount, 0, registered, "even spread"),
		newRow("processor of each control process", UnitSeconds, 0, total, "a full event built again for each registration; client ends counted", t.start, encode, build, register),
		newRow("time on its cores", UnitSeconds, p.ChangePropagationLimit.Value, total/p.ControlCores.Value, "cores of a control host, all of them in use"),
		newRow("each other entry: sessions to open again", UnitCount, 0, perEntry, "even spread"),
		newRow("each other entry: processor", UnitSeconds, 0, perEntry*t.session.Value*nanosecond, "both ends counted", t.session),
		newRow("each other agent: sessions accepted again", UnitCount, 0, perAgent, "even spread"),
		newRow("each other agent: processor", UnitSeconds, 0, perAgent*t.session.Value*nanosecond, "both ends counted", t.session),
	}
}

// servingProcesses returns the number of control processes that share the watches
// during a mass restart, which are the relays of one data centre or the remaining
// voters.
func (c Calculator) servingProcesses() float64 {
	if c.Layout.ClaimGroups.Value > 1 {
		return c.Layout.ControlHosts.Value / c.Plan.DataCentres.Value
	}
	return c.Layout.Voters.Value - 1
}

// registrationProcesses returns the number of control processes over which
// registrations are distributed.
func (c Calculator) registrationProcesses() float64 {
	if c.Layout.ClaimGroups.Value > 1 {
		return c.servingProcesses()
	}
	return c.Layout.Registrations.Value
}

// DailyRestarts returns the additional load from the restarts of an ordinary day.
func (c Calculator) DailyRestarts(r restartedProcesses) []Row {
	p, t := c.Plan, c.fullStateCosts()
	perDay := r.entries*(t.organisations.Value+t.upstreams.Value) + r.agents*t.organisations.Value
	work := (r.entries+r.agents)*t.start.Value + r.agents*c.Layout.Registrations.Value*c.Measured.slope("pkg/role/control.Sessions/register", "sessions", "start-cpu-ns/session").Value
	return []Row{
		newRow("entries that restart", UnitPerDay, 0, r.entries, "in proportion"),
		newRow("agents that restart", UnitPerDay, 0, r.agents, "in proportion"),
		newRow("each entry, mean of the day", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			r.entries*(t.organisations.Value+t.upstreams.Value)/p.Nodes.Value/secondsPerDay, "even spread", t.organisations, t.upstreams),
		newRow("bytes from control, mean", UnitBytesPerSecond, p.ControlLink.Value, perDay/secondsPerDay, "even spread", t.organisations, t.upstreams),
		newRow("processor of control, mean", UnitCorePercent, 0, work*nanosecond/secondsPerDay*percent, "client ends counted", t.start),
	}
}
