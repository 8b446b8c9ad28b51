// Package httpconn tracks the connections of an HTTP server, so that a stop closes those
// that are idle and none that holds a request, and so that their number stays within a limit.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
)

// idleCheckInterval is the interval at which Drain looks for connections that have
// become idle.
const idleCheckInterval = 20 * time.Millisecond

// Tracker tracks the connections of a server and which of them are idle. The server
// must use its Listener and OnStateChange.
type Tracker struct {
	limit Limit

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	// idle is the sentinel of the ring of idle connections, the one that became idle last at
	// its end.
	idle trackedConn
	// closing is set if each connection is to be closed once its current request has
	// ended.
	closing bool
}

// trackedConn is the state of an open connection.
type trackedConn struct {
	conn       net.Conn
	isNew      bool // no request was read from it
	idleSince  time.Time
	prev, next *trackedConn // in the ring of idle connections, nil if it is not idle
}

// NewTracker returns a Tracker without connections and without a limit.
func NewTracker() *Tracker { return NewLimitedTracker(Limit{}) }

// NewLimitedTracker returns a Tracker without connections that enforces a limit.
func NewLimitedTracker(l Limit) *Tracker {
	t := &Tracker{limit: l, conns: make(map[net.Conn]*trackedConn)}
	t.idle.prev, t.idle.next = &t.idle, &t.idle
	return t
}

// Listener returns a listener that records what is read from the connections of ln. It may be
// closed more than once.
func (t *Tracker) Listener(ln net.Listener) net.Listener {
	if tcp, ok := ln.(*net.TCPListener); ok && t.limit.ReceiveBufferBytes > 0 {
		setReceiveBuffer(tcp, t.limit.ReceiveBufferBytes)
	}
	return listener{ln, sync.OnceValue(ln.Close)}
}

type listener struct {
	net.Listener
	close func() error
}

// Close implements net.Listener. Only the first call closes the listener, and all return its
// result: a stop closes the listener early, and http.Server.Shutdown may close it again.
func (l listener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return newConn(tcp)
	}
	return c, err
}

// OnStateChange implements http.Server.ConnState.
func (t *Tracker) OnStateChange(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		if t.makeRoom(c) {
			tc := &trackedConn{conn: c, isNew: true}
			t.conns[c] = tc
			t.setIdle(tc)
		}
	case http.StateClosed, http.StateHijacked:
		t.forget(t.conns[c])
	default:
		tc := t.conns[c]
		if tc == nil {
			tc = &trackedConn{conn: c}
			t.conns[c] = tc
		}
		tc.isNew = false
		if state != http.StateIdle {
			t.setActive(tc)
			return
		}
		t.setIdle(tc)
		if t.closing {
			t.closeIfUnused(tc) // its response header may have been sent before the stop
		}
	}
}

func (t *Tracker) setIdle(tc *trackedConn) {
	t.setActive(tc)
	tc.idleSince = time.Now()
	last := t.idle.prev
	tc.prev, tc.next = last, &t.idle
	last.next, t.idle.prev = tc, tc
}

func (t *Tracker) setActive(tc *trackedConn) {
	if tc.next != nil {
		tc.prev.next, tc.next.prev = tc.next, tc.prev
		tc.prev, tc.next = nil, nil
	}
}

func (t *Tracker) forget(tc *trackedConn) {
	if tc != nil {
		t.setActive(tc)
		delete(t.conns, tc.conn)
	}
}

// CloseIdle closes the idle connections, and from now on those that become idle. It
// returns the number of all others. A connection is not idle while the socket holds
// unread bytes, or while bytes were read that are not yet answered: the server reports
// a request only once it has read the whole header, and on a host with little CPU time
// a request may wait 100 ms to be read.
func (t *Tracker) CloseIdle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	others := 0
	for _, tc := range t.conns {
		if tc.next == nil || !t.closeIfUnused(tc) {
			others++
		}
	}
	return others
}

// Drain closes each connection once its requests have ended, until none is left or ctx
// ends.
func (t *Tracker) Drain(ctx context.Context) {
	for t.CloseIdle() > 0 && delay.Wait(ctx, idleCheckInterval) {
	}
}

// closeIfUnused closes and forgets a connection that holds no request and reports whether it
// did.
func (t *Tracker) closeIfUnused(tc *trackedConn) bool {
	if tracked, ok := tc.conn.(*conn); !ok {
		_ = tc.conn.Close()
	} else if !tracked.closeIfUnused() {
		return false
	}
	t.forget(tc)
	return true
}
