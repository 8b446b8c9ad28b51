package standin

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// maxKnownSessions limits the table of epochs. The oldest sessions are removed
// first.
const maxKnownSessions = 1 << 16

// session is one epoch of a session with its KV state.
type session struct {
	id           string
	epoch        uint64
	firstLayer   uint32
	kv           []uint64 // state of each held layer
	nextPosition uint32   // next position
	started      bool
	prefixes     []uint64
	cached       [][]uint64 // states at the end of each cached prefix
	ctx          context.Context
	cancel       context.CancelFunc
}

// maxStartPosition returns the largest position at which the session may start: the
// end of the cached prefixes or of the imported state.
func (s *session) maxStartPosition() uint32 {
	return max(s.nextPosition, uint32(len(s.cached)*upstreams.PrefixBlockTokens))
}

// startAt sets a new session to the position of its first step. The position must
// be the end of a cached prefix, the imported position or zero.
func (s *session) startAt(position uint32) error {
	s.started = true
	if position == s.nextPosition {
		return nil
	}
	blocks := int(position / upstreams.PrefixBlockTokens)
	if position%upstreams.PrefixBlockTokens != 0 || blocks > len(s.cached) {
		return errOutOfOrder(position, s.nextPosition)
	}
	if blocks == 0 {
		s.kv = make([]uint64, len(s.kv))
	} else {
		copy(s.kv, s.cached[blocks-1])
	}
	s.nextPosition = position
	return nil
}

func errOutOfOrder(got, want uint32) *fault.Error {
	f := fault.New(fault.OutOfOrder, "position %d is not the next one, %d", got, want).WithField("position")
	f.Position = want
	return f
}

// checkStep rejects a step with another epoch or an unexpected position.
func (s *session) checkStep(epoch uint64, position uint32) error {
	if epoch != s.epoch {
		return errStaleEpoch(epoch, s.epoch)
	}
	if !s.started {
		return s.startAt(position)
	}
	if position != s.nextPosition {
		return errOutOfOrder(position, s.nextPosition)
	}
	return nil
}

func errStaleEpoch(got, highest uint64) *fault.Error {
	return fault.New(fault.StaleEpoch, "epoch %d is not the current one, %d", got, highest).WithField("epoch")
}

// sessionTable holds the highest epoch of each session and the open epoch, if any.
type sessionTable struct {
	mu            sync.Mutex
	known         map[string]*knownSession
	creationOrder []string
}

type knownSession struct {
	epoch   uint64
	current *session // the session of the open epoch, or nil
	ended   bool     // the epoch has been closed or cancelled
}

func newSessionTable() *sessionTable { return &sessionTable{known: make(map[string]*knownSession)} }

// open registers s and cancels an older epoch. It rejects an epoch that is lower
// than the highest one or has already ended.
func (t *sessionTable) open(s *session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(s.id)
	if s.epoch < k.epoch {
		return errStaleEpoch(s.epoch, k.epoch)
	}
	if s.epoch == k.epoch && k.ended {
		return errOutOfOrder(0, 0)
	}
	if s.epoch == k.epoch && k.current != nil {
		return t.continueImported(k, s)
	}
	if k.current != nil {
		k.current.cancel()
	}
	k.epoch, k.current, k.ended = s.epoch, s, false
	return nil
}

// continueImported makes s continue from an imported state of the same epoch.
func (t *sessionTable) continueImported(k *knownSession, s *session) error {
	imported := k.current
	if imported.started || imported.firstLayer != s.firstLayer || len(imported.kv) != len(s.kv) {
		return fault.New(fault.OutOfOrder, "epoch %d is already open", s.epoch).WithField("epoch")
	}
	copy(s.kv, imported.kv)
	s.nextPosition = imported.nextPosition
	k.current = s
	return nil
}

func (t *sessionTable) entry(id string) *knownSession {
	k, ok := t.known[id]
	if ok {
		return k
	}
	if len(t.creationOrder) >= maxKnownSessions {
		delete(t.known, t.creationOrder[0])
		t.creationOrder = t.creationOrder[1:]
	}
	k = &knownSession{}
	t.known[id] = k
	t.creationOrder = append(t.creationOrder, id)
	return k
}

// close ends s and releases its KV state.
func (t *sessionTable) close(s *session) {
	s.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.known[s.id]; ok && k.current == s {
		k.current = nil
		k.ended = true
	}
}

// cancelEpoch cancels the open epoch of a session unless it is newer, and rejects
// the cancelled and older epochs from then on. It reports whether an epoch was open.
func (t *sessionTable) cancelEpoch(id string, epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(id)
	if epoch < k.epoch {
		return false
	}
	found := k.current != nil
	if found {
		k.current.cancel()
	}
	k.epoch, k.current, k.ended = epoch, nil, true
	return found
}

// findOpen returns the open session of an epoch, or nil.
func (t *sessionTable) findOpen(id string, epoch uint64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[id]
	if !ok || k.current == nil || k.current.epoch != epoch {
		return nil
	}
	return k.current
}
