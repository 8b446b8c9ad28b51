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
	HomeShare      Figure `name:"requests of an organisation in its home region"`
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
		NodeMemory:    planned(64e6, UnitBytes),
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
		ControlMemory:  assumed(32e9, UnitBytes, "as above"),
		ControlLink:    assumed(1.25e9, UnitBytesPerSecond, "10 Gbit/s"),
		EngineFirst:    assumed(0.25, UnitSeconds, "prefill and one decode step; an engine matter that the router does not change"),
		EngineBetween:  assumed(0.028, UnitSeconds, "as above"),
		LocalRoundTrip: assumed(0.001, UnitSeconds, "the users state under 1 ms one way between today's data centres"),
		HomeShare:      assumed(0.9, UnitPart, "an organisation has its callers and its data mostly in one region"),
		RegionTrip:     assumed(0.08, UnitSeconds, "regions on one continent or two; not given by the users"),
	}
}
