package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// checkInterval is the interval between liveness checks and so the precision
	// with which silent upstreams are suspected and ejected.
	checkInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two checks above which this process
	// itself is assumed to have been suspended.
	pauseThreshold = 5 * checkInterval
	// warmUpTimeout bounds the time that a new entry waits for a usable report of
	// each upstream before it becomes ready. An entry that becomes ready earlier
	// would refuse requests because it knows no chain.
	warmUpTimeout  = time.Second
	eventQueueSize = 4096
)

// upstreamEvent is a load report or a round-trip time of one upstream. Exactly
// one of report and roundTrip is set.
type upstreamEvent struct {
	upstream  *upstreamState
	report    *wirepb.LoadReport
	roundTrip time.Duration
}

// upstreamMonitor maintains the routing table from the configuration and from
// the load reports of upstreams. Only the goroutine of run accesses its fields.
type upstreamMonitor struct {
	entry          *Entry
	ctx            context.Context
	table          *route.Table
	upstreamStates map[string]*upstreamState
	view           *control.View
	entryCount     route.ProcessCount
	events         chan upstreamEvent
	lastCheck      time.Time
	firstViewAt    time.Time
	// latencies holds the last reported latencies of each engine, by group and
	// host. An engine that has not run yet is assumed to be as fast as the fastest
	// of its group. With a slower assumption, a new host would get no requests
	// while a faster host has free slots, so its latencies would never be measured.
	latencies map[string]map[string]tokenLatencies
}

// tokenLatencies holds the time to the first token and between further tokens
// of an engine.
type tokenLatencies struct{ timeToFirstToken, interTokenTime time.Duration }

func newUpstreamMonitor(ctx context.Context, e *Entry) *upstreamMonitor {
	return &upstreamMonitor{
		entry:          e,
		ctx:            ctx,
		table:          route.NewTable(),
		upstreamStates: make(map[string]*upstreamState),
		events:         make(chan upstreamEvent, eventQueueSize),
		latencies:      make(map[string]map[string]tokenLatencies),
	}
}

// run processes configuration changes, upstream events and liveness checks until
// the context ends.
func (m *upstreamMonitor) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer m.cancelWatches()
	m.applyView()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.entry.opts.Control.Changed():
			m.applyView()
		case ev := <-m.events:
			m.applyEvent(ev)
		case <-ticker.C:
			m.checkUpstreams(m.entry.opts.Now())
		}
	}
}

// applyView applies the latest configuration view and publishes a snapshot.
func (m *upstreamMonitor) applyView() {
	v := m.entry.opts.Control.View()
	if v == nil || v == m.view {
		return
	}
	if m.view == nil {
		m.firstViewAt = m.entry.opts.Now()
	}
	m.view = v
	for host, up := range m.upstreamStates {
		if _, ok := v.Upstreams[host]; !ok {
			m.removeUpstream(up)
		}
	}
	for _, a := range v.Upstreams {
		m.applyAnnouncement(a)
	}
	m.publishSnapshot(m.entry.opts.Now())
}

// publishSnapshot publishes the view if it, or the number of entries, has changed.
func (m *upstreamMonitor) publishSnapshot(now time.Time) {
	if m.view == nil {
		return
	}
	entryCount := m.entryCount.Update(now, m.view.LiveEntryProcesses)
	if old := m.entry.snapshot.Load(); old == nil || old.view != m.view || old.entryCount != entryCount {
		m.entry.snapshot.Store(&snapshot{view: m.view, table: m.table, entryCount: entryCount})
	}
}

// applyAnnouncement adds an upstream or applies its changed announcement.
func (m *upstreamMonitor) applyAnnouncement(a *wirepb.Announcement) {
	up := m.upstreamStates[a.Host]
	if up != nil && up.announcement == a {
		return
	}
	if up != nil && (up.announcement.AgentAddress != a.AgentAddress || up.announcement.Incarnation != a.Incarnation) {
		m.removeUpstream(up)
		up = nil
	}
	group := latencyGroup(a)
	m.entry.outliers.SetGroup(a.Host, group)
	if up != nil {
		up.announcement, up.group = a, group
		m.updateTable(up)
		return
	}
	m.watchUpstream(a, group)
}

func (m *upstreamMonitor) watchUpstream(a *wirepb.Announcement, group string) {
	ctx, cancel := context.WithCancel(m.ctx)
	up := &upstreamState{announcement: a, cancel: cancel, group: group}
	m.upstreamStates[a.Host] = up
	send := func(ev upstreamEvent) {
		select {
		case m.events <- ev:
		case <-ctx.Done():
		}
	}
	go m.entry.opts.Agents.Monitor(ctx, a.AgentAddress,
		func(r *wirepb.LoadReport) { send(upstreamEvent{upstream: up, report: r}) },
		func(d time.Duration) { send(upstreamEvent{upstream: up, roundTrip: d}) })
}

// removeUpstream removes an upstream that left or restarted. Its streams continue
// if it is alive; otherwise its session is closed, which ends them at once.
func (m *upstreamMonitor) removeUpstream(up *upstreamState) {
	up.cancel()
	if up.state != agent.Alive {
		m.closeSession(up)
	}
	host := up.announcement.Host
	delete(m.upstreamStates, host)
	delete(m.latencies[up.group], host)
	m.table.Remove(host)
	m.entry.outliers.RemoveHost(host)
}

func (m *upstreamMonitor) cancelWatches() {
	for _, up := range m.upstreamStates {
		up.cancel()
	}
}

// applyEvent applies a load report or a round-trip time.
func (m *upstreamMonitor) applyEvent(ev upstreamEvent) {
	up := ev.upstream
	if m.upstreamStates[up.announcement.Host] != up {
		return // the upstream was removed
	}
	if ev.report == nil {
		up.roundTrip = ev.roundTrip
		return // the next report writes it to the table
	}
	if ev.report.Incarnation != up.announcement.Incarnation {
		return // the agent has restarted; its new announcement will follow
	}
	up.report = ev.report
	up.liveness.RecordReport(m.entry.opts.Now())
	up.state = agent.Alive
	m.updateTable(up)
}

// updateTable writes the state of an upstream to the table if it has reported.
func (m *upstreamMonitor) updateTable(up *upstreamState) {
	if up.report == nil {
		return
	}
	u := up.routeState()
	m.resolveLatencies(u, up.group)
	m.table.Update(u)
}

// resolveLatencies records the latencies that an engine reports. If it has not
// reported both, the missing ones are set to those of the fastest engine of the
// group.
func (m *upstreamMonitor) resolveLatencies(u *route.Upstream, group string) {
	if u.TimeToFirstToken > 0 && u.InterTokenLatency > 0 {
		if m.latencies[group] == nil {
			m.latencies[group] = make(map[string]tokenLatencies)
		}
		m.latencies[group][u.Host] = tokenLatencies{timeToFirstToken: u.TimeToFirstToken, interTokenTime: u.InterTokenLatency}
		return
	}
	var fastest tokenLatencies
	for _, s := range m.latencies[group] {
		if fastest.interTokenTime == 0 || s.interTokenTime < fastest.interTokenTime {
			fastest = s
		}
	}
	if u.TimeToFirstToken <= 0 {
		u.TimeToFirstToken = fastest.timeToFirstToken
	}
	if u.InterTokenLatency <= 0 {
		u.InterTokenLatency = fastest.interTokenTime
	}
}

// checkUpstreams updates the liveness of all upstreams and the warm-up state.
func (m *upstreamMonitor) checkUpstreams(now time.Time) {
	gap := now.Sub(m.lastCheck)
	paused := !m.lastCheck.IsZero() && gap > pauseThreshold
	m.lastCheck = now
	for _, up := range m.upstreamStates {
		if paused {
			up.liveness.ExcludePause(gap)
		}
		m.updateLiveness(up, now)
	}
	m.publishSnapshot(now)
	m.entry.promptGuard.step(now, m.table)
	m.checkWarmUp(now)
}

// checkWarmUp ends the warm-up once every listed upstream is usable, or after
// warmUpTimeout.
func (m *upstreamMonitor) checkWarmUp(now time.Time) {
	if m.entry.warmedUp.Load() || m.view == nil {
		return
	}
	if now.Sub(m.firstViewAt) >= warmUpTimeout || len(m.upstreamStates) > 0 && m.allUpstreamsUsable() {
		m.entry.warmedUp.Store(true)
	}
}

// allUpstreamsUsable reports whether each upstream has sent a report that says
// neither StaleConfig nor Draining. Draining is allowed if the announcement also
// says that the upstream is draining. An agent that has just started reports
// StaleConfig until its configuration is confirmed, and Draining until control
// has sent the order state of its host.
func (m *upstreamMonitor) allUpstreamsUsable() bool {
	for _, up := range m.upstreamStates {
		if up.report == nil || up.report.StaleConfig || up.report.Draining && up.announcement.State != stateDraining {
			return false
		}
	}
	return true
}

func (m *upstreamMonitor) updateLiveness(up *upstreamState, now time.Time) {
	state := up.liveness.State(now)
	if state == up.state || up.report == nil {
		return
	}
	up.state = state
	m.updateTable(up)
	if state == agent.Ejected {
		m.entry.metrics.ejections.Inc()
		m.entry.opts.Log.Warn("upstream is silent and ejected", logs.Str("upstream", up.announcement.Host))
		m.closeSession(up)
	}
}

// closeSession closes the session to an upstream in a new goroutine, because it
// may wait for a dial to an unresponsive host, which must not delay the reports of
// other upstreams.
func (m *upstreamMonitor) closeSession(up *upstreamState) {
	go m.entry.opts.Agents.CloseSession(up.announcement.AgentAddress)
}
