package capacity

// restart is what so many restarted entries and agents reload.
type restart struct{ entries, agents float64 }

// parts returns the entries and agents among so many hosts, in proportion.
func (p Plan) parts(hosts float64) restart {
	all := p.Nodes.Value + p.Servers.Value
	return restart{entries: hosts * p.Nodes.Value / all, agents: hosts * p.Servers.Value / all}
}

func (p Plan) dataCentre() restart {
	return restart{entries: p.Nodes.Value / p.DataCentres.Value, agents: p.Servers.Value / p.DataCentres.Value}
}

// stateTerms are the bytes and the processor time of the full state.
type stateTerms struct {
	organisations, upstreams, decodeOrganisations, decodeUpstreams, session, start MeasuredValue
}

func (c Calculator) stateTerms() stateTerms {
	m, l := c.Measured, c.Layout
	return stateTerms{
		organisations:       m.at("pkg/control.ViewFull", "organisations", "wire-B", c.organisations()),
		upstreams:           m.at("pkg/control.ViewFull", "upstreams", "wire-B", l.FullStateUpstreams.Value),
		decodeOrganisations: m.at("pkg/control.ViewFull", "organisations", "ns/op", c.organisations()),
		decodeUpstreams:     m.at("pkg/control.ViewFull", "upstreams", "ns/op", l.FullStateUpstreams.Value),
		session:             m.slope("pkg/link.Handshake", "sessions", "cpu-ns/session"),
		start:               m.slope("pkg/role/control.Sessions/watch", "sessions", "start-cpu-ns/session"),
	}
}

// ProcessRestart returns what a single process reloads.
func (c Calculator) ProcessRestart() []Row {
	l, t := c.Layout, c.stateTerms()
	decode := (t.decodeOrganisations.Value + t.decodeUpstreams.Value) * nanosecond
	return []Row{
		row("entry: full state from one control process", UnitBytes, 0, t.organisations.Value+t.upstreams.Value, "", t.organisations, t.upstreams),
		row("entry: decoding it, processor", UnitSeconds, 0, decode, "", t.decodeOrganisations, t.decodeUpstreams),
		row("entry: sessions to agents, processor", UnitSeconds, 0, l.EntrySessions.Value*t.session.Value*nanosecond, "both ends counted", t.session),
		row("agent: catalogue from one control process", UnitBytes, 0, t.organisations.Value, "", t.organisations),
		row("agent: decoding it, processor", UnitSeconds, 0, t.decodeOrganisations.Value*nanosecond, "", t.decodeOrganisations),
		row("agent: sessions to entries, processor", UnitSeconds, 0, (l.AgentSessions.Value-2*c.Plan.MeasuredPeers.Value)*t.session.Value*nanosecond, "both ends counted", t.session),
	}
}

// MassRestart returns what control serves when so many processes restart at once,
// and what the processes that did not restart do.
func (c Calculator) MassRestart(r restart) []Row {
	p, l, t := c.Plan, c.Layout, c.stateTerms()
	servers := c.servingProcesses()
	bytes := (r.entries*(t.organisations.Value+t.upstreams.Value) + r.agents*t.organisations.Value) / servers
	encode := c.Measured.at("pkg/role/control.WatcherFull", "organisations", "ns/op", c.organisations())
	build := c.Measured.at("pkg/role/control.FullBuild", "upstreams", "ns/op", l.FullStateUpstreams.Value)
	register := c.Measured.slope("pkg/role/control.Sessions/register", "sessions", "start-cpu-ns/session")
	registered := r.agents * l.Registrations.Value / c.registrars()
	cpu := (r.entries+r.agents)/servers*(t.start.Value+encode.Value) + registered*register.Value
	builds := min(registered, (r.entries+r.agents)/servers) * build.Value
	total := (cpu + builds) * nanosecond
	perEntry := r.agents * l.EntrySessions.Value / p.Servers.Value
	perAgent := r.entries * (l.AgentSessions.Value - 2*p.MeasuredPeers.Value) / p.Nodes.Value
	return []Row{
		row("entries that restart", UnitCount, 0, r.entries, "in proportion"),
		row("agents that restart", UnitCount, 0, r.agents, "in proportion"),
		row("bytes from each control process", UnitBytes, 0, bytes, "even spread", t.organisations, t.upstreams),
		row("time on its network", UnitSeconds, p.ChangePropagationLimit.Value, bytes/p.ControlLink.Value, "network of a control host"),
		row("registrations at each control process", UnitCount, 0, registered, "even spread"),
		row("processor of each control process", UnitSeconds, 0, total, "a full event built again for each registration; client ends counted", t.start, encode, build, register),
		row("time on its cores", UnitSeconds, p.ChangePropagationLimit.Value, total/p.ControlCores.Value, "cores of a control host, all of them in use"),
		row("each other entry: sessions to open again", UnitCount, 0, perEntry, "even spread"),
		row("each other entry: processor", UnitSeconds, 0, perEntry*t.session.Value*nanosecond, "both ends counted", t.session),
		row("each other agent: sessions accepted again", UnitCount, 0, perAgent, "even spread"),
		row("each other agent: processor", UnitSeconds, 0, perAgent*t.session.Value*nanosecond, "both ends counted", t.session),
	}
}

// servingProcesses returns the control processes that share the watches of a
// storm: the relays of one data centre, or the voters that are left.
func (c Calculator) servingProcesses() float64 {
	if c.Layout.ClaimGroups.Value > 1 {
		return c.Layout.ControlHosts.Value / c.Plan.DataCentres.Value
	}
	return c.Layout.Voters.Value - 1
}

// registrars returns the control processes among which registrations are spread.
func (c Calculator) registrars() float64 {
	if c.Layout.ClaimGroups.Value > 1 {
		return c.servingProcesses()
	}
	return c.Layout.Registrations.Value
}

// DailyRestarts returns what the restarts of an ordinary day add to control.
func (c Calculator) DailyRestarts(r restart) []Row {
	p, t := c.Plan, c.stateTerms()
	perDay := r.entries*(t.organisations.Value+t.upstreams.Value) + r.agents*t.organisations.Value
	work := (r.entries+r.agents)*t.start.Value + r.agents*c.Layout.Registrations.Value*c.Measured.slope("pkg/role/control.Sessions/register", "sessions", "start-cpu-ns/session").Value
	return []Row{
		row("entries that restart", UnitPerDay, 0, r.entries, "in proportion"),
		row("agents that restart", UnitPerDay, 0, r.agents, "in proportion"),
		row("each entry, mean of the day", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			r.entries*(t.organisations.Value+t.upstreams.Value)/p.Nodes.Value/secondsPerDay, "even spread", t.organisations, t.upstreams),
		row("bytes from control, mean", UnitBytesPerSecond, p.ControlLink.Value, perDay/secondsPerDay, "even spread", t.organisations, t.upstreams),
		row("processor of control, mean", UnitCorePercent, 0, work*nanosecond/secondsPerDay*percent, "client ends counted", t.start),
	}
}
