// Package lifecycle serves what the environment of a process needs: liveness,
// readiness, metrics, signals and a graceful shutdown.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/looplab/fsm"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// States of a process.
const (
	Starting = "starting"
	Ready    = "ready"
	Draining = "draining"
	Stopped  = "stopped"
)

// Lifecycle is the state of a process and the count of requests in progress.
type Lifecycle struct {
	machine *fsm.FSM

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when draining and nothing is in progress
	draining chan struct{}
}

// NewLifecycle returns a lifecycle in the state Starting.
func NewLifecycle() *Lifecycle {
	events := fsm.Events{
		{Name: "ready", Src: []string{Starting}, Dst: Ready},
		{Name: "drain", Src: []string{Starting, Ready}, Dst: Draining},
		{Name: "stop", Src: []string{Draining}, Dst: Stopped},
	}
	return &Lifecycle{
		machine:  fsm.NewFSM(Starting, events, nil),
		idle:     make(chan struct{}),
		draining: make(chan struct{}),
	}
}

// State returns the current state.
func (l *Lifecycle) State() string { return l.machine.Current() }

// MarkReady marks the process as able to take work.
func (l *Lifecycle) MarkReady() error { return l.event("ready") }

// MarkStopped marks the process as stopped after a drain.
func (l *Lifecycle) MarkStopped() error { return l.event("stop") }

func (l *Lifecycle) event(name string) error {
	if err := l.machine.Event(context.Background(), name); err != nil {
		return fault.Wrap(err, fault.Internal, "lifecycle event %s in state %s", name, l.machine.Current())
	}
	return nil
}

// Drain stops Track from accepting requests. Requests in progress go on.
func (l *Lifecycle) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Event(context.Background(), "drain") != nil {
		return // already draining
	}
	close(l.draining)
	if l.inFlight == 0 {
		close(l.idle)
	}
}

// DrainStarted is closed when the drain begins.
func (l *Lifecycle) DrainStarted() <-chan struct{} { return l.draining }

// Track registers a request. It returns false once the process drains. The
// caller calls done exactly once when the request has ended.
func (l *Lifecycle) Track() (done func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.draining:
		return nil, false
	default:
	}
	l.inFlight++
	return l.release, true
}

func (l *Lifecycle) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.inFlight > 0 {
		return
	}
	select {
	case <-l.draining:
		close(l.idle)
	default:
	}
}

// InFlight returns the number of tracked requests.
func (l *Lifecycle) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// WaitDrained returns when the process drains and no request is in progress.
func (l *Lifecycle) WaitDrained(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "drain with %d requests in progress", l.InFlight())
	}
}

// SignalContext returns a context that ends at SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
