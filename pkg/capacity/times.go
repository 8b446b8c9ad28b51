package capacity

// Times returns the lines that are limited in time.
func (c Calculator) Times() []Row {
	p, m, l := c.Plan, c.Measured, c.Layout
	entry := m.at("pkg/role/entry.Loop", "tokens", "cpu-ns/op", 1)
	chain := m.at("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op", 1)
	choice := m.at("pkg/core/route.Chain", "upstreams", "ns/op", l.Known.Value)
	token := m.slope("pkg/role/entry.Loop", "tokens", "cpu-ns/op")
	step := m.slope("pkg/role/agent.Relay/chain", "tokens", "cpu-ns/op")
	stages := p.Stages.Value
	first := (entry.Value + chain.Value + choice.Value) * nanosecond
	between := (token.Value + step.Value) * nanosecond
	return []Row{
		row("first token", UnitSeconds, p.FirstToken.Value, p.EngineFirst.Value+first+l.RoundTrip.Value+(stages-1)*p.LocalRoundTrip.Value,
			"engine, one round trip to the head, the others local; no queue", entry, chain, choice),
		row("between tokens", UnitSeconds, p.BetweenTokens.Value, p.EngineBetween.Value+between+(stages-1)*p.LocalRoundTrip.Value,
			"engine, local links; tokens follow each other on the way to the entry", token, step),
		c.inEffect(),
		row("no new work for a lost upstream", UnitSeconds, p.LeaveLimit.Value, l.SuspectAfter.Value, "layout"),
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
	quorum := p.RegionTrip.Value
	value := quorum + hops*(pingInterval+p.RegionTrip.Value) + (l.Watchers.Value+relays)*perWatcher
	return row("a change in effect everywhere", UnitSeconds, p.InEffect.Value, value,
		"voters in several regions; one ping interval for each hop; one core sends", send, exchange)
}
