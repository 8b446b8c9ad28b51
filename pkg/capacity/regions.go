package capacity

// Times of the code that decide how long a cut between regions is felt.
const (
	configGrace  = 4.0 // control.config_grace, seconds
	maxBackoff   = 1.0 // pkg/control maxBackoff, seconds
	pingInterval = 0.5 // pkg/control pingInterval, seconds
	electionMax  = 0.4 // twice replica.election_timeout, seconds
)

// Regions returns what stops while one region is cut off from the others.
func (c Calculator) Regions() []Row {
	p := c.Plan
	arriving := p.Requests.Value / p.Regions.Value
	refused := arriving
	if c.Layout.ClaimGroups.Value > 1 {
		away := (1 - p.HomeShare.Value) * arriving
		refused = 2 * away // of others in the cut region, and of its own elsewhere
	}
	back := maxBackoff*1.5 + pingInterval + p.RegionTrip.Value
	return []Row{
		row("requests that arrive in the cut region", UnitPerSecond, 0, arriving, "even load"),
		row("requests refused as not run, in each second of the cut", UnitPerSecond, 0, refused, "requests in the home region"),
		row("part of all requests", UnitPart, 0, refused/p.Requests.Value, "requests in the home region"),
		row("until the cut region refuses", UnitSeconds, p.InEffect.Value, configGrace, "config_grace"),
		row("until a leader is elected, if it was in the cut region", UnitSeconds, 0, electionMax+2*p.RegionTrip.Value, "election time-out, two rounds of votes; no split vote"),
		row("until the cut region serves again after the cut", UnitSeconds, 0, back, "longest pause before the next attempt, one ping"),
	}
}
