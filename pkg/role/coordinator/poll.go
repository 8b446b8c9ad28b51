package coordinator

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/core/takeover"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// pollInterval is slightly longer than the interval at which an engine renews its report,
	// so that each poll returns new information. suspicion.PollInterval lengthens it.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 250 * time.Millisecond
	// maxPollsPerSecond bounds the polls of all engines together: each takes about 0.1 ms of a
	// core, and small hosts have a tenth of a core.
	maxPollsPerSecond = 250
	// orderPollInterval applies to engines with an unfinished order, because requests wait
	// for the layers that they load.
	orderPollInterval = 100 * time.Millisecond
	// maxPollMisses is the number of polls without an answer after which an engine gets no new
	// work. A single miss may be a lost packet.
	maxPollMisses = 2
	// stallReportMaxAge limits the age of a report that another engine waits for this one.
	// While such a report is newer, one missed poll makes the engine suspect.
	stallReportMaxAge = time.Second
	// stallMemory is the time after such a report for which the engine is polled at
	// pollInterval.
	stallMemory = 2 * time.Second
)

type pollState struct {
	running         bool
	next            time.Time
	misses          int
	lastStallReport time.Time     // when another engine last reported that it waits for this one
	usualTime       time.Duration // mean duration of the answered polls, zero before the first one
}

// poll starts the polls that are due. handlePollResult marks an engine suspect, so that it
// gets no new requests: after a refused connection, after maxPollMisses polls without an
// answer, or after one such poll if another engine waits for it.
func (c *Coordinator) poll(now time.Time) {
	conf := c.config.Load()
	if conf == nil {
		return
	}
	interval := max(pollInterval, time.Duration(len(c.polls))*time.Second/maxPollsPerSecond)
	for _, in := range c.registry.All() {
		if !isPolled(conf, in) {
			continue
		}
		p := c.polls[in.GetId()]
		if p == nil {
			p = &pollState{}
			c.polls[in.GetId()] = p
		}
		if p.running || now.Before(p.next) || c.isPaused(now, in) {
			continue
		}
		p.running = true
		_, pending := c.placement.pendingOrders[in.GetId()]
		concerned := pending || p.misses > 0 || now.Sub(p.lastStallReport) < stallMemory || c.checks.Concerns(now, checkedProcess(in)) ||
			in.GetSuspect() || in.GetLoading() || in.GetLeaving() || isSlow(in.GetLoad())
		p.next = now.Add(suspicion.PollInterval(interval, loadOf(in, conf.Services[in.GetService()].Model), concerned))
		if pending {
			p.next = now.Add(orderPollInterval)
		}
		c.metrics.polls.Inc()
		go c.pollEngine(in)
	}
	c.startShortPolls(now)
	c.selfReports.Forget(now, func(p selfreport.Process) bool { return selfreport.ProcessOf(c.registry.Get(p.ID)) == p })
	for id := range c.polls {
		if c.registry.Get(id) == nil {
			delete(c.polls, id)
		}
	}
	c.survey.Retain(func(e takeover.Engine) bool {
		in := c.registry.Get(e.ID)
		return in != nil && !in.GetLeft() && in.GetBornUnixMs() == e.StartUnixMs
	})
}

// loadOf returns the last reported load of an engine.
func loadOf(in *wirepb.Instance, m *routing.Model) suspicion.Load {
	l := in.GetLoad()
	return suspicion.Load{Requests: int(l.GetActive()) + int(l.GetQueued()), Slots: m.Slots, KVUsed: l.GetKvUsed(), KVTotal: l.GetKvTotal()}
}

// isPolled reports whether an instance is an engine, and not gone.
func isPolled(conf *routing.Configuration, in *wirepb.Instance) bool {
	service := conf.Services[in.GetService()]
	return service != nil && service.Model != nil && !in.GetLeft()
}

// polledEngines returns the engines in the registry.
func (c *Coordinator) polledEngines() []takeover.Engine {
	conf := c.config.Load()
	if conf == nil {
		return nil
	}
	var out []takeover.Engine
	for _, in := range c.registry.All() {
		if isPolled(conf, in) {
			out = append(out, takeover.Engine{ID: in.GetId(), StartUnixMs: in.GetBornUnixMs()})
		}
	}
	return out
}

func (c *Coordinator) pollEngine(in *wirepb.Instance) {
	started := time.Now()
	state, err := c.engines.Report(c.ctx, in.GetAddress(), pollTimeout)
	took := time.Since(started)
	c.metrics.pollTime.Update(took.Seconds())
	c.postToOwner(func() {
		if err == nil {
			c.recordPollTime(in, started, took)
		}
		c.handlePollResult(in, state, err)
	})
}

func (c *Coordinator) handlePollResult(in *wirepb.Instance, state instances.EngineState, err error) {
	p := c.polls[in.GetId()]
	if p == nil {
		return
	}
	p.running = false
	c.recordSurveyed(in)
	known := c.registry.Get(in.GetId())
	if known == nil || known.GetBornUnixMs() != in.GetBornUnixMs() {
		return
	}
	if err != nil && c.isPaused(time.Now(), known) {
		p.misses = 0 // it answered that it wants no calls for some time
		return
	}
	if err != nil {
		p.misses++
		p.next = time.Now() // retry at once
		othersWait := time.Since(p.lastStallReport) < stallReportMaxAge
		if errors.Is(err, syscall.ECONNREFUSED) || p.misses >= maxPollMisses || othersWait {
			p.next = time.Now().Add(pollInterval)
			c.markSuspect(known, p.misses, err)
		}
		return
	}
	c.recordState(known, p, state)
}

// recordState records the answer of an engine to a poll.
func (c *Coordinator) recordState(known *wirepb.Instance, p *pollState, state instances.EngineState) {
	c.recordStalled(state.Stalled)
	p.misses = 0
	if known.GetSuspect() {
		c.log.Info("Engine answers again.", logs.Str("instance", known.GetId()), logs.Str("address", known.GetAddress()))
	}
	if was, is := isSlow(known.GetLoad()), isSlow(state.Load); was != is {
		c.log.Info("Engine speed changed.", logs.Str("instance", known.GetId()), logs.Int("slow", boolToInt(is)),
			logs.Str("slowdown", strconv.FormatFloat(state.Load.GetSlowdown(), 'f', 2, 64)))
	}
	c.logRequestLimit(known, state.RequestLimit)
	if state.Leaving && !known.GetLeaving() {
		c.log.Info("Engine says that it leaves.", logs.Str("instance", known.GetId()), logs.Str("address", known.GetAddress()))
		c.requestStep()
	}
	before, loads := c.registry.Revision(), c.registry.LoadRevision()
	c.registry.ApplyPoll(time.Now(), known.GetId(), state.PollResult)
	if c.registry.Revision() != before || c.registry.LoadRevision() != loads && c.loadInterval() == 0 {
		c.watchers.signalChange()
	}
}

// recordSurveyed records a finished poll for the survey of a new leader, and has the layout
// planned when it was the last one.
func (c *Coordinator) recordSurveyed(in *wirepb.Instance) {
	before := c.survey.Complete()
	c.survey.RecordPoll(takeover.Engine{ID: in.GetId(), StartUnixMs: in.GetBornUnixMs()})
	if !before && c.survey.Complete() {
		c.requestStep()
	}
}

// markSuspect stops new work for an engine that does not answer.
func (c *Coordinator) markSuspect(in *wirepb.Instance, misses int, cause error) {
	if in.GetSuspect() {
		return
	}
	c.log.Warn("Engine does not answer.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Int("misses", misses), logs.Err(cause))
	c.registry.MarkSuspect(in.GetId())
	c.watchers.signalUrgent()
	c.requestStep()
}

// recordStalled schedules an immediate poll of each engine that another engine reported to
// be waiting for. An engine that has already missed a poll becomes suspect.
func (c *Coordinator) recordStalled(stalled []instances.Stalled) {
	for _, s := range stalled {
		for id, p := range c.polls {
			if in := c.registry.Get(id); in.GetAddress() == s.Address && !in.GetSuspect() {
				p.lastStallReport = time.Now()
				if p.misses > 0 {
					c.markSuspect(in, p.misses, fault.New(fault.Unavailable, "other engines are waiting for this engine"))
				}
				p.next = time.Time{}
				c.requestStep()
			}
		}
	}
}

// isPaused reports whether an engine asked for no calls from this process at a time.
func (c *Coordinator) isPaused(now time.Time, in *wirepb.Instance) bool {
	return c.selfReports.Blocked(now, selfreport.ProcessOf(in))
}

// recordEngineReply records the time for which the engine at an address wants no calls.
func (c *Coordinator) recordEngineReply(address string, m instances.ReplyMetadata) {
	if m.RetryAfter <= 0 {
		return
	}
	c.postToOwner(func() {
		for id := range c.polls {
			in := c.registry.Get(id)
			if in == nil || in.GetAddress() != address {
				continue
			}
			if _, changed := c.selfReports.Record(time.Now(), selfreport.ProcessOf(in), selfreport.Report{Pause: m.RetryAfter}); changed {
				c.log.Info("Engine asks for time.", logs.Str("instance", id), logs.Str("address", address), logs.Dur("for", m.RetryAfter))
			}
		}
	})
}
