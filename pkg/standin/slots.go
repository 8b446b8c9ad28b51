package standin

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const rankCount = 3 // urgent, standard and batch

// slots admits sessions up to a limit, in the order of their ranks.
type slots struct {
	mu      sync.Mutex
	free    int
	total   int
	waiting [rankCount][]chan struct{}
}

func newSlots(total int) *slots { return &slots{free: total, total: total} }

func rankIndex(rank string) int {
	switch rank {
	case "urgent":
		return 0
	case "batch":
		return 2
	default:
		return 1
	}
}

func (s *slots) acquire(ctx context.Context, rank string) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	i := rankIndex(rank)
	s.waiting[i] = append(s.waiting[i], granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(i, granted)
		return fault.Wrap(ctx.Err(), fault.Cancelled, "wait for a slot")
	}
}

// cancelWait removes a waiter, or releases its slot if one was granted meanwhile.
func (s *slots) cancelWait(i int, granted chan struct{}) {
	s.mu.Lock()
	for j, w := range s.waiting[i] {
		if w == granted {
			s.waiting[i] = append(s.waiting[i][:j], s.waiting[i][j+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// release grants the slot to the first waiter of the highest rank, if any.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.waiting {
		if len(s.waiting[i]) > 0 {
			close(s.waiting[i][0])
			s.waiting[i] = s.waiting[i][1:]
			return
		}
	}
	s.free++
}

func (s *slots) usage() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.waiting {
		queued += len(s.waiting[i])
	}
	return s.total - s.free, queued
}
