package standin

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// maxKnownSessions bounds the table of epochs; the oldest sessions are
// forgotten first.
const maxKnownSessions = 1 << 16

// session is the KV state of one epoch of one session.
type session struct {
	id       string
	epoch    uint64
	first    uint32
	kv       []uint64 // one state for each layer held
	next     uint32   // next position
	started  bool
	prefixes []uint64
	cached   [][]uint64 // states after each cached prefix
	ctx      context.Context
	cancel   context.CancelFunc
}

// cachedTokens returns the position up to which the session may start.
func (s *session) cachedTokens() uint32 {
	return max(s.next, uint32(len(s.cached)*upstreams.PrefixBlockTokens))
}

// startAt moves a new session to the position of its first step, which must
// be a boundary of a cached prefix or the imported position.
func (s *session) startAt(position uint32) error {
	s.started = true
	if position == s.next {
		return nil
	}
	blocks := int(position / upstreams.PrefixBlockTokens)
	if position%upstreams.PrefixBlockTokens != 0 || blocks > len(s.cached) {
		return outOfOrder(position, s.next)
	}
	if blocks == 0 {
		s.kv = make([]uint64, len(s.kv))
	} else {
		copy(s.kv, s.cached[blocks-1])
	}
	s.next = position
	return nil
}

func outOfOrder(got, want uint32) *fault.Error {
	f := fault.New(fault.OutOfOrder, "position %d is not the next one, %d", got, want).WithField("position")
	f.Position = want
	return f
}

// check refuses a step of another epoch or position.
func (s *session) check(epoch uint64, position uint32) error {
	if epoch != s.epoch {
		return staleEpoch(epoch, s.epoch)
	}
	if !s.started {
		return s.startAt(position)
	}
	if position != s.next {
		return outOfOrder(position, s.next)
	}
	return nil
}

func staleEpoch(got, highest uint64) *fault.Error {
	return fault.New(fault.StaleEpoch, "epoch %d is not the current one, %d", got, highest).WithField("epoch")
}

// sessionTable knows the highest epoch of each session and the live one.
type sessionTable struct {
	mu    sync.Mutex
	known map[string]*knownSession
	order []string
}

type knownSession struct {
	epoch uint64
	live  *session
	ended bool // the epoch has been opened and closed again
}

func newSessionTable() *sessionTable { return &sessionTable{known: make(map[string]*knownSession)} }

// open registers s. It cancels an older epoch and refuses a lower one, and an
// epoch whose positions have already run.
func (t *sessionTable) open(s *session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(s.id)
	if s.epoch < k.epoch {
		return staleEpoch(s.epoch, k.epoch)
	}
	if s.epoch == k.epoch && k.ended {
		return outOfOrder(0, 0)
	}
	if s.epoch == k.epoch && k.live != nil {
		return t.adopt(k, s)
	}
	if k.live != nil {
		k.live.cancel()
	}
	k.epoch, k.live, k.ended = s.epoch, s, false
	return nil
}

// adopt continues from an imported state of the same epoch.
func (t *sessionTable) adopt(k *knownSession, s *session) error {
	imported := k.live
	if imported.started || imported.first != s.first || len(imported.kv) != len(s.kv) {
		return fault.New(fault.OutOfOrder, "epoch %d is already open", s.epoch).WithField("epoch")
	}
	copy(s.kv, imported.kv)
	s.next = imported.next
	k.live = s
	return nil
}

func (t *sessionTable) entry(id string) *knownSession {
	k, ok := t.known[id]
	if ok {
		return k
	}
	if len(t.order) >= maxKnownSessions {
		delete(t.known, t.order[0])
		t.order = t.order[1:]
	}
	k = &knownSession{}
	t.known[id] = k
	t.order = append(t.order, id)
	return k
}

// close frees the KV state of s.
func (t *sessionTable) close(s *session) {
	s.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.known[s.id]; ok && k.live == s {
		k.live = nil
		k.ended = true
	}
}

// cancelEpoch ends the live epoch unless it is newer, and fences older ones.
func (t *sessionTable) cancelEpoch(id string, epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(id)
	if epoch < k.epoch {
		return false
	}
	found := k.live != nil
	if found {
		k.live.cancel()
	}
	k.epoch, k.live, k.ended = epoch, nil, true
	return found
}

// live returns the session of an epoch, or nil.
func (t *sessionTable) liveEpoch(id string, epoch uint64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[id]
	if !ok || k.live == nil || k.live.epoch != epoch {
		return nil
	}
	return k.live
}
