package agent

import "time"

// Limits on the time since the last load report. Agents report every 100 ms, so
// two lost reports do not make an agent suspect.
const (
	SuspectAfter = 300 * time.Millisecond
	EjectAfter   = time.Second
)

// LivenessState is the state of an agent as judged by the age of its last report.
type LivenessState int

// Liveness states of an agent.
const (
	Alive   LivenessState = iota // reports arrive
	Suspect                      // gets no new work
	Ejected                      // streams are repaired elsewhere
)

// Liveness derives the state of one agent from the arrival times of its load
// reports.
type Liveness struct {
	lastReport time.Time
}

// RecordReport records that a report arrived at now.
func (l *Liveness) RecordReport(now time.Time) { l.lastReport = now }

// ExcludePause excludes a pause of this process, during which no report could be
// read, from the age of the last report. Without it, an entry that was suspended
// would eject every agent when it resumes.
func (l *Liveness) ExcludePause(pause time.Duration) {
	if !l.lastReport.IsZero() {
		l.lastReport = l.lastReport.Add(pause)
	}
}

// Age returns the time from the last report to now, or EjectAfter if there was
// no report.
func (l *Liveness) Age(now time.Time) time.Duration {
	if l.lastReport.IsZero() {
		return EjectAfter
	}
	return max(0, now.Sub(l.lastReport))
}

// State returns the state of the agent at now.
func (l *Liveness) State(now time.Time) LivenessState {
	age := l.Age(now)
	switch {
	case age >= EjectAfter:
		return Ejected
	case age >= SuspectAfter:
		return Suspect
	}
	return Alive
}
