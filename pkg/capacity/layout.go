package capacity

// Layout holds the parameters that differ between the current layout and the
// scaled one. The field tags are the names in the table of parameters.
type Layout struct {
	FollowedUpstreams    Parameter `name:"upstreams whose load an entry follows"`
	KnownUpstreams       Parameter `name:"announcements that an entry holds"`
	EntryReportRate      Parameter `name:"report frames from each source to an entry"`
	ReportSources        Parameter `name:"sources of reports of an entry"`
	RowsPerFrame         Parameter `name:"upstreams in a report frame"`
	RowBytes             Parameter `name:"bytes of a further upstream in a report frame"`
	LoadWatchers         Parameter `name:"load watches of an agent"`
	AgentReportRate      Parameter `name:"reports of an agent to each watch"`
	Registrations        Parameter `name:"registrations of an agent"`
	PeerPingRate         Parameter `name:"pings to each measured agent"`
	EntryPingRate        Parameter `name:"pings of an entry to each followed upstream"`
	KeepAliveRate        Parameter `name:"keep-alive pings from each end of a session"`
	AgentSessions        Parameter `name:"sessions of an agent with entries and agents"`
	EntrySessions        Parameter `name:"sessions of an entry to agents"`
	HeartbeatReportBytes Parameter `name:"report carried by a heartbeat"`
	UpstreamRoundTrip    Parameter `name:"round trip from an entry to its upstreams, at worst"`
	ControlWatches       Parameter `name:"watches of the busiest control process"`
	RegisteredAgents     Parameter `name:"agents registered with a control process"`
	ClaimGroups          Parameter `name:"groups of voters that share the claims"`
	SuspectTimeout       Parameter `name:"silence until an upstream gets no new work"`
	Voters               Parameter `name:"voters of the catalogue"`
	ControlHosts         Parameter `name:"hosts that run control"`
	FullStateUpstreams   Parameter `name:"announcements in the full state of an entry"`
}

// CurrentLayout returns the layout of the current implementation with three voters.
func (p Plan) CurrentLayout() Layout {
	const voters = 3
	return Layout{
		FollowedUpstreams:    plannedParameter(p.Servers.Value, UnitCount),
		KnownUpstreams:       plannedParameter(p.Servers.Value, UnitCount),
		EntryReportRate:      plannedParameter(10, UnitPerSecond),
		ReportSources:        plannedParameter(p.Servers.Value, UnitCount),
		RowsPerFrame:         plannedParameter(1, UnitCount),
		RowBytes:             plannedParameter(0, UnitBytes),
		LoadWatchers:         plannedParameter(p.Nodes.Value, UnitCount),
		AgentReportRate:      plannedParameter(10, UnitPerSecond),
		Registrations:        plannedParameter(voters, UnitCount),
		PeerPingRate:         plannedParameter(4, UnitPerSecond),
		EntryPingRate:        plannedParameter(1, UnitPerSecond),
		KeepAliveRate:        plannedParameter(1, UnitPerSecond),
		AgentSessions:        plannedParameter(p.Nodes.Value+2*p.MeasuredPeers.Value, UnitCount),
		EntrySessions:        plannedParameter(p.Servers.Value, UnitCount),
		HeartbeatReportBytes: plannedParameter(0, UnitBytes),
		UpstreamRoundTrip:    p.InterRegionRoundTrip,
		ControlWatches:       plannedParameter((p.Nodes.Value+p.Servers.Value)/voters, UnitCount),
		RegisteredAgents:     plannedParameter(p.Servers.Value, UnitCount),
		ClaimGroups:          plannedParameter(1, UnitCount),
		SuspectTimeout:       plannedParameter(0.3, UnitSeconds),
		Voters:               plannedParameter(voters, UnitCount),
		ControlHosts:         plannedParameter(voters, UnitCount),
		FullStateUpstreams:   plannedParameter(p.Servers.Value, UnitCount),
	}
}

const (
	// upstreamSubset is the number of upstreams that an entry follows in the scaled
	// layout.
	upstreamSubset      = 128
	relaysPerDataCentre = 3
	relaysPerAgent      = 2
)

// ScaledLayout returns the layout with upstream subsets, relays and sharded claims.
func (p Plan) ScaledLayout() Layout {
	relays := relaysPerDataCentre * p.DataCentres.Value
	return Layout{
		FollowedUpstreams:    assumedParameter(upstreamSubset, UnitCount, "three replicas of each of 39 models; an entry needs the work of 5.2 servers"),
		KnownUpstreams:       assumedParameter(upstreamSubset, UnitCount, "the relay sends only the subset of the entry"),
		EntryReportRate:      assumedParameter(2, UnitPerSecond, "the relay sends the rows that changed, each 500 ms"),
		ReportSources:        assumedParameter(1, UnitCount, "one relay of the entry's own data centre at a time"),
		RowsPerFrame:         assumedParameter(upstreamSubset/4, UnitCount, "only rows whose wait moved by a tenth or more; not measured"),
		RowBytes:             assumedParameter(20, UnitBytes, "index, three waits, running, latencies and flags as varints"),
		LoadWatchers:         assumedParameter(0, UnitCount, "the report rides on the heartbeat to the relays"),
		AgentReportRate:      assumedParameter(2, UnitPerSecond, "with the heartbeat, each 500 ms"),
		Registrations:        assumedParameter(relaysPerAgent, UnitCount, "two relays of the own data centre, so that one may fail"),
		PeerPingRate:         assumedParameter(0.1, UnitPerSecond, "a link changes slowly; silence of a peer in use shows on its stream"),
		EntryPingRate:        assumedParameter(0, UnitPerSecond, "the keep-alive pings and the requests in progress measure the round trip"),
		KeepAliveRate:        assumedParameter(1.0/60, UnitPerSecond, "a dead peer shows in the relay's report and on its streams; the ping only ends idle sessions"),
		AgentSessions:        assumedParameter(upstreamSubset*p.Nodes.Value/p.Servers.Value+2*p.MeasuredPeers.Value, UnitCount, "entries spread evenly over the subsets"),
		EntrySessions:        assumedParameter(upstreamSubset, UnitCount, "requests still go straight to the agents of the subset"),
		HeartbeatReportBytes: assumedParameter(130, UnitBytes, "a report without prefixes and links [wire Message/load_report links=1]; those follow as deltas"),
		UpstreamRoundTrip:    assumedParameter(p.IntraRegionRoundTrip.Value, UnitSeconds, "subsets prefer the own region"),
		ControlWatches:       assumedParameter((p.Nodes.Value+p.Servers.Value)/relays, UnitCount, "watches end at the relays; the catalogue group serves only relays"),
		RegisteredAgents:     assumedParameter(p.Servers.Value*relaysPerAgent/relays, UnitCount, "agents spread over the relays of their data centre"),
		ClaimGroups:          assumedParameter(p.DataCentres.Value, UnitCount, "by hash of organisation; three voters in different data centres of the home region"),
		SuspectTimeout:       assumedParameter(1.2, UnitSeconds, "two missed reports and one relay interval"),
		Voters:               assumedParameter(5, UnitCount, "five of the relay hosts, no region with more than two"),
		ControlHosts:         assumedParameter(relays, UnitCount, "three in each data centre; each runs a relay and one claim voter"),
		FullStateUpstreams:   assumedParameter(upstreamSubset, UnitCount, "as above"),
	}
}
