package capacity

// Figure is one input of the tables.
type Figure struct {
	Value  float64
	Unit   Unit
	Reason string // empty for a figure of the design page
}

func planned(v float64, u Unit) Figure { return Figure{Value: v, Unit: u} }

func assumed(v float64, u Unit, reason string) Figure {
	return Figure{Value: v, Unit: u, Reason: reason}
}

// Plan holds the planned size, the limits and the assumptions.
type Plan struct {
	Nodes          Figure `name:"nodes in front, each with an entry"`
	Servers        Figure `name:"servers, each with an agent"`
	Accelerators   Figure `name:"accelerators"`
	Requests       Figure `name:"requests at peak"`
	Tokens         Figure `name:"generated tokens at peak"`
	Organisations  Figure `name:"organisations"`
	Models         Figure `name:"models"`
	DataCentres    Figure `name:"data centres"`
	Regions        Figure `name:"regions"`
	Changes        Figure `name:"configuration changes"`
	HostFailures   Figure `name:"host failures"`
	HostRestarts   Figure `name:"hosts restarted or replaced"`
	InEffect       Figure `name:"limit: a change in effect everywhere"`
	LeaveLimit     Figure `name:"limit: no new work for an upstream that left"`
	FirstToken     Figure `name:"limit: first token, 95%"`
	BetweenTokens  Figure `name:"limit: between tokens, 95%"`
	NodeProcessor  Figure `name:"limit: control work of a node, processor"`
	NodeMemory     Figure `name:"limit: control work of a node, memory"`
	NodeBytes      Figure `name:"limit: control work of a node, traffic"`
	ControlHosts   Figure `name:"limit: hosts set aside for control"`
	FrameOverhead  Figure `name:"bytes below each frame"`
	PromptTokens   Figure `name:"prompt of a request"`
	Stages         Figure `name:"stages of a chain"`
	ChangePeak     Figure `name:"peak of changes over their mean"`
	ModelMoves     Figure `name:"announcements changed for each server"`
	KeyedCalls     Figure `name:"calls with a key, of all requests"`
	MeanLoad       Figure `name:"mean load of a day, of the peak"`
	AnswerBytes    Figure `name:"recorded answer of a keyed call"`
	ClaimHorizon   Figure `name:"claim horizon"`
	ChainPeers     Figure `name:"agents that an agent measures"`
	ControlCores   Figure `name:"cores of a control host for control"`
	ControlMemory  Figure `name:"memory of a control host for control"`
	ControlLink    Figure `name:"network of a control host"`
	EngineFirst    Figure `name:"engine until the first token"`
	EngineBetween  Figure `name:"engine between tokens, all stages"`
	LocalRoundTrip Figure `name:"round trip within a region"`
	RegionTrip     Figure `name:"round trip between regions"`
}

// PlannedSize returns the figures of the design page and the assumptions.
func PlannedSize() Plan {
	return Plan{
		Nodes:         planned(2100, UnitCount),
		Servers:       planned(11_000, UnitCount),
		Accelerators:  planned(45_000, UnitCount),
		Requests:      planned(67_000, UnitPerSecond),
		Tokens:        planned(16e6, UnitPerSecond),
		Organisations: planned(3600, UnitCount),
		Models:        planned(39, UnitCount),
		DataCentres:   planned(14, UnitCount),
		Regions:       planned(4, UnitCount),
		Changes:       planned(33_000, UnitPerDay),
		HostFailures:  planned(210, UnitPerDay),
		HostRestarts:  planned(2100, UnitPerDay),
		InEffect:      planned(5, UnitSeconds),
		LeaveLimit:    planned(3, UnitSeconds),
		FirstToken:    planned(0.38, UnitSeconds),
		BetweenTokens: planned(0.036, UnitSeconds),
		NodeProcessor: planned(4.3, UnitCorePercent),
		NodeMemory:    planned(64<<20, UnitBytes),
		NodeBytes:     planned(5000, UnitBytesPerSecond),
		ControlHosts:  planned(42, UnitCount),

		FrameOverhead:  assumed(116, UnitBytes, "12 yamux, 52 TCP and IP with time stamps, and one bare acknowledgement of 52 for each frame; frames that share a segment cost less"),
		PromptTokens:   assumed(800, UnitTokens, "chat with some history and defect summaries; not given by the users"),
		Stages:         assumed(3, UnitCount, "no single machine holds the whole model; the tests use three"),
		ChangePeak:     assumed(10, UnitCount, "changes come in working hours and in scripts"),
		ModelMoves:     assumed(4, UnitPerDay, "a role or model change every six hours"),
		KeyedCalls:     assumed(0.01, UnitPart, "at 239 tokens for each request nearly all requests are generations; orders and filings are few"),
		MeanLoad:       assumed(0.5, UnitPart, "day and night over four regions"),
		AnswerBytes:    assumed(400, UnitBytes, "a small JSON answer with headers"),
		ClaimHorizon:   assumed(24*3600, UnitSeconds, "default of claim_horizon_seconds"),
		ChainPeers:     assumed(16, UnitCount, "next stages chosen within the last minute; the code allows 64"),
		ControlCores:   assumed(8, UnitCores, "an ordinary small server; the design page gives no figure"),
		ControlMemory:  assumed(32<<30, UnitBytes, "as above"),
		ControlLink:    assumed(1.25e9, UnitBytesPerSecond, "10 Gbit/s"),
		EngineFirst:    assumed(0.25, UnitSeconds, "prefill and one decode step; an engine matter that the router does not change"),
		EngineBetween:  assumed(0.028, UnitSeconds, "as above"),
		LocalRoundTrip: assumed(0.001, UnitSeconds, "the users state under 1 ms one way between today's data centres"),
		RegionTrip:     assumed(0.08, UnitSeconds, "regions on one continent or two; not given by the users"),
	}
}

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

// WithMechanisms returns the layout with subsets, relays and sharded claims.
func (p Plan) WithMechanisms() Layout {
	const (
		subset       = 128
		relaysPerDC  = 3
		relayTargets = 2
	)
	relays := relaysPerDC * p.DataCentres.Value
	return Layout{
		Followed:      assumed(subset, UnitCount, "three replicas of each of 39 models; an entry needs the work of 5.2 servers"),
		Known:         assumed(subset, UnitCount, "the relay sends only the subset of the entry"),
		ReportRate:    assumed(2, UnitPerSecond, "the relay sends the rows that changed, each 500 ms"),
		ReportSources: assumed(1, UnitCount, "one relay of the entry's own data centre at a time"),
		RowsPerFrame:  assumed(subset/2, UnitCount, "half of the rows change enough within 500 ms"),
		RowBytes:      assumed(20, UnitBytes, "index, three waits, running, latencies and flags as varints"),
		LoadWatchers:  assumed(0, UnitCount, "the report rides on the heartbeat to the relays"),
		AgentRate:     assumed(2, UnitPerSecond, "with the heartbeat, each 500 ms"),
		Registrations: assumed(relayTargets, UnitCount, "two relays of the own data centre, so that one may fail"),
		PeerPings:     assumed(0.1, UnitPerSecond, "a link changes slowly; silence of a peer in use shows on its stream"),
		RoundTrips:    assumed(1.0/60, UnitPerSecond, "requests in progress measure the upstreams in use; the ping is for the others"),
		KeepAlives:    assumed(1.0/60, UnitPerSecond, "a dead peer shows in the relay's report and on its streams; the ping only ends idle sessions"),
		AgentSessions: assumed(subset*p.Nodes.Value/p.Servers.Value+2*p.ChainPeers.Value, UnitCount, "entries spread evenly over the subsets"),
		Sessions:      assumed(subset, UnitCount, "requests still go straight to the agents of the subset"),
		RoundTrip:     p.LocalRoundTrip,
		Watchers:      assumed((p.Nodes.Value+p.Servers.Value)/relays, UnitCount, "watches end at the relays; the catalogue group serves only relays"),
		Registered:    assumed(p.Servers.Value*relayTargets/relays, UnitCount, "agents spread over the relays of their data centre"),
		ClaimGroups:   assumed(p.DataCentres.Value, UnitCount, "by hash of organisation; three voters in different data centres of the home region"),
		SuspectAfter:  assumed(1.2, UnitSeconds, "two missed reports and one relay interval"),
		Voters:        assumed(5, UnitCount, "five of the relay hosts, no region with more than two"),
		ControlHosts:  assumed(relays, UnitCount, "three in each data centre; each runs a relay and one claim voter"),
		FullUpstreams: assumed(subset, UnitCount, "as above"),
	}
}
