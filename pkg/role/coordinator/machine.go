package coordinator

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// machine is the replicated configuration. It implements replica.StateMachine.
type machine struct {
	mu      sync.RWMutex
	store   *document.Store
	changed func() // must not block
}

func newMachine(changed func()) *machine {
	return &machine{store: document.New(), changed: changed}
}

// Apply implements replica.StateMachine. It returns whether the change is in
// force now.
func (m *machine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	accepted := m.store.Apply(data)
	m.mu.Unlock()
	if accepted {
		m.changed()
	}
	return accepted
}

// Snapshot implements replica.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Snapshot()
}

// Restore implements replica.StateMachine.
func (m *machine) Restore(data []byte) error {
	fresh := document.New()
	if err := fresh.Restore(data); err != nil {
		return err
	}
	m.mu.Lock()
	m.store = fresh
	m.mu.Unlock()
	m.changed()
	return nil
}

func (m *machine) current() (version uint64, packed []byte) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Version(), m.store.Document()
}

func (m *machine) records() []*wirepb.DocumentRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]*wirepb.DocumentRecord(nil), m.store.AuditRecords()...)
}
