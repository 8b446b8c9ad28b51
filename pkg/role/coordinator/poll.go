package coordinator

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// pollInterval is a little over the age of an engine's report, so that each
	// poll tells something new.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 250 * time.Millisecond
	// pollRate bounds the polls of all engines together, a second: each takes about
	// 0.1 ms of a core, and small hosts have a tenth of one.
	pollRate = 250
	// loadPollInterval is for engines that carry out an order: requests wait for
	// the layers that they load.
	loadPollInterval = 100 * time.Millisecond
	// pollMisses is the number of polls without an answer after which an engine
	// gets no new work. One alone may be a lost packet.
	pollMisses = 2
	// stalledTime is the time for which a report that an engine is waited for
	// counts.
	stalledTime = time.Second
)

// pollState is the state of the polls of one engine.
type pollState struct {
	running bool
	next    time.Time
	misses  int
	stalled time.Time // when another engine last said that it waits for this one
}

// poll asks the engines for their state. An engine that refuses connections is
// down; one that does not answer in time is suspect after some polls.
func (c *Coordinator) poll(now time.Time) {
	conf := c.config.Load()
	if conf == nil {
		return
	}
	interval := max(pollInterval, time.Duration(len(c.polls))*time.Second/pollRate)
	for _, in := range c.registry.All() {
		service := conf.Services[in.GetService()]
		if service == nil || service.Model == nil || in.GetLeft() {
			continue
		}
		p := c.polls[in.GetId()]
		if p == nil {
			p = &pollState{}
			c.polls[in.GetId()] = p
		}
		if p.running || now.Before(p.next) {
			continue
		}
		p.running = true
		p.next = now.Add(interval)
		if _, loading := c.placement.ordered[in.GetId()]; loading {
			p.next = now.Add(loadPollInterval)
		}
		c.metrics.polls.Inc()
		go c.pollOne(in)
	}
	for id := range c.polls {
		if c.registry.Get(id) == nil {
			delete(c.polls, id)
		}
	}
}

func (c *Coordinator) pollOne(in *wirepb.Instance) {
	started := time.Now()
	state, err := c.engines.Report(c.ctx, in.GetAddress(), pollTimeout)
	c.metrics.pollTime.Update(time.Since(started).Seconds())
	c.post(func() { c.polled(in, state, err) })
}

func (c *Coordinator) polled(in *wirepb.Instance, state instances.EngineState, err error) {
	p := c.polls[in.GetId()]
	if p == nil {
		return
	}
	p.running = false
	held := c.registry.Get(in.GetId())
	if held == nil || held.GetBornUnixMs() != in.GetBornUnixMs() {
		return
	}
	if err != nil {
		p.misses++
		p.next = time.Now() // ask again at once
		waitedFor := time.Since(p.stalled) < stalledTime
		if errors.Is(err, syscall.ECONNREFUSED) || p.misses >= pollMisses || waitedFor {
			p.next = time.Now().Add(pollInterval)
			c.suspect(held, p.misses, err)
		}
		return
	}
	c.noteStalled(state.Stalled)
	p.misses = 0
	if held.GetSuspect() {
		c.log.Info("Engine answers again.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()))
	}
	if was, is := isSlow(held.GetLoad()), isSlow(state.Load); was != is {
		c.log.Info("Engine speed changed.", logs.Str("instance", in.GetId()), logs.Int("slow", bit(is)),
			logs.Str("slowdown", strconv.FormatFloat(state.Load.GetSlowdown(), 'f', 2, 64)))
	}
	before, loads := c.registry.Revision(), c.registry.LoadRevision()
	c.registry.Report(time.Now(), in.GetId(), state.Report)
	if c.registry.Revision() != before || c.registry.LoadRevision() != loads && c.loadInterval() == 0 {
		c.watchers.wake()
	}
}

// suspect stops new work for an engine.
func (c *Coordinator) suspect(in *wirepb.Instance, misses int, cause error) {
	if in.GetSuspect() {
		return
	}
	c.log.Warn("Engine does not answer.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Int("misses", misses), logs.Err(cause))
	c.registry.Suspect(in.GetId())
	c.watchers.wake()
	c.wakeOwner()
}

// noteStalled asks engines that others wait for without regard to the interval.
// One missed poll is enough then.
func (c *Coordinator) noteStalled(stalled []instances.Stalled) {
	for _, s := range stalled {
		for id, p := range c.polls {
			if in := c.registry.Get(id); in.GetAddress() == s.Address && !in.GetSuspect() {
				p.stalled = time.Now()
				if p.misses > 0 {
					c.suspect(in, p.misses, fault.New(fault.Unavailable, "other engines wait for it"))
				}
				p.next = time.Time{}
				c.wakeOwner()
			}
		}
	}
}
