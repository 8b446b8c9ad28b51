package session

import (
	"container/list"
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
	closed    *list.List // of *entry, in order of closing
}

type entry struct {
	id     string
	guard  PositionGuard
	closed time.Time
	place  *list.Element // in the list of closed sessions; nil while open
}

// NewRegistry returns a registry for at most maxSessions open sessions.
func NewRegistry(maxSessions int, retention time.Duration) *Registry {
	return &Registry{
		max:       maxSessions,
		retention: retention,
		guards:    make(map[string]*entry),
		closed:    list.New(),
	}
}

// Open begins an epoch of a session at position next.
func (r *Registry) Open(now time.Time, id string, epoch uint64, next uint32) error {
	r.sweep(now)
	e := r.guards[id]
	if open, _ := r.Len(); open >= r.max && (e == nil || e.place != nil) {
		return fault.New(fault.Overloaded, "%d sessions are open", open).WithOutcome(fault.NotRun)
	}
	if e == nil {
		e = &entry{id: id}
	}
	if err := e.guard.Open(epoch, next); err != nil {
		return err
	}
	if e.place != nil {
		r.closed.Remove(e.place)
		e.place = nil
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
	if e.place != nil && epoch >= e.guard.epoch {
		return fault.New(fault.NotFound, "session is closed").WithField("session")
	}
	return e.guard.Step(epoch, position, count)
}

// Close ends the given epoch of a session. It reports false when a later epoch
// has taken over, whose work must continue.
func (r *Registry) Close(now time.Time, id string, epoch uint64) bool {
	e := r.guards[id]
	if e == nil || e.place != nil || e.guard.epoch != epoch {
		return false
	}
	e.closed = now
	e.place = r.closed.PushBack(e)
	r.sweep(now)
	return true
}

// Len returns the number of open sessions, and of all that are remembered.
func (r *Registry) Len() (open, remembered int) {
	return len(r.guards) - r.closed.Len(), len(r.guards)
}

// sweep forgets sessions whose retention has passed. Closed sessions are
// bounded by twice the maximum; beyond it the oldest are forgotten first.
func (r *Registry) sweep(now time.Time) {
	for oldest := r.closed.Front(); oldest != nil; oldest = r.closed.Front() {
		e := oldest.Value.(*entry)
		if now.Sub(e.closed) < r.retention && r.closed.Len() <= 2*r.max {
			return
		}
		r.closed.Remove(oldest)
		delete(r.guards, e.id)
	}
}
