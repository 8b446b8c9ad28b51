package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	maxSessions = 1 << 14
	// sessionRetention exceeds the time in which a request of an older epoch
	// can still arrive: connections time out long before.
	sessionRetention = 2 * time.Minute
)

// sessionFences fences the epochs of the sessions on this agent: a new epoch
// cancels the work of the previous one.
type sessionFences struct {
	now func() time.Time

	mu       sync.Mutex
	registry *session.Registry
	running  map[string]*runningSession
}

type runningSession struct {
	epoch  uint64
	cancel context.CancelCauseFunc
}

func newSessionFences(now func() time.Time) *sessionFences {
	return &sessionFences{
		now:      now,
		registry: session.NewRegistry(maxSessions, sessionRetention),
		running:  make(map[string]*runningSession),
	}
}

// open begins an epoch. The returned context ends when ctx ends or a higher
// epoch arrives. The caller calls end once.
func (s *sessionFences) open(ctx context.Context, id string, epoch uint64) (_ context.Context, end func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.registry.Open(s.now(), id, epoch, 0); err != nil {
		return nil, nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	if previous := s.running[id]; previous != nil {
		previous.cancel(fault.New(fault.StaleEpoch, "epoch %d was replaced by %d", previous.epoch, epoch).WithField("epoch").WithOutcome(fault.MayHaveRun))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	current := &runningSession{epoch: epoch, cancel: cancel}
	s.running[id] = current
	end = func() {
		cancel(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.registry.Close(s.now(), id, epoch)
		if s.running[id] == current {
			delete(s.running, id)
		}
	}
	return ctx, end, nil
}
