package session

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Registry holds the guards of the sessions of one stage. A closed session is
// remembered for the retention time, so that a late open or step of an older
// epoch is still refused.
type Registry struct {
	max       int
	retention time.Duration
	guards    map[string]*entry
	closed    []closedSession // in order of closing
	open      int
}

type entry struct {
	guard  Guard
	open   bool
	closed time.Time
}

type closedSession struct {
	id string
	at time.Time
}

// NewRegistry returns a registry for at most maxSessions open sessions.
func NewRegistry(maxSessions int, retention time.Duration) *Registry {
	return &Registry{max: maxSessions, retention: retention, guards: make(map[string]*entry)}
}

// Open begins an epoch of a session at position next.
func (r *Registry) Open(now time.Time, id string, epoch uint64, next uint32) error {
	r.sweep(now)
	e := r.guards[id]
	if e == nil || !e.open {
		if r.open >= r.max {
			return fault.New(fault.Overloaded, "%d sessions are open", r.open).WithOutcome(fault.NotRun)
		}
	}
	if e == nil {
		e = &entry{}
	}
	if err := e.guard.Open(epoch, next); err != nil {
		return err
	}
	if !e.open {
		e.open = true
		r.open++
	}
	r.guards[id] = e
	return nil
}

// Step accepts count positions of an open session.
func (r *Registry) Step(id string, epoch uint64, position, count uint32) error {
	e := r.guards[id]
	if e == nil {
		return fault.New(fault.NotFound, "session is not open").WithField("session")
	}
	if !e.open && epoch >= e.guard.epoch {
		return fault.New(fault.NotFound, "session is closed").WithField("session")
	}
	return e.guard.Step(epoch, position, count)
}

// Close ends the given epoch of a session. It reports false when a later epoch
// has taken over, whose work must continue.
func (r *Registry) Close(now time.Time, id string, epoch uint64) bool {
	e := r.guards[id]
	if e == nil || !e.open || e.guard.epoch != epoch {
		return false
	}
	e.open = false
	e.closed = now
	r.open--
	r.closed = append(r.closed, closedSession{id: id, at: now})
	r.sweep(now)
	return true
}

// Len returns the number of open and of remembered sessions.
func (r *Registry) Len() (open, remembered int) { return r.open, len(r.guards) }

// sweep forgets sessions whose retention has passed. Remembered sessions are
// bounded by twice the maximum; beyond it the oldest are forgotten first.
func (r *Registry) sweep(now time.Time) {
	n := 0
	for n < len(r.closed) {
		c := r.closed[n]
		if now.Sub(c.at) < r.retention && len(r.closed)-n <= 2*r.max {
			break
		}
		e := r.guards[c.id]
		if e != nil && !e.open && e.closed.Equal(c.at) {
			delete(r.guards, c.id)
		}
		n++
	}
	r.closed = r.closed[n:]
}
