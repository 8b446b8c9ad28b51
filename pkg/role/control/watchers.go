package control

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// roleEntry is the role of the watchers that count as live entries.
const roleEntry = "entry"

// maxWatchers bounds the watches of one replica. At the planned size, two of
// three replicas serve 13,100 entries and agents.
const maxWatchers = 16_384

// watchers is the set of watches that this replica serves.
type watchers struct {
	mu       sync.RWMutex
	sessions map[*watchSession]struct{}
}

func newWatchers() *watchers {
	return &watchers{sessions: make(map[*watchSession]struct{})}
}

func (w *watchers) add(s *watchSession) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.sessions) >= maxWatchers {
		return fault.New(fault.Overloaded, "%d watches are served, which is the limit", maxWatchers).WithRetryAfter(time.Second)
	}
	w.sessions[s] = struct{}{}
	return nil
}

func (w *watchers) remove(s *watchSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sessions, s)
}

func (w *watchers) count() int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.sessions)
}

// notify wakes every watch session to send pending changes.
func (w *watchers) notify() {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for s := range w.sessions {
		s.notify()
	}
}

// entries returns the hosts of the entries that watch this replica.
func (w *watchers) entries() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var hosts []string
	for s := range w.sessions {
		if s.role == roleEntry {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

// progress returns the status of the watchers of this replica relative to the
// given revision.
func (w *watchers) progress(revision uint64) *wirepb.PeerStatus {
	w.mu.RLock()
	defer w.mu.RUnlock()
	p := &wirepb.PeerStatus{
		Revision:          revision,
		ConfirmedRevision: revision,
		Watchers:          uint32(len(w.sessions)),
	}
	for s := range w.sessions {
		applied := s.applied.Load()
		if applied >= revision {
			continue
		}
		p.ConfirmedRevision = min(p.ConfirmedRevision, applied)
		p.LaggingTotal++
		if len(p.Lagging) < maxLaggingListed {
			p.Lagging = append(p.Lagging, s.host)
		}
	}
	return p
}
