package coordinator

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxLossesPerReport bounds the work for one report. A gateway reports the engines of a few
	// paths at once.
	maxLossesPerReport = 128
	// pollTimeWeight is the weight of the newest poll in the mean duration.
	pollTimeWeight = 0.2
	// suspectRecheckDelay is the time until a usual poll of an engine that short polls made
	// suspect, so that a wrong suspicion is short.
	suspectRecheckDelay = 100 * time.Millisecond
)

func checkedProcess(in *wirepb.Instance) suspicion.Process {
	return suspicion.Process{ID: in.GetId(), StartUnixMs: in.GetBornUnixMs()}
}

// recordLossReport begins the checks of the engines that a gateway reports. It runs on the
// owner.
func (c *Coordinator) recordLossReport(now time.Time, r *wirepb.LossReport) *wirepb.Frame {
	c.metrics.lossReports.Inc()
	losses := r.GetLosses()
	for _, l := range losses[:min(len(losses), maxLossesPerReport)] {
		in := c.registry.Get(l.GetInstanceId())
		if in == nil || in.GetBornUnixMs() != l.GetBornUnixMs() || in.GetSuspect() || in.GetLeft() || c.polls[l.GetInstanceId()] == nil || c.isPaused(now, in) {
			continue
		}
		c.checks.Report(now, checkedProcess(in))
	}
	c.startShortPolls(now)
	return &wirepb.Frame{Body: &wirepb.Frame_LossReportReply{LossReportReply: &wirepb.LossReportReply{}}}
}

// startShortPolls starts the polls of reported engines that are due.
func (c *Coordinator) startShortPolls(now time.Time) {
	c.checks.Retain(now, func(p suspicion.Process) bool {
		in := c.registry.Get(p.ID)
		return c.polls[p.ID] != nil && in.GetBornUnixMs() == p.StartUnixMs && !in.GetSuspect()
	})
	for _, p := range c.checks.Due(now) {
		c.metrics.shortPolls.Inc()
		go c.pollShort(c.registry.Get(p.ID), suspicion.ShortTimeout(c.polls[p.ID].usualTime, pollTimeout))
	}
}

func (c *Coordinator) pollShort(in *wirepb.Instance, timeout time.Duration) {
	started := time.Now()
	state, err := c.engines.Report(c.ctx, in.GetAddress(), timeout)
	took := time.Since(started)
	c.postToOwner(func() { c.handleShortPoll(time.Now(), in, state, err, suspicion.UnansweredResult(took, timeout)) })
}

// handleShortPoll records the result of a short poll. unanswered is the result if there was
// no answer.
func (c *Coordinator) handleShortPoll(now time.Time, in *wirepb.Instance, state instances.EngineState, err error, unanswered suspicion.Result) {
	known, p := c.registry.Get(in.GetId()), c.polls[in.GetId()]
	result := suspicion.Answered
	switch {
	case p == nil || known.GetBornUnixMs() != in.GetBornUnixMs():
	case err == nil:
		c.recordState(known, p, state)
	case c.isPaused(now, known): // it answered that it wants no calls for some time
	case errors.Is(err, syscall.ECONNREFUSED):
		result = suspicion.Refused
	case fault.Is(err, fault.Deadline) || fault.Is(err, fault.Unavailable):
		result = unanswered
	default: // an answer that is no report; usual polls decide
	}
	suspect, next := c.checks.RecordShortPoll(now, checkedProcess(in), result)
	if suspect && !known.GetSuspect() {
		c.metrics.reportedSuspects.Inc()
		p.next = now.Add(suspectRecheckDelay)
		c.markSuspect(known, p.misses, fault.Wrap(err, fault.KindOf(err), "poll after the report of a gateway"))
	}
	if next > 0 {
		time.AfterFunc(next, func() { c.postToOwner(func() { c.startShortPolls(time.Now()) }) })
	}
}

// recordPollTime records the duration of a usual poll that was answered.
func (c *Coordinator) recordPollTime(in *wirepb.Instance, started time.Time, took time.Duration) {
	p := c.polls[in.GetId()]
	if p == nil {
		return
	}
	if p.usualTime == 0 {
		p.usualTime = took
	}
	p.usualTime += time.Duration(pollTimeWeight * float64(took-p.usualTime))
	c.checks.RecordAnswer(checkedProcess(in), started)
}
