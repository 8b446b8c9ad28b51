package capacity

// Latencies returns the lines that are limited in time.
func (c Calculator) Latencies() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	entry := m.at("pkg/role/entry.Loop", "tokens", "cpu-ns/op", 1)
	chain := m.at("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op", 1)
	choice := m.at("pkg/core/route.Chain", "upstreams", "ns/op", l.KnownUpstreams.Value)
	token := m.slope("pkg/role/entry.Loop", "tokens", "cpu-ns/op")
	step := m.slope("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op")
	stages := p.Stages.Value
	first := (entry.Value + chain.Value + choice.Value) * nanosecond
	between := (token.Value + step.Value) * nanosecond
	return []Row{
		row("first token", UnitSeconds, p.FirstTokenLimit.Value, p.EngineFirstToken.Value+first+l.UpstreamRoundTrip.Value+(stages-1)*p.IntraRegionRoundTrip.Value,
			"engine, one round trip to the head, the others local; no queue", entry, chain, choice),
		row("between tokens", UnitSeconds, p.InterTokenLimit.Value, p.EngineInterToken.Value+between+(stages-1)*p.IntraRegionRoundTrip.Value,
			"engine, local links; tokens follow each other on the way to the entry", token, step),
		c.inEffect(),
		row("no new work for a lost upstream", UnitSeconds, p.LeaveLimit.Value, l.SuspectTimeout.Value, "layout"),
	}
}

// inEffect is the time from the proposal until the last watcher has answered.
func (c Calculator) inEffect() Row {
	p, l := c.Plan, c.Layout
	perWatcher, send, exchange := c.sendChange()
	hops := 1.0
	relays := 0.0
	if l.ClaimGroups.Value > 1 {
		hops, relays = 2, l.ControlHosts.Value
	}
	quorum := p.InterRegionRoundTrip.Value
	value := quorum + hops*(pingInterval+p.InterRegionRoundTrip.Value) + (l.ControlWatches.Value+relays)*perWatcher
	return row("a change in effect everywhere", UnitSeconds, p.ChangePropagationLimit.Value, value,
		"voters in several regions; one ping interval for each hop; one core sends", send, exchange)
}
