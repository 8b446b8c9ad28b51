package agent

import (
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// processOf identifies the run of an announced upstream. What one run states does not bind
// the next one.
func processOf(a *upstreams.Announcement) selfreport.Process {
	return selfreport.Process{ID: a.Name + " " + a.Address, StartUnixMs: int64(a.RunID)}
}

// recordSelfReport records what an answer of the upstream at an address states about it. A
// run that leaves is announced as draining, whatever its own announcements say.
func (a *Agent) recordSelfReport(address string, r selfreport.Report) {
	up := a.upstream.currentUpstream()
	if up == nil || up.announced.Address != address {
		return
	}
	s, changed := a.upstream.selfReports.Record(a.now(), processOf(up.announced), r)
	if !changed {
		return
	}
	if s.Leaving {
		a.log.Info("upstream says that it leaves", logs.Str("name", up.announced.Name), logs.Str("source", s.Source))
		a.upstream.refreshAnnouncement()
		return
	}
	a.log.Info("upstream asks for time", logs.Str("name", up.announced.Name), logs.Str("source", s.Source), logs.Dur("for", s.PausedUntil.Sub(a.now())))
}

// takingUpstream returns the upstream, or an error with the outcome NotRun if there is none
// or it stated that it wants no new work.
func (a *Agent) takingUpstream() (*upstreamSnapshot, error) {
	up := a.upstream.currentUpstream()
	if up == nil {
		return nil, errNoUpstream()
	}
	s := a.upstream.selfReports.Get(processOf(up.announced))
	switch {
	case s.Leaving:
		return nil, fault.New(fault.Draining, "upstream leaves").WithOutcome(fault.NotRun).WithRetryAfter(drainRetryAfter)
	case s.Blocked(a.now()):
		return nil, fault.New(fault.Overloaded, "upstream asked for time").WithOutcome(fault.NotRun).WithRetryAfter(s.PausedUntil.Sub(a.now()))
	}
	return up, nil
}
