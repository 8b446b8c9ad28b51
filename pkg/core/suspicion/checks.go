// Package suspicion decides which engines may be lost. At a gateway it finds the streams that
// are silent and the engines that may be the cause. At the leader it decides which of the
// reported engines are polled when, and which of them are suspect. It reads no clock and uses
// no network.
package suspicion

import (
	"cmp"
	"slices"
	"time"
)

// Process is one process of an engine.
type Process struct {
	ID          string
	StartUnixMs int64
}

const (
	// missesToSuspect is the number of successive short polls without an answer that make an
	// engine suspect. Links may lose 4% of packets, so one of them proves nothing.
	missesToSuspect = 2
	// recheckDelay is the time between a missed short poll and the next one.
	recheckDelay = 10 * time.Millisecond
	// minShortTimeout, twice and with recheckDelay, leaves about half of the pause that a
	// route allows for the new path.
	minShortTimeout = 60 * time.Millisecond
	// shortTimeoutFactor multiplies the usual duration of a poll of an engine: a poll on a new
	// connection takes two round trips, and a distant engine is not to miss each short poll.
	shortTimeoutFactor = 3

	// An engine gets at most enginePolls short polls at once and as many per second, so that
	// no second has more than twice as many. The same holds for all engines and totalPolls:
	// a poll takes about 0.1 ms of a core, and small hosts have a tenth of a core.
	enginePolls = 4
	totalPolls  = 75

	// maxOvershoot is the time after its time-out at which a poll without an answer may end. If
	// it ends later, this process did not run, which happens for up to 90 ms on hosts with a
	// share of a core, and the answer may have arrived meanwhile.
	maxOvershoot = 15 * time.Millisecond

	// reportMemory is the time after its last report for which an engine counts as reported.
	reportMemory = 2 * time.Second
	// maxReported bounds the engines with a state.
	maxReported = 1024
)

// ShortTimeout returns the time within which a short poll has to be answered by an engine
// whose polls usually take this time, zero if it is not known. longest limits it.
func ShortTimeout(usual, longest time.Duration) time.Duration {
	return min(longest, max(minShortTimeout, shortTimeoutFactor*usual))
}

// allowance is a budget of polls that refills with time. The zero value is full.
type allowance struct {
	used float64
	at   time.Time
}

func (a *allowance) refill(now time.Time, perSecond float64) {
	a.used = max(0, a.used-max(0, now.Sub(a.at).Seconds())*perSecond)
	a.at = now
}

// Result is the outcome of a poll.
type Result int

const (
	// Answered is a poll that was answered.
	Answered Result = iota
	// Missed is a poll without an answer in time.
	Missed
	// Inconclusive is a poll without an answer while this process itself did not run.
	Inconclusive
	// Refused is a poll whose connection was refused: no process listens at the address.
	Refused
)

// UnansweredResult returns the result of a poll that ended without an answer after took.
func UnansweredResult(took, timeout time.Duration) Result {
	if took > timeout+maxOvershoot {
		return Inconclusive
	}
	return Missed
}

type check struct {
	reportedAt time.Time
	open       bool // polls are still needed
	running    bool
	misses     int
	nextAt     time.Time
	polls      allowance
}

// Checks decides at the leader which reported engines get short polls and which of them are
// suspect. A report alone never makes an engine suspect. It is not safe for concurrent use.
type Checks struct {
	engines map[Process]*check
	polls   allowance // of all engines
}

// NewChecks returns checks without reports.
func NewChecks() *Checks { return &Checks{engines: make(map[Process]*check)} }

// Report records that a gateway reported an engine, and begins a check unless one is open.
func (c *Checks) Report(now time.Time, p Process) {
	e := c.engines[p]
	if e == nil {
		c.forget(now)
		if len(c.engines) >= maxReported {
			return
		}
		e = &check{}
		c.engines[p] = e
	}
	e.reportedAt = now
	if !e.open {
		e.open, e.misses, e.nextAt = true, 0, now
	}
}

// Due returns the engines to poll now, those that have waited longest first, and counts the
// polls as started. Each ends with RecordShortPoll.
func (c *Checks) Due(now time.Time) []Process {
	var due []Process
	for p, e := range c.engines {
		if e.open && !e.running && !now.Before(e.nextAt) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b Process) int {
		return cmp.Or(c.engines[a].nextAt.Compare(c.engines[b].nextAt), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartUnixMs, b.StartUnixMs))
	})
	c.polls.refill(now, totalPolls)
	return slices.DeleteFunc(due, func(p Process) bool {
		e := c.engines[p]
		e.polls.refill(now, enginePolls)
		if e.polls.used+1 > enginePolls || c.polls.used+1 > totalPolls {
			return true
		}
		e.polls.used++
		c.polls.used++
		e.running = true
		return false
	})
}

// RecordShortPoll records the result of a poll that Due started. It reports whether the
// engine is now suspect, and otherwise the time until its next poll, zero if there is none.
func (c *Checks) RecordShortPoll(now time.Time, p Process, r Result) (suspect bool, next time.Duration) {
	e := c.engines[p]
	if e == nil || !e.running {
		return false, 0
	}
	e.running = false
	if !e.open {
		return false, 0
	}
	if r == Missed {
		e.misses++
	}
	switch {
	case r == Answered:
		e.open = false
	case r == Refused || e.misses >= missesToSuspect:
		e.open = false
		return true, 0
	default:
		e.nextAt = now.Add(recheckDelay)
		return false, recheckDelay
	}
	return false, 0
}

// RecordAnswer ends the check of an engine that answered a usual poll which started after the
// last report of it.
func (c *Checks) RecordAnswer(p Process, started time.Time) {
	if e := c.engines[p]; e != nil && started.After(e.reportedAt) {
		e.open = false
	}
}

// Concerns reports whether an engine was reported within reportMemory, or its check is open.
func (c *Checks) Concerns(now time.Time, p Process) bool {
	e := c.engines[p]
	return e != nil && (e.open || now.Sub(e.reportedAt) < reportMemory)
}

// Retain drops the engines for which known returns false, and the state that is no longer
// needed.
func (c *Checks) Retain(now time.Time, known func(Process) bool) {
	for p, e := range c.engines {
		if !e.running && !known(p) {
			delete(c.engines, p)
		}
	}
	c.forget(now)
}

func (c *Checks) forget(now time.Time) {
	for p, e := range c.engines {
		if !e.open && !e.running && now.Sub(e.reportedAt) >= reportMemory {
			delete(c.engines, p)
		}
	}
}
