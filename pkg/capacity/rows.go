package capacity

import "strings"

const (
	percent       = 100
	nanosecond    = 1e-9
	secondsPerDay = 86_400
	// controlBeat is the rate of pings and heartbeats in each second.
	controlBeat = 2
)

// Row is one line of a table.
type Row struct {
	Name     string
	Measured []string
	Assumed  string
	Value    float64
	Unit     Unit
	Limit    float64 // zero without a limit
}

func row(name string, u Unit, limit, value float64, assumed string, terms ...MeasuredValue) Row {
	r := Row{Name: name, Unit: u, Limit: limit, Value: value, Assumed: assumed}
	for _, t := range terms {
		r.Measured = append(r.Measured, t.Description)
	}
	return r
}

// sum adds the rows of one unit.
func sum(name string, limit float64, rows []Row, u Unit) Row {
	total := Row{Name: "**" + name + "**", Unit: u, Limit: limit}
	for _, r := range rows {
		if r.Unit == u && !strings.HasPrefix(r.Name, "**") {
			total.Value += r.Value
		}
	}
	return total
}

// Calculator works out rows for one layout.
type Calculator struct {
	Plan     Plan
	Measured *Measured
	Layout   Layout
}

// cost returns percent of a core for so many operations in each second.
func cost(nanoseconds, perSecond float64) float64 {
	return nanoseconds * nanosecond * perSecond * percent
}

func (c Calculator) overhead() float64 { return c.Plan.FrameOverhead.Value }

func (c Calculator) message(kind string) MeasuredValue {
	return c.Measured.fixed("pkg/wire.Message/"+kind, "wire-B")
}

// changesAtPeak returns configuration changes in each second.
func (c Calculator) changesAtPeak() float64 {
	return c.Plan.Changes.Value / secondsPerDay * c.Plan.PeakChangeFactor.Value
}

// announcementChanges returns changes of the upstream registry in each second.
func (c Calculator) announcementChanges() float64 {
	p := c.Plan
	hosts := p.Nodes.Value + p.Servers.Value
	restarts := (p.HostRestarts.Value + p.HostFailures.Value) * p.Servers.Value / hosts
	const leaveAndReturn = 2
	return (restarts*leaveAndReturn + p.Servers.Value*p.AnnouncementsPerServer.Value) / secondsPerDay
}

// load report terms.
const reportedPrefixes = 32

func (c Calculator) reportBytes() MeasuredValue {
	return c.Measured.at("pkg/wire.Message/load_report", "prefixes", "wire-B", reportedPrefixes)
}

// reportCost is the processor time of a report over its stream, both ends.
func (c Calculator) reportCost() MeasuredValue {
	const reportsEachSecond = 10
	t := c.Measured.slope("pkg/role/agent.LoadWatchers", "watchers", "cpu-ns-each-s/watcher")
	t.Value /= reportsEachSecond
	return t
}

func (c Calculator) organisations() float64 { return c.Plan.Organisations.Value }

// keepAlive returns the traffic of the pings that both ends of each session send.
func (c Calculator) keepAlive(sessions float64) Row {
	const framesOfBothEnds = 4
	perSecond := sessions * c.Layout.KeepAliveRate.Value * framesOfBothEnds
	return row("keep-alives, traffic", UnitBytesPerSecond, c.Plan.NodeTrafficLimit.Value, perSecond*c.overhead(),
		"two frames for each ping, both ends", MeasuredValue{Description: "none"})
}

// watchRows returns the rows that an entry and an agent share.
func (c Calculator) watchRows(extra ...MeasuredValue) []Row {
	p, m := c.Plan, c.Measured
	ping, current := c.message("ping"), c.message("current")
	change := m.at("pkg/wire.Message/watch_event", "organisations", "wire-B", 1)
	adopt := m.at("pkg/control.ViewChange", "organisations", "ns/op", c.organisations())
	watch := m.slope("pkg/role/control.Sessions/watch", "sessions", "cpu-ns-each-s/session")
	adoptAll := adopt.Value
	for _, t := range extra {
		adoptAll += t.Value
	}
	overhead := "bytes below each frame"
	return []Row{
		row("watch: pings, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			controlBeat*(ping.Value+current.Value+2*c.overhead()), overhead, ping, current),
		row("watch: pings, processor", UnitCorePercent, p.NodeCPULimit.Value, cost(watch.Value, 1), "both ends counted", watch),
		row("watch: changes, traffic", UnitBytesPerSecond, p.NodeTrafficLimit.Value,
			c.changesAtPeak()*(change.Value+c.overhead()), "peak of changes", change),
		row("watch: changes, processor", UnitCorePercent, p.NodeCPULimit.Value,
			cost(adoptAll, c.changesAtPeak()), "peak of changes", append([]MeasuredValue{adopt}, extra...)...),
	}
}
