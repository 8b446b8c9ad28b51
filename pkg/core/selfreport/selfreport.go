// Package selfreport holds what upstreams state about themselves in their answers: that
// they leave, or that they want no requests for some time. It reads no clock: callers
// pass the time.
package selfreport

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// MaxPause bounds the time for which an upstream gets no requests because it asked
	// for it. After it, one request shows whether the upstream still asks for time.
	MaxPause = 10 * time.Minute
	// retention is the time for which a report is kept while its process is not known: a
	// new leader may not know a process that goes on.
	retention = 2 * time.Minute
	// maxProcesses bounds the processes with a report. The oldest report is dropped first.
	maxProcesses = 4096
)

// Process identifies one run of an upstream. A process that starts again has a later
// start and is not bound by what the one before it stated.
type Process struct {
	ID          string
	StartUnixMs int64
}

// ProcessOf returns the process of an instance.
func ProcessOf(in *wirepb.Instance) Process {
	return Process{ID: in.GetId(), StartUnixMs: in.GetBornUnixMs()}
}

// Report is what one answer states about the process that sent it.
type Report struct {
	Leaving bool          // the process gets no new requests from now on
	Pause   time.Duration // time for which it wants no requests, zero if not stated
	Source  string        // what was answered, for logs
}

// State is what is known of a process.
type State struct {
	Leaving     bool
	PausedUntil time.Time // zero if the process asks for no time
	ReportedAt  time.Time // of the last report that changed the state
	Source      string    // of that report
}

// Blocked reports whether the process gets no new requests at a time.
func (s State) Blocked(now time.Time) bool { return s.Leaving || now.Before(s.PausedUntil) }

// Book holds the states of processes. Its zero value is empty and ready for use. It is
// safe for concurrent use.
type Book struct {
	// count is the number of states. Most of the time there is none, and every search for
	// a path asks for the states of all engines.
	count  atomic.Int32
	mu     sync.RWMutex
	states map[Process]State
}

// Record records a report and returns the state, and whether it changed: the process was
// not known to leave, or asks for a longer pause. A process that leaves never returns, and
// a later answer does not shorten a pause, because answers may overtake each other.
func (b *Book) Record(now time.Time, p Process, r Report) (State, bool) {
	until := time.Time{}
	if r.Pause > 0 {
		until = now.Add(min(r.Pause, MaxPause))
	}
	if !r.Leaving && until.IsZero() {
		return State{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.states[p]
	if s.Leaving == (s.Leaving || r.Leaving) && !until.After(s.PausedUntil) {
		return s, false
	}
	if !known && len(b.states) >= maxProcesses {
		b.dropOldest()
	}
	s.Leaving = s.Leaving || r.Leaving
	if until.After(s.PausedUntil) {
		s.PausedUntil = until
	}
	s.ReportedAt, s.Source = now, r.Source
	if b.states == nil {
		b.states = make(map[Process]State)
	}
	b.states[p] = s
	b.count.Store(int32(len(b.states)))
	return s, true
}

func (b *Book) dropOldest() {
	var oldest Process
	var at time.Time
	for p, s := range b.states {
		if at.IsZero() || s.ReportedAt.Before(at) {
			oldest, at = p, s.ReportedAt
		}
	}
	delete(b.states, oldest)
}

// Get returns the state of a process, the zero State if it has reported nothing.
func (b *Book) Get(p Process) State {
	if b.IsEmpty() {
		return State{}
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.states[p]
}

// IsEmpty reports whether no state is held.
func (b *Book) IsEmpty() bool { return b.count.Load() == 0 }

// Blocked reports whether a process gets no new requests.
func (b *Book) Blocked(now time.Time, p Process) bool { return b.Get(p).Blocked(now) }

// Forget drops states without effect: pauses that have ended, and those of processes for
// which isKnown returns false once retention has passed.
func (b *Book) Forget(now time.Time, isKnown func(Process) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, s := range b.states {
		if !s.Blocked(now) || (now.Sub(s.ReportedAt) > retention && !isKnown(p)) {
			delete(b.states, p)
		}
	}
	b.count.Store(int32(len(b.states)))
}

// SoonestEnd returns when the first of the processes may get requests again, and false if
// one of them may now or none ever will.
func (b *Book) SoonestEnd(now time.Time, processes []Process) (time.Time, bool) {
	var soonest time.Time
	for _, p := range processes {
		s := b.Get(p)
		switch {
		case s.Leaving:
		case !s.Blocked(now):
			return time.Time{}, false
		case soonest.IsZero() || s.PausedUntil.Before(soonest):
			soonest = s.PausedUntil
		}
	}
	return soonest, !soonest.IsZero()
}

// ParseRetryAfter returns the time that the header Retry-After of a refusal states: seconds,
// which may have a fraction, or a date, which is compared with the header Date. It returns
// zero if it states none or none that can be read, and MaxPause at most.
func ParseRetryAfter(now time.Time, h http.Header) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || seconds > 0 { // infinite beside an error of range
		if !(seconds > 0) {
			return 0
		}
		return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	// The clock of this host may be off, that of the sender is the one it meant.
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(max(0, at.Sub(now)), MaxPause)
}
