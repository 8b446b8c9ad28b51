package coordinator

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stateMachine holds the replicated configuration and departures. It implements
// replica.StateMachine. The functions that it calls after a change must not block.
type stateMachine struct {
	mu                    sync.RWMutex
	store                 *document.Store
	onConfigurationChange func()
	onDeparture           func()
}

func newStateMachine(onConfigurationChange, onDeparture func()) *stateMachine {
	return &stateMachine{store: document.New(), onConfigurationChange: onConfigurationChange, onDeparture: onDeparture}
}

// Apply implements replica.StateMachine. It returns the document.Effect of the change.
func (m *stateMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	effect := m.store.Apply(data)
	m.mu.Unlock()
	switch effect {
	case document.DocumentStored:
		m.onConfigurationChange()
	case document.DepartureRecorded:
		m.onDeparture()
	}
	return effect
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
	m.onDeparture()
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

func (m *stateMachine) departures() []*wirepb.Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Departures()
}

func (m *stateMachine) hasDeparted(d *wirepb.Departure) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.HasDeparted(d.GetInstanceId(), d.GetBornUnixMs())
}
