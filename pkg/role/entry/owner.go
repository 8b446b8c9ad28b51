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
	// checkInterval is the precision of suspicion and ejection.
	checkInterval = 50 * time.Millisecond
	// pauseLimit is a gap between checks that shows that this process itself
	// was not running.
	pauseLimit = 5 * checkInterval
	// warmUp bounds the wait of a new entry for the first report of each
	// upstream; a shorter wait would refuse work for lack of a chain.
	warmUp         = time.Second
	eventQueueSize = 4096
)

// event is news about one upstream. Exactly one of report and roundTrip is set.
type event struct {
	peer      *peer
	report    *wirepb.LoadReport
	roundTrip time.Duration
}

// owner is the state of the control goroutine. Nothing else touches it.
type owner struct {
	entry     *Entry
	ctx       context.Context
	table     *route.Table
	peers     map[string]*peer
	view      *control.View
	events    chan event
	lastCheck time.Time
	viewSince time.Time // when the first view arrived
	// speeds holds what each engine reported last, by group and host. The
	// fastest of a group stands in for one that has not run yet: with a slower
	// one, a new host gets no work while a faster host has free slots, and never
	// shows how fast it is.
	speeds map[string]map[string]speed
}

// speed is the time of an engine for a first and for each further token.
type speed struct{ first, inter time.Duration }

func newOwner(ctx context.Context, e *Entry) *owner {
	return &owner{
		entry:  e,
		ctx:    ctx,
		table:  route.NewTable(),
		peers:  make(map[string]*peer),
		events: make(chan event, eventQueueSize),
		speeds: make(map[string]map[string]speed),
	}
}

// run applies changes of the configuration and reports until ctx ends.
func (o *owner) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer o.stopAll()
	o.follow()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.entry.opts.Control.Changed():
			o.follow()
		case ev := <-o.events:
			o.apply(ev)
		case <-ticker.C:
			o.check(o.entry.opts.Now())
		}
	}
}

// follow adopts the newest view.
func (o *owner) follow() {
	v := o.entry.opts.Control.View()
	if v == nil || v == o.view {
		return
	}
	if o.view == nil {
		o.viewSince = o.entry.opts.Now()
	}
	o.view = v
	for host, p := range o.peers {
		if _, ok := v.Upstreams[host]; !ok {
			o.remove(p)
		}
	}
	for _, a := range v.Upstreams {
		o.announce(a)
	}
	o.entry.snapshot.Store(&snapshot{view: v, table: o.table})
}

// announce adds an upstream or applies its changed announcement.
func (o *owner) announce(a *wirepb.Announcement) {
	p := o.peers[a.Host]
	if p != nil && p.announcement == a {
		return
	}
	if p != nil && (p.announcement.AgentAddress != a.AgentAddress || p.announcement.Incarnation != a.Incarnation) {
		o.remove(p)
		p = nil
	}
	group := groupOf(a)
	o.entry.tracker.SetGroup(a.Host, group)
	if p != nil {
		p.announcement, p.group = a, group
		o.update(p)
		return
	}
	o.start(a, group)
}

func (o *owner) start(a *wirepb.Announcement, group string) {
	ctx, cancel := context.WithCancel(o.ctx)
	p := &peer{announcement: a, cancel: cancel, group: group}
	o.peers[a.Host] = p
	send := func(ev event) {
		select {
		case o.events <- ev:
		case <-ctx.Done():
		}
	}
	go o.entry.opts.Agents.Monitor(ctx, a.AgentAddress,
		func(r *wirepb.LoadReport) { send(event{peer: p, report: r}) },
		func(d time.Duration) { send(event{peer: p, roundTrip: d}) })
}

// remove forgets an upstream that left or restarted. Streams to one that
// still reports go on; those to a silent one end at once.
func (o *owner) remove(p *peer) {
	p.cancel()
	if p.state != agent.Alive {
		o.drop(p)
	}
	host := p.announcement.Host
	delete(o.peers, host)
	delete(o.speeds[p.group], host)
	o.table.Remove(host)
	o.entry.tracker.RemoveHost(host)
}

func (o *owner) stopAll() {
	for _, p := range o.peers {
		p.cancel()
	}
}

// apply takes one report or round trip.
func (o *owner) apply(ev event) {
	p := ev.peer
	if o.peers[p.announcement.Host] != p {
		return // of an upstream that was removed
	}
	if ev.report == nil {
		p.roundTrip = ev.roundTrip
		return // the next report carries it into the table
	}
	if ev.report.Incarnation != p.announcement.Incarnation {
		return // another run of the agent; its announcement is on its way
	}
	p.report = ev.report
	p.liveness.RecordReport(o.entry.opts.Now())
	p.state = agent.Alive
	o.update(p)
}

// update writes the state of an upstream that has reported to the table.
func (o *owner) update(p *peer) {
	if p.report == nil {
		return
	}
	u := p.upstream()
	o.fillSpeed(u, p.group)
	o.table.Update(u)
}

// fillSpeed notes the speed that an engine reports, or gives it the fastest of
// its group when it has not run yet.
func (o *owner) fillSpeed(u *route.Upstream, group string) {
	if u.TimeToFirstToken > 0 && u.InterTokenLatency > 0 {
		if o.speeds[group] == nil {
			o.speeds[group] = make(map[string]speed)
		}
		o.speeds[group][u.Host] = speed{first: u.TimeToFirstToken, inter: u.InterTokenLatency}
		return
	}
	var known speed
	for _, s := range o.speeds[group] {
		if known.inter == 0 || s.inter < known.inter {
			known = s
		}
	}
	if u.TimeToFirstToken <= 0 {
		u.TimeToFirstToken = known.first
	}
	if u.InterTokenLatency <= 0 {
		u.InterTokenLatency = known.inter
	}
}

// check moves silent upstreams to suspect and ejected.
func (o *owner) check(now time.Time) {
	gap := now.Sub(o.lastCheck)
	paused := !o.lastCheck.IsZero() && gap > pauseLimit
	o.lastCheck = now
	for _, p := range o.peers {
		if paused {
			p.liveness.ExcludePause(gap)
		}
		o.judge(p, now)
	}
	o.checkWarm(now)
}

// checkWarm lets the entry become ready once every listed upstream can be
// chosen, or after warmUp.
func (o *owner) checkWarm(now time.Time) {
	if o.entry.warm.Load() || o.view == nil {
		return
	}
	if now.Sub(o.viewSince) >= warmUp || len(o.peers) > 0 && o.allUsable() {
		o.entry.warm.Store(true)
	}
}

// allUsable reports whether each upstream has sent a report that lets it be
// chosen. After a start of the whole system agents may confirm their
// configuration, and learn whether their host is drained, a little later than
// the entry hears of them.
func (o *owner) allUsable() bool {
	for _, p := range o.peers {
		if p.report == nil || p.report.StaleConfig || p.report.Draining && p.announcement.State != stateDraining {
			return false
		}
	}
	return true
}

func (o *owner) judge(p *peer, now time.Time) {
	state := p.liveness.State(now)
	if state == p.state || p.report == nil {
		return
	}
	p.state = state
	o.update(p)
	if state == agent.Ejected {
		o.entry.metrics.ejections.Inc()
		o.entry.opts.Log.Warn("upstream is silent and ejected", logs.Str("upstream", p.announcement.Host))
		o.drop(p)
	}
}

// drop ends the session to an upstream. It may wait for a dial to a frozen
// host, which must not delay the reports of the others.
func (o *owner) drop(p *peer) {
	go o.entry.opts.Agents.CloseSession(p.announcement.AgentAddress)
}
