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

// Values of Faults.Answer, the faulty responses of a service.
const (
	AnswerLate    = "late"     // responds after AnswerDelayMs
	AnswerTwice   = "twice"    // sends the response twice on the connection
	AnswerOtherID = "other_id" // sends a request ID that is not the caller's
	AnswerDrop    = "drop"     // executes the call, then closes the connection
	AnswerLeaving = "leaving"  // states that the service leaves
	AnswerShed    = "shed"     // does not execute the call and asks for AnswerDelayMs without calls
)

const maxFaultBodyBytes = 4 << 10

// Faults is the body of POST /fault. It replaces the previous faults.
type Faults struct {
	Freeze                 bool    `json:"freeze"`          // stops all work and heartbeats
	SlowFactor             float64 `json:"slow_factor"`     // factor for all durations; zero means one
	CrashAfterSessionSteps int     `json:"die_after_steps"` // crashes in the step that reaches this number of further session steps (one per session in a step); zero means never
	Answer                 string  `json:"answer"`
	AnswerDelayMs          int     `json:"answer_delay_ms"`
}

// faultInjector holds the injected faults and applies them.
type faultInjector struct {
	mu        sync.Mutex
	faults    Faults
	unfrozen  chan struct{} // closed while not frozen
	crashed   chan struct{}
	crashOnce sync.Once
}

func newFaultInjector() *faultInjector {
	closed := make(chan struct{})
	close(closed)
	return &faultInjector{unfrozen: closed, crashed: make(chan struct{})}
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Freeze && !i.faults.Freeze {
		i.unfrozen = make(chan struct{})
	}
	if !f.Freeze && i.faults.Freeze {
		close(i.unfrozen)
	}
	i.faults = f
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// waitWhileFrozen blocks while the stand-in is frozen. It returns an error if the
// stand-in crashes or ctx ends.
func (i *faultInjector) waitWhileFrozen(ctx context.Context) error {
	for {
		i.mu.Lock()
		frozen, unfrozen := i.faults.Freeze, i.unfrozen
		i.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-unfrozen:
		case <-i.crashed:
			return fault.New(fault.Unavailable, "stand-in crashed")
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Cancelled, "frozen")
		}
	}
}

// countSessionSteps counts n session steps, one for each session in a step, towards
// CrashAfterSessionSteps and reports whether the stand-in must crash.
func (i *faultInjector) countSessionSteps(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.CrashAfterSessionSteps == 0 {
		return false
	}
	i.faults.CrashAfterSessionSteps = max(0, i.faults.CrashAfterSessionSteps-n)
	return i.faults.CrashAfterSessionSteps == 0
}

func (i *faultInjector) crash() { i.crashOnce.Do(func() { close(i.crashed) }) }

func (i *faultInjector) hasCrashed() bool {
	select {
	case <-i.crashed:
		return true
	default:
		return false
	}
}

func (i *faultInjector) scale(d time.Duration) time.Duration {
	if f := i.get().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// sleep waits for d times SlowFactor, or until ctx ends or the stand-in crashes.
func (i *faultInjector) sleep(ctx context.Context, d time.Duration) {
	d = i.scale(d)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-i.crashed:
	}
}

func (i *faultInjector) serveFault(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	body := http.MaxBytesReader(w, r.Body, maxFaultBodyBytes)
	if err := json.NewDecoder(body).Decode(&f); err != nil {
		upstreams.WriteError(w, fault.Wrap(err, fault.Invalid, "decode faults"))
		return
	}
	i.set(f)
	w.WriteHeader(http.StatusNoContent)
}
