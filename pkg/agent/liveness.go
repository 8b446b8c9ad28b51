package agent

import "time"

// Limits of silence, counted from the last load report. Agents report every
// 100 ms, so that two lost reports do not make an agent suspect.
const (
	SuspectAfter = 300 * time.Millisecond
	EjectAfter   = time.Second
)

// LivenessState tells how far an agent can be relied on.
type LivenessState int

// States of an agent.
const (
	Alive   LivenessState = iota // reports arrive
	Suspect                      // no new work
	Ejected                      // streams are repaired elsewhere
)

// Liveness derives the state of one agent from the times of its reports.
type Liveness struct {
	last time.Time
}

// RecordReport records a report.
func (l *Liveness) RecordReport(now time.Time) { l.last = now }

// ExcludePause counts a pause of this process as time in which no report could be
// read, so that a stopped entry does not eject every agent when it continues.
func (l *Liveness) ExcludePause(pause time.Duration) {
	if !l.last.IsZero() {
		l.last = l.last.Add(pause)
	}
}

// Age returns the time since the last report. An agent that never reported
// has the age EjectAfter.
func (l *Liveness) Age(now time.Time) time.Duration {
	if l.last.IsZero() {
		return EjectAfter
	}
	return max(0, now.Sub(l.last))
}

// State returns the state at now.
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
