package session

import (
	"container/list"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Registry holds the position guards of the sessions of one pipeline stage. A
// closed session is kept for the retention time, so that a late open or step of
// an earlier epoch is still refused.
type Registry struct {
	maxOpenSessions int
	retention       time.Duration
	sessions        map[string]*trackedSession
	closed          *list.List // of *trackedSession, in order of closing time
}

type trackedSession struct {
	id            string
	guard         PositionGuard
	closed        time.Time
	closedElement *list.Element // in Registry.closed; nil while the session is open
}

// NewRegistry returns a registry for at most maxSessions open sessions.
func NewRegistry(maxSessions int, retention time.Duration) *Registry {
	return &Registry{
		maxOpenSessions: maxSessions,
		retention:       retention,
		sessions:        make(map[string]*trackedSession),
		closed:          list.New(),
	}
}

// Open begins an epoch of a session whose first position is next. It fails with
// fault.Overloaded if the session is not open and the limit is reached, and with
// fault.StaleEpoch if the epoch is not above every earlier one.
func (r *Registry) Open(now time.Time, id string, epoch uint64, next uint32) error {
	r.evictClosed(now)
	e := r.sessions[id]
	if open, _ := r.Len(); open >= r.maxOpenSessions && (e == nil || e.closedElement != nil) {
		return fault.New(fault.Overloaded, "%d sessions are open", open).WithOutcome(fault.NotRun)
	}
	if e == nil {
		e = &trackedSession{id: id}
	}
	if err := e.guard.Open(epoch, next); err != nil {
		return err
	}
	if e.closedElement != nil {
		r.closed.Remove(e.closedElement)
		e.closedElement = nil
	}
	r.sessions[id] = e
	return nil
}

// Step accepts count positions of an open session, starting at position. It
// fails with fault.NotFound if the session is unknown or closed, and otherwise
// like PositionGuard.Step.
func (r *Registry) Step(id string, epoch uint64, position, count uint32) error {
	e := r.sessions[id]
	if e == nil {
		return fault.New(fault.NotFound, "session is not open").WithField("session")
	}
	if e.closedElement != nil && epoch >= e.guard.epoch {
		return fault.New(fault.NotFound, "session is closed").WithField("session")
	}
	return e.guard.Step(epoch, position, count)
}

// Close closes a session whose current epoch is the given one, and reports
// whether it did. After a newer epoch was opened, closing the earlier one leaves
// the session open.
func (r *Registry) Close(now time.Time, id string, epoch uint64) bool {
	e := r.sessions[id]
	if e == nil || e.closedElement != nil || e.guard.epoch != epoch {
		return false
	}
	e.closed = now
	e.closedElement = r.closed.PushBack(e)
	r.evictClosed(now)
	return true
}

// Len returns the number of open sessions, and the number of open and retained
// closed sessions together.
func (r *Registry) Len() (open, total int) {
	return len(r.sessions) - r.closed.Len(), len(r.sessions)
}

// evictClosed removes closed sessions whose retention time has passed. It keeps
// at most twice maxOpenSessions closed sessions and removes the oldest beyond that.
func (r *Registry) evictClosed(now time.Time) {
	for oldest := r.closed.Front(); oldest != nil; oldest = r.closed.Front() {
		e := oldest.Value.(*trackedSession)
		if now.Sub(e.closed) < r.retention && r.closed.Len() <= 2*r.maxOpenSessions {
			return
		}
		r.closed.Remove(oldest)
		delete(r.sessions, e.id)
	}
}
