// Package lifecycle tracks the state of a process from start to graceful
// shutdown, and serves its liveness, readiness and metrics endpoints.
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

// Lifecycle holds the state of a process and counts its requests in progress. It
// is safe for concurrent use.
type Lifecycle struct {
	machine *fsm.FSM

	mu        sync.Mutex
	inFlight  int
	drainDone chan struct{} // closed once the process drains and no request is in progress
	draining  chan struct{}
}

// NewLifecycle returns a Lifecycle in the state Starting.
func NewLifecycle() *Lifecycle {
	events := fsm.Events{
		{Name: "ready", Src: []string{Starting}, Dst: Ready},
		{Name: "drain", Src: []string{Starting, Ready}, Dst: Draining},
		{Name: "stop", Src: []string{Draining}, Dst: Stopped},
	}
	return &Lifecycle{
		machine:   fsm.NewFSM(Starting, events, nil),
		drainDone: make(chan struct{}),
		draining:  make(chan struct{}),
	}
}

// State returns the current state, one of Starting, Ready, Draining and Stopped.
func (l *Lifecycle) State() string { return l.machine.Current() }

// MarkReady changes the state from Starting to Ready. It fails in any other
// state.
func (l *Lifecycle) MarkReady() error { return l.transition("ready") }

// MarkStopped changes the state from Draining to Stopped. It fails in any other
// state.
func (l *Lifecycle) MarkStopped() error { return l.transition("stop") }

func (l *Lifecycle) transition(name string) error {
	if err := l.machine.Event(context.Background(), name); err != nil {
		return fault.Wrap(err, fault.Internal, "lifecycle event %s in state %s", name, l.machine.Current())
	}
	return nil
}

// Drain changes the state to Draining: Track accepts no more requests, and those
// in progress continue. Further calls have no effect.
func (l *Lifecycle) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Event(context.Background(), "drain") != nil {
		return // already draining
	}
	close(l.draining)
	if l.inFlight == 0 {
		close(l.drainDone)
	}
}

// DrainStarted returns a channel that is closed when the drain begins.
func (l *Lifecycle) DrainStarted() <-chan struct{} { return l.draining }

// Track counts a request as in progress until done is called, which the caller
// must do exactly once. ok is false, and done nil, once the process drains.
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
		close(l.drainDone)
	default:
	}
}

// InFlight returns the number of requests in progress.
func (l *Lifecycle) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// WaitDrained waits until the process drains and no request is in progress. It
// returns an error of kind Deadline if ctx ends first.
func (l *Lifecycle) WaitDrained(ctx context.Context) error {
	select {
	case <-l.drainDone:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "drain with %d requests in progress", l.InFlight())
	}
}

// SignalContext returns a context that is cancelled on SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
