package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// Ways in which a service may answer wrongly.
const (
	AnswerLate    = "late"     // after AnswerDelayMS
	AnswerTwice   = "twice"    // two answers on the connection
	AnswerOtherID = "other_id" // names another request
	AnswerDrop    = "drop"     // executes, then closes the connection
)

const maxFaultBody = 4 << 10

// Faults is the body of POST /fault. It replaces the faults set before.
type Faults struct {
	Freeze        bool    `json:"freeze"`          // nothing proceeds, no heartbeat
	SlowFactor    float64 `json:"slow_factor"`     // multiplies all times; zero means one
	DieAfterSteps int     `json:"die_after_steps"` // closes the server after that many more steps
	Answer        string  `json:"answer"`
	AnswerDelayMS int     `json:"answer_delay_ms"`
}

// switchboard holds the faults in force.
type switchboard struct {
	mu      sync.Mutex
	faults  Faults
	thawed  chan struct{} // closed while not frozen
	dead    chan struct{}
	dieOnce sync.Once
}

func newSwitchboard() *switchboard {
	open := make(chan struct{})
	close(open)
	return &switchboard{thawed: open, dead: make(chan struct{})}
}

func (s *switchboard) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
}

func (s *switchboard) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// pass blocks while the stand-in is frozen.
func (s *switchboard) pass(ctx context.Context) error {
	for {
		s.mu.Lock()
		frozen, thawed := s.faults.Freeze, s.thawed
		s.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-thawed:
		case <-s.dead:
			return fault.New(fault.Unavailable, "stand-in died")
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Cancelled, "frozen")
		}
	}
}

// countSteps reports whether the stand-in dies with these steps.
func (s *switchboard) countSteps(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DieAfterSteps == 0 {
		return false
	}
	s.faults.DieAfterSteps = max(0, s.faults.DieAfterSteps-n)
	return s.faults.DieAfterSteps == 0
}

func (s *switchboard) die() { s.dieOnce.Do(func() { close(s.dead) }) }

func (s *switchboard) isDead() bool {
	select {
	case <-s.dead:
		return true
	default:
		return false
	}
}

func (s *switchboard) scale(d time.Duration) time.Duration {
	if f := s.get().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// sleep waits for d, scaled by the slow factor.
func (s *switchboard) sleep(ctx context.Context, d time.Duration) {
	d = s.scale(d)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.dead:
	}
}

func (s *switchboard) serveFault(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	body := http.MaxBytesReader(w, r.Body, maxFaultBody)
	if err := json.NewDecoder(body).Decode(&f); err != nil {
		upstreams.WriteError(w, fault.Wrap(err, fault.Invalid, "decode faults"))
		return
	}
	s.set(f)
	w.WriteHeader(http.StatusNoContent)
}
