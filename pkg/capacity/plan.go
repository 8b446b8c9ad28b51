package capacity

// Parameter is one input of the calculations.
type Parameter struct {
	Value  float64
	Unit   Unit
	Reason string // why the value is assumed; empty for a value of the design page or of the current implementation
}

func plannedParameter(v float64, u Unit) Parameter { return Parameter{Value: v, Unit: u} }

func assumedParameter(v float64, u Unit, reason string) Parameter {
	return Parameter{Value: v, Unit: u, Reason: reason}
}

// Plan holds the planned size, the limits and the assumptions. The field tags are
// the names in the tables.
type Plan struct {
	Nodes                  Parameter `name:"nodes in front, each with an entry"`
	Servers                Parameter `name:"servers, each with an agent"`
	Accelerators           Parameter `name:"accelerators"`
	PeakRequests           Parameter `name:"requests at peak"`
	PeakTokens             Parameter `name:"generated tokens at peak"`
	Organisations          Parameter `name:"organisations"`
	Models                 Parameter `name:"models"`
	DataCentres            Parameter `name:"data centres"`
	Regions                Parameter `name:"regions"`
	Changes                Parameter `name:"configuration changes"`
	HostFailures           Parameter `name:"host failures"`
	HostRestarts           Parameter `name:"hosts restarted or replaced"`
	ChangePropagationLimit Parameter `name:"limit: a change in effect everywhere"`
	LeaveLimit             Parameter `name:"limit: no new work for an upstream that left"`
	FirstTokenLimit        Parameter `name:"limit: first token, 95%"`
	InterTokenLimit        Parameter `name:"limit: between tokens, 95%"`
	NodeCPULimit           Parameter `name:"limit: control work of a node, processor"`
	NodeMemoryLimit        Parameter `name:"limit: control work of a node, memory"`
	NodeTrafficLimit       Parameter `name:"limit: control work of a node, traffic"`
	ControlHostLimit       Parameter `name:"limit: hosts set aside for control"`
	FrameOverhead          Parameter `name:"bytes below each frame"`
	PromptTokens           Parameter `name:"prompt of a request"`
	Stages                 Parameter `name:"stages of a chain"`
	PeakChangeFactor       Parameter `name:"peak of changes over their mean"`
	AnnouncementsPerServer Parameter `name:"announcements changed for each server"`
	KeyedCallShare         Parameter `name:"calls with a key, of all requests"`
	MeanLoadShare          Parameter `name:"mean load of a day, of the peak"`
	AnswerBytes            Parameter `name:"recorded answer of a keyed call"`
	ClaimHorizon           Parameter `name:"claim horizon"`
	MeasuredPeers          Parameter `name:"agents that an agent measures"`
	ControlCores           Parameter `name:"cores of a control host for control"`
	ControlMemory          Parameter `name:"memory of a control host for control"`
	ControlLink            Parameter `name:"network of a control host"`
	EngineFirstToken       Parameter `name:"engine until the first token"`
	EngineInterToken       Parameter `name:"engine between tokens, all stages"`
	IntraRegionRoundTrip   Parameter `name:"round trip within a region"`
	HomeRegionShare        Parameter `name:"requests of an organisation in its home region"`
	InterRegionRoundTrip   Parameter `name:"round trip between regions"`
}

// DesignPlan returns the values of the design page and the assumptions.
func DesignPlan() Plan {
	return Plan{
		Nodes:                  plannedParameter(2100, UnitCount),
		Servers:                plannedParameter(11_000, UnitCount),
		Accelerators:           plannedParameter(45_000, UnitCount),
		PeakRequests:           plannedParameter(67_000, UnitPerSecond),
		PeakTokens:             plannedParameter(16e6, UnitPerSecond),
		Organisations:          plannedParameter(3600, UnitCount),
		Models:                 plannedParameter(39, UnitCount),
		DataCentres:            plannedParameter(14, UnitCount),
		Regions:                plannedParameter(4, UnitCount),
		Changes:                plannedParameter(33_000, UnitPerDay),
		HostFailures:           plannedParameter(210, UnitPerDay),
		HostRestarts:           plannedParameter(2100, UnitPerDay),
		ChangePropagationLimit: plannedParameter(5, UnitSeconds),
		LeaveLimit:             plannedParameter(3, UnitSeconds),
		FirstTokenLimit:        plannedParameter(0.38, UnitSeconds),
		InterTokenLimit:        plannedParameter(0.036, UnitSeconds),
		NodeCPULimit:           plannedParameter(4.3, UnitCorePercent),
		NodeMemoryLimit:        plannedParameter(64e6, UnitBytes),
		NodeTrafficLimit:       plannedParameter(5000, UnitBytesPerSecond),
		ControlHostLimit:       plannedParameter(42, UnitCount),

		FrameOverhead:          assumedParameter(116, UnitBytes, "12 yamux, 52 TCP and IP with time stamps, and one bare acknowledgement of 52 for each frame; frames that share a segment cost less"),
		PromptTokens:           assumedParameter(800, UnitTokens, "chat with some history and defect summaries; not given by the users"),
		Stages:                 assumedParameter(3, UnitCount, "no single machine holds the whole model; the tests use three"),
		PeakChangeFactor:       assumedParameter(10, UnitCount, "changes come in working hours and in scripts"),
		AnnouncementsPerServer: assumedParameter(4, UnitPerDay, "a role or model change every six hours"),
		KeyedCallShare:         assumedParameter(0.01, UnitFraction, "at 239 tokens for each request nearly all requests are generations; orders and filings are few"),
		MeanLoadShare:          assumedParameter(0.5, UnitFraction, "day and night over four regions"),
		AnswerBytes:            assumedParameter(400, UnitBytes, "a small JSON answer with headers"),
		ClaimHorizon:           assumedParameter(24*3600, UnitSeconds, "default of claim_horizon_seconds"),
		MeasuredPeers:          assumedParameter(16, UnitCount, "next stages chosen within the last minute; the code allows 64"),
		ControlCores:           assumedParameter(8, UnitCores, "an ordinary small server; the design page gives no figure"),
		ControlMemory:          assumedParameter(32e9, UnitBytes, "as above"),
		ControlLink:            assumedParameter(1.25e9, UnitBytesPerSecond, "10 Gbit/s"),
		EngineFirstToken:       assumedParameter(0.25, UnitSeconds, "prefill and one decode step; an engine matter that the router does not change"),
		EngineInterToken:       assumedParameter(0.028, UnitSeconds, "as above"),
		IntraRegionRoundTrip:   assumedParameter(0.001, UnitSeconds, "the users state under 1 ms one way between today's data centres"),
		HomeRegionShare:        assumedParameter(0.9, UnitFraction, "an organisation has its callers and its data mostly in one region"),
		InterRegionRoundTrip:   assumedParameter(0.08, UnitSeconds, "regions on one continent or two; not given by the users"),
	}
}
