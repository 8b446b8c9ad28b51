package capacity

import "strings"

const (
	percent       = 100
	nanosecond    = 1e-9
	secondsPerDay = 86_400
	// controlPingsPerSecond is the rate of pings and of heartbeats per session.
	controlPingsPerSecond = 2
)

// Row is one calculated line of a table.
type Row struct {
	Name     string
	Measured []string
	Assumed  string
	Value    float64
	Unit     Unit
	Limit    float64 // zero for none
}

func newRow(name string, u Unit, limit, value float64, assumed string, terms ...MeasuredValue) Row {
	r := Row{Name: name, Unit: u, Limit: limit, Value: value, Assumed: assumed}
	for _, t := range terms {
		r.Measured = append(r.Measured, t.Description)
	}
	return r
}

// newTotalRow returns the sum of the rows that have the given unit. Rows that are
// totals themselves are not added.
func newTotalRow(name string, limit float64, rows []Row, u Unit) Row {
	total := Row{Name: "**" + name + "**", Unit: u, Limit: limit}
	for _, r := range rows {
		if r.Unit == u && !strings.HasPrefix(r.Name, "**") {
			total.Value += r.Value
		}
	}
	return total
}

// Calculator calculates the rows of the tables for one layout.
type Calculator struct {
	Plan     Plan
	Measured *Measurements
	Layout   Layout
}

// corePercent returns the CPU use, in percent of a core, of perSecond operations
// that take the given number of nanoseconds each.
func corePercent(nanoseconds, perSecond float64) float64 {
	return nanoseconds * nanosecond * perSecond * percent
}

func (c Calculator) frameOverhead() float64 { return c.Plan.FrameOverhead.Value }

func (c Calculator) messageBytes(kind string) MeasuredValue {
	return c.Measured.withoutSize("pkg/wire.Message/"+kind, "wire-B")
}

// changesAtPeak returns the number of configuration changes per second at peak.
func (c Calculator) changesAtPeak() float64 {
	return c.Plan.Changes.Value / secondsPerDay * c.Plan.PeakChangeFactor.Value
}

// announcementChanges returns the number of changes of the upstream registry per
// second. A restart causes two: the upstream leaves and returns.
func (c Calculator) announcementChanges() float64 {
	p := c.Plan
	hosts := p.Nodes.Value + p.Servers.Value
	restarts := (p.HostRestarts.Value + p.HostFailures.Value) * p.Servers.Value / hosts
	const changesPerRestart = 2
	return (restarts*changesPerRestart + p.Servers.Value*p.AnnouncementsPerServer.Value) / secondsPerDay
}

// reportedPrefixes is the number of prefixes in a load report.
const reportedPrefixes = 32

func (c Calculator) reportBytes() MeasuredValue {
	return c.Measured.atSize("pkg/wire.Message/load_report", "prefixes", "wire-B", reportedPrefixes)
}

// reportCost returns the CPU time of one report over a stream, for both ends.
func (c Calculator) reportCost() MeasuredValue {
	const reportsPerSecond = 10
	t := c.Measured.slope("pkg/role/agent.LoadWatchers", "watchers", "cpu-ns-each-s/watcher")
	t.Value /= reportsPerSecond
	return t
}

func (c Calculator) organisations() float64 { return c.Plan.Organisations.Value }

// keepAlive returns the traffic of the pings that both ends of each session send.
func (c Calculator) keepAlive(sessions float64) Row {
	const framesOfBothEnds = 4
	perSecond := sessions * c.Layout.KeepAliveRate.Value * framesOfBothEnds
	return newRow("keep-alives, traffic", UnitBytesPerSecond, c.Plan.NodeTrafficLimit.Value, perSecond*c.frameOverhead(),
		"two frames for each ping, both ends", MeasuredValue{Description: "none"})
}

// watchRows returns the rows for a configuration watch, which entries and agents
// have in common. The values in extra are added to the CPU time of each change.
func (c Calculator) watchRows(extra ...MeasuredValue) []Row {
	p, m := c.Plan, c.Measured
	ping, current := c.messageBytes("ping"), c.messageBytes("current")
	change := m.atSize("pkg/wire.Message/watch_event", "organisations", "wire-B", 1)
	adopt := m.atSize("pkg/control.ViewChange", "organisations", "ns/op", c.organisations())
	watch := m.slope("pkg/role/control.Sessions/watch", "sessions", "cpu-ns-each-s/session")
	changeCost := adopt.Value
	for _, t := range extra {
		changeCost += t.Value
	}
	overhead := "bytes below each frame"
	return []Row{
		newRow("watch: pings, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			controlPingsPerSecond*(ping.Value+current.Value+2*c.frameOverhead()), overhead, ping, current),
		newRow("watch: pings, processor", UnitCorePercent, p.NodeCPULimit.Value, corePercent(watch.Value, 1), "both ends counted", watch),
		newRow("watch: changes, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			c.changesAtPeak()*(change.Value+c.frameOverhead()), "peak of changes", change),
		newRow("watch: changes, processor", UnitCorePercent, p.NodeCPULimit.Value,
			corePercent(changeCost, c.changesAtPeak()), "peak of changes", append([]MeasuredValue{adopt}, extra...)...),
	}
}
