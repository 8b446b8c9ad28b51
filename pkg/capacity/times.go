package capacity

// Latencies returns the estimated times for which the design page sets a limit.
func (c Calculator) Latencies() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	entry := m.atSize("pkg/role/entry.Loop", "tokens", "cpu-ns/op", 1)
	chain := m.atSize("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op", 1)
	choice := m.atSize("pkg/core/route.Chain", "upstreams", "ns/op", l.KnownUpstreams.Value)
	token := m.slope("pkg/role/entry.Loop", "tokens", "cpu-ns/op")
	step := m.slope("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op")
	stages := p.Stages.Value
	first := (entry.Value + chain.Value + choice.Value) * nanosecond
	between := (token.Value + step.Value) * nanosecond
	return []Row{
		newRow("first token", UnitSeconds, p.FirstTokenLimit.Value, p.EngineFirstToken.Value+first+l.UpstreamRoundTrip.Value+(stages-1)*p.IntraRegionRoundTrip.Value,
			"engine, one round trip to the head, the others local; no queue", entry, chain, choice),
		newRow("between tokens", UnitSeconds, p.InterTokenLimit.Value, p.EngineInterToken.Value+between+(stages-1)*p.IntraRegionRoundTrip.Value,
			"engine, local links; tokens follow each other on the way to the entry", token, step),
		c.changePropagation(),
		newRow("no new work for a lost upstream", UnitSeconds, p.LeaveLimit.Value, l.SuspectTimeout.Value, "layout"),
	}
}

// changePropagation returns the time from the proposal of a change until the last
// watcher has confirmed it.
func (c Calculator) changePropagation() Row {
	p, l := c.Plan, c.Layout
	perWatcher, send, ping := c.changeCostPerWatcher()
	hops := 1.0
	relays := 0.0
	if l.ClaimGroups.Value > 1 {
		hops, relays = 2, l.ControlHosts.Value
	}
	quorum := p.InterRegionRoundTrip.Value
	value := quorum + hops*(pingInterval+p.InterRegionRoundTrip.Value) + (l.ControlWatches.Value+relays)*perWatcher
	return newRow("a change in effect everywhere", UnitSeconds, p.ChangePropagationLimit.Value, value,
		"voters in several regions; one ping interval for each hop; one core sends", send, ping)
}
