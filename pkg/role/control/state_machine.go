package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// StateMachine applies committed commands to the state store and gives
// concurrent readers access to it.
type StateMachine struct {
	mu    sync.RWMutex
	store *state.Store

	// onRevision is called after the revision has changed; it must not block.
	onRevision func()

	waitersMu sync.Mutex
	waiters   map[claimKey]map[chan struct{}]struct{}
}

type claimKey struct{ organisation, service, key string }

// keyedRequest is a message that identifies a claim by organisation, service
// and key.
type keyedRequest interface {
	GetOrganisation() string
	GetService() string
	GetKey() string
}

func claimKeyOf(c keyedRequest) claimKey {
	return claimKey{c.GetOrganisation(), c.GetService(), c.GetKey()}
}

// NewStateMachine returns a state machine with an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		store:      state.New(),
		onRevision: func() {},
		waiters:    make(map[claimKey]map[chan struct{}]struct{}),
	}
}

// Apply executes one committed command and returns a *wirepb.CommandResult.
func (m *StateMachine) Apply(index uint64, data []byte) any {
	cmd := &wirepb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		// Decoding the same bytes fails on every replica, so the replicas do
		// not diverge.
		cmd = &wirepb.Command{}
	}
	m.mu.Lock()
	before := m.store.Revision()
	result := m.store.Apply(index, cmd)
	revisionChanged := m.store.Revision() != before
	m.mu.Unlock()
	if revisionChanged {
		m.onRevision()
	}
	m.notifyClaimWaiters(cmd)
	return result
}

// Snapshot encodes the state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Snapshot()
}

// Restore replaces the state by an encoded snapshot.
func (m *StateMachine) Restore(data []byte) error {
	fresh := state.New()
	if err := fresh.Restore(data); err != nil {
		return err
	}
	m.mu.Lock()
	m.store = fresh
	m.mu.Unlock()
	m.onRevision()
	m.notifyAllWaiters()
	return nil
}

// Read calls fn with the state under a read lock. fn must not retain the
// store.
func (m *StateMachine) Read(fn func(*state.Store)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.store)
}

// Revision returns the revision of the catalogue.
func (m *StateMachine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Revision()
}

// ReadClaim returns the state of a claim.
func (m *StateMachine) ReadClaim(c *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.ReadClaim(c)
}

// watchClaim returns a channel that is closed after the next resolve, release
// or settlement of the key, or when a snapshot is restored. The caller must
// call stop when it no longer waits.
func (m *StateMachine) watchClaim(c *wirepb.ClaimRequest) (changed <-chan struct{}, stop func()) {
	id := claimKeyOf(c)
	ch := make(chan struct{})
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	if m.waiters[id] == nil {
		m.waiters[id] = make(map[chan struct{}]struct{})
	}
	m.waiters[id][ch] = struct{}{}
	return ch, func() { m.removeWaiter(id, ch) }
}

func (m *StateMachine) removeWaiter(id claimKey, ch chan struct{}) {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	delete(m.waiters[id], ch)
	if len(m.waiters[id]) == 0 {
		delete(m.waiters, id)
	}
}

func (m *StateMachine) notifyClaimWaiters(cmd *wirepb.Command) {
	var claim keyedRequest
	switch body := cmd.GetBody().(type) {
	case *wirepb.Command_Resolve:
		claim = body.Resolve.GetClaim()
	case *wirepb.Command_Release:
		claim = body.Release.GetClaim()
	case *wirepb.Command_Settle:
		claim = body.Settle
	default:
		return
	}
	id := claimKeyOf(claim)
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	for ch := range m.waiters[id] {
		close(ch)
	}
	delete(m.waiters, id)
}

func (m *StateMachine) notifyAllWaiters() {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	for _, chans := range m.waiters {
		for ch := range chans {
			close(ch)
		}
	}
	clear(m.waiters)
}

// commandResult converts the value that Node.Propose returned.
func commandResult(v any) (*wirepb.CommandResult, error) {
	if r, ok := v.(*wirepb.CommandResult); ok && r != nil {
		return r, nil
	}
	return nil, fault.New(fault.Internal, "state machine returned %T", v)
}
