package control

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// roleEntry is the role of the watchers that count as live entries.
const roleEntry = "entry"

// watchers is the set of watches that this replica serves.
type watchers struct {
	mu       sync.RWMutex
	sessions map[*watchSession]struct{}
}

func newWatchers() *watchers {
	return &watchers{sessions: make(map[*watchSession]struct{})}
}

func (w *watchers) add(s *watchSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[s] = struct{}{}
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

// notify makes every watch send what is new.
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

// progress tells how far the watchers of this replica are.
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
