package capacity

// Layout holds what the mechanisms change.
type Layout struct {
	Followed      Figure `name:"upstreams whose load an entry follows"`
	Known         Figure `name:"announcements that an entry holds"`
	ReportRate    Figure `name:"report frames from each source to an entry"`
	ReportSources Figure `name:"sources of reports of an entry"`
	RowsPerFrame  Figure `name:"upstreams in a report frame"`
	RowBytes      Figure `name:"bytes of a further upstream in a report frame"`
	LoadWatchers  Figure `name:"load watches of an agent"`
	AgentRate     Figure `name:"reports of an agent to each watch"`
	Registrations Figure `name:"registrations of an agent"`
	PeerPings     Figure `name:"pings to each measured agent"`
	RoundTrips    Figure `name:"pings of an entry to each followed upstream"`
	KeepAlives    Figure `name:"keep-alive pings from each end of a session"`
	AgentSessions Figure `name:"sessions of an agent with entries and agents"`
	Sessions      Figure `name:"sessions of an entry to agents"`
	CarriedReport Figure `name:"report carried by a heartbeat"`
	RoundTrip     Figure `name:"round trip from an entry to its upstreams, at worst"`
	Watchers      Figure `name:"watches of the busiest control process"`
	Registered    Figure `name:"agents registered with a control process"`
	ClaimGroups   Figure `name:"groups of voters that share the claims"`
	SuspectAfter  Figure `name:"silence until an upstream gets no new work"`
	Voters        Figure `name:"voters of the catalogue"`
	ControlHosts  Figure `name:"hosts that run control"`
	FullUpstreams Figure `name:"announcements in the full state of an entry"`
}

// Today returns the layout of the present build with three voters.
func (p Plan) Today() Layout {
	const voters = 3
	return Layout{
		Followed:      planned(p.Servers.Value, UnitCount),
		Known:         planned(p.Servers.Value, UnitCount),
		ReportRate:    planned(10, UnitPerSecond),
		ReportSources: planned(p.Servers.Value, UnitCount),
		RowsPerFrame:  planned(1, UnitCount),
		RowBytes:      planned(0, UnitBytes),
		LoadWatchers:  planned(p.Nodes.Value, UnitCount),
		AgentRate:     planned(10, UnitPerSecond),
		Registrations: planned(voters, UnitCount),
		PeerPings:     planned(4, UnitPerSecond),
		RoundTrips:    planned(1, UnitPerSecond),
		KeepAlives:    planned(1, UnitPerSecond),
		AgentSessions: planned(p.Nodes.Value+2*p.ChainPeers.Value, UnitCount),
		Sessions:      planned(p.Servers.Value, UnitCount),
		CarriedReport: planned(0, UnitBytes),
		RoundTrip:     p.RegionTrip,
		Watchers:      planned((p.Nodes.Value+p.Servers.Value)/voters, UnitCount),
		Registered:    planned(p.Servers.Value, UnitCount),
		ClaimGroups:   planned(1, UnitCount),
		SuspectAfter:  planned(0.3, UnitSeconds),
		Voters:        planned(voters, UnitCount),
		ControlHosts:  planned(voters, UnitCount),
		FullUpstreams: planned(p.Servers.Value, UnitCount),
	}
}

const (
	// subset is the number of upstreams that an entry follows.
	subset             = 128
	relaysOfDataCentre = 3
	relayTargets       = 2
)

// WithMechanisms returns the layout with subsets, relays and sharded claims.
func (p Plan) WithMechanisms() Layout {
	relays := relaysOfDataCentre * p.DataCentres.Value
	return Layout{
		Followed:      assumed(subset, UnitCount, "three replicas of each of 39 models; an entry needs the work of 5.2 servers"),
		Known:         assumed(subset, UnitCount, "the relay sends only the subset of the entry"),
		ReportRate:    assumed(2, UnitPerSecond, "the relay sends the rows that changed, each 500 ms"),
		ReportSources: assumed(1, UnitCount, "one relay of the entry's own data centre at a time"),
		RowsPerFrame:  assumed(subset/4, UnitCount, "only rows whose wait moved by a tenth or more; not measured"),
		RowBytes:      assumed(20, UnitBytes, "index, three waits, running, latencies and flags as varints"),
		LoadWatchers:  assumed(0, UnitCount, "the report rides on the heartbeat to the relays"),
		AgentRate:     assumed(2, UnitPerSecond, "with the heartbeat, each 500 ms"),
		Registrations: assumed(relayTargets, UnitCount, "two relays of the own data centre, so that one may fail"),
		PeerPings:     assumed(0.1, UnitPerSecond, "a link changes slowly; silence of a peer in use shows on its stream"),
		RoundTrips:    assumed(0, UnitPerSecond, "the keep-alive pings and the requests in progress measure the round trip"),
		KeepAlives:    assumed(1.0/60, UnitPerSecond, "a dead peer shows in the relay's report and on its streams; the ping only ends idle sessions"),
		AgentSessions: assumed(subset*p.Nodes.Value/p.Servers.Value+2*p.ChainPeers.Value, UnitCount, "entries spread evenly over the subsets"),
		Sessions:      assumed(subset, UnitCount, "requests still go straight to the agents of the subset"),
		CarriedReport: assumed(130, UnitBytes, "a report without prefixes and links [wire Message/load_report links=1]; those follow as deltas"),
		RoundTrip:     assumed(p.LocalRoundTrip.Value, UnitSeconds, "subsets prefer the own region"),
		Watchers:      assumed((p.Nodes.Value+p.Servers.Value)/relays, UnitCount, "watches end at the relays; the catalogue group serves only relays"),
		Registered:    assumed(p.Servers.Value*relayTargets/relays, UnitCount, "agents spread over the relays of their data centre"),
		ClaimGroups:   assumed(p.DataCentres.Value, UnitCount, "by hash of organisation; three voters in different data centres of the home region"),
		SuspectAfter:  assumed(1.2, UnitSeconds, "two missed reports and one relay interval"),
		Voters:        assumed(5, UnitCount, "five of the relay hosts, no region with more than two"),
		ControlHosts:  assumed(relays, UnitCount, "three in each data centre; each runs a relay and one claim voter"),
		FullUpstreams: assumed(subset, UnitCount, "as above"),
	}
}
