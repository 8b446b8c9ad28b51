package capacity

// Timings of the implementation that determine how long a network partition
// between regions affects requests.
const (
	configGrace  = 4.0 // control.config_grace, seconds
	maxBackoff   = 1.0 // pkg/control maxBackoff, seconds
	pingInterval = 0.5 // pkg/control pingInterval, seconds
	electionMax  = 0.4 // twice replica.election_timeout, seconds
)

// RegionPartition returns the effects of a network partition that separates one
// region from the others.
func (c Calculator) RegionPartition() []Row {
	p := c.Plan
	arriving := p.PeakRequests.Value / p.Regions.Value
	refused := arriving
	if c.Layout.ClaimGroups.Value > 1 {
		outsideHome := (1 - p.HomeRegionShare.Value) * arriving
		refused = 2 * outsideHome // organisations of other regions inside the cut region, and its own organisations outside
	}
	resumeDelay := maxBackoff*1.5 + pingInterval + p.InterRegionRoundTrip.Value
	return []Row{
		newRow("requests that arrive in the cut region", UnitPerSecond, 0, arriving, "even load"),
		newRow("requests refused as not run, in each second of the cut", UnitPerSecond, 0, refused, "requests in the home region"),
		newRow("part of all requests", UnitFraction, 0, refused/p.PeakRequests.Value, "requests in the home region"),
		newRow("until the cut region refuses", UnitSeconds, p.ChangePropagationLimit.Value, configGrace, "config_grace"),
		newRow("until a leader is elected, if it was in the cut region", UnitSeconds, 0, electionMax+2*p.InterRegionRoundTrip.Value, "election time-out, two rounds of votes; no split vote"),
		newRow("until the cut region serves again after the cut", UnitSeconds, 0, resumeDelay, "longest pause before the next attempt, one ping"),
	}
}
