package coordinator

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stateMachine holds the replicated configuration. It implements replica.StateMachine.
type stateMachine struct {
	mu                    sync.RWMutex
	store                 *document.Store
	onConfigurationChange func() // called after each change; must not block
}

func newStateMachine(onConfigurationChange func()) *stateMachine {
	return &stateMachine{store: document.New(), onConfigurationChange: onConfigurationChange}
}

// Apply implements replica.StateMachine. It returns true if the change is now in force,
// and false if a newer version already is.
func (m *stateMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	accepted := m.store.Apply(data)
	m.mu.Unlock()
	if accepted {
		m.onConfigurationChange()
	}
	return accepted
}

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Snapshot()
}

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	restored := document.New()
	if err := restored.Restore(data); err != nil {
		return err
	}
	m.mu.Lock()
	m.store = restored
	m.mu.Unlock()
	m.onConfigurationChange()
	return nil
}

func (m *stateMachine) current() (version uint64, compressed []byte) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Version(), m.store.Document()
}

func (m *stateMachine) records() []*wirepb.DocumentRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]*wirepb.DocumentRecord(nil), m.store.AuditRecords()...)
}
