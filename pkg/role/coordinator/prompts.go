package coordinator

import (
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// promptDelays are several times the usual time of a report: gateways group what they
// report for 50 ms, and a watched part reaches them within an update.
var promptDelays = quarantine.Delays{Settle: 150 * time.Millisecond, Answers: 400 * time.Millisecond}

// recordPromptReport records what a gateway saw of requests with shared prompt parts. It runs
// on the owner.
func (c *Coordinator) recordPromptReport(now time.Time, r *wirepb.PromptReport) *wirepb.Frame {
	for _, b := range r.GetBroken() {
		process := quarantine.Process{ID: b.GetInstanceId(), StartUnixMs: b.GetBornUnixMs()}
		first := c.prompts.RecordBroken(now, quarantine.BrokenReply{
			RequestID: b.GetRequestId(), Process: process, Progress: progressOf(b), Parts: quarantine.NewParts(b.GetParts()),
			At: now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond),
		})
		if p := c.polls[process.ID]; p != nil && first {
			p.next = time.Time{} // the poll tells a crash from a broken connection
		}
	}
	for _, a := range r.GetAnswered() {
		c.prompts.RecordAnswered(quarantine.NewParts(a.GetParts()), int(a.GetCount()), a.GetBeforeWatch())
	}
	c.requestStep()
	return &wirepb.Frame{Body: &wirepb.Frame_PromptReportReply{PromptReportReply: &wirepb.PromptReportReply{}}}
}

func progressOf(b *wirepb.BrokenReply) quarantine.Progress {
	switch {
	case b.GetHasEvent():
		return quarantine.Writing
	case b.GetReplyBegan():
		return quarantine.Began
	}
	return quarantine.Waiting
}

// isLost reports whether a process of an engine is gone or does not answer. An instance
// that announced that it leaves has not crashed.
func (c *Coordinator) isLost(now time.Time, p quarantine.Process) bool {
	in := c.registry.Get(p.ID)
	switch {
	case in == nil:
		return now.Sub(c.leaderSince) > takeOverTime
	case in.GetLeaving() || in.GetLeft():
		return false
	}
	return in.GetSuspect() || in.GetBornUnixMs() != p.StartUnixMs
}

// stepPrompts decides on quarantines. It runs on the owner.
func (c *Coordinator) stepPrompts(now time.Time) {
	c.prompts.Step(now, func(p quarantine.Process) bool { return c.isLost(now, p) })
	if c.prompts.Revision() == c.loggedPromptRevision {
		return
	}
	c.loggedPromptRevision = c.prompts.Revision()
	c.logQuarantines(now)
	c.watchers.signalChange()
}

// logQuarantines logs the quarantines that were imposed, changed or lifted since the last
// call.
func (c *Coordinator) logQuarantines(now time.Time) {
	list := c.prompts.Quarantines()
	for _, q := range list {
		if !q.Until.After(now) || slices.ContainsFunc(c.loggedQuarantines, func(old quarantine.Quarantine) bool {
			return slices.Equal(old.Parts, q.Parts) && old.Terms == q.Terms
		}) {
			continue
		}
		c.metrics.quarantines.Inc()
		c.log.Warn("Prompt parts quarantined.", logs.Strs("prompt_parts", q.Parts), logs.Dur("remaining", q.Until.Sub(now)), logs.Int("terms", q.Terms))
	}
	for _, old := range c.loggedQuarantines {
		if !slices.ContainsFunc(list, func(q quarantine.Quarantine) bool { return slices.Equal(old.Parts, q.Parts) }) {
			c.log.Info("Quarantine lifted.", logs.Strs("prompt_parts", old.Parts))
		}
	}
	c.loggedQuarantines = list
}

// collectPromptParts adds the decisions on prompt parts if the watcher has not been sent
// them yet. It runs on the owner.
func (c *Coordinator) collectPromptParts(now time.Time, u *wirepb.FleetUpdate, state *watcherState) {
	if state.promptRevision == c.prompts.Revision() {
		return
	}
	state.promptRevision = c.prompts.Revision()
	u.PromptParts = coordinators.EncodePromptParts(now, coordinators.PromptParts{Watched: c.prompts.Watched(), Quarantines: c.prompts.Quarantines()})
}
