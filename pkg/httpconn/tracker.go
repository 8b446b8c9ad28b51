// Package httpconn tracks the connections of an HTTP server, so that a stop closes those
// that are idle and none that holds a request.
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
	mu   sync.Mutex
	idle map[net.Conn]bool
	// closing is set if each connection is to be closed once its current request has
	// ended.
	closing bool
}

// NewTracker returns a Tracker without connections.
func NewTracker() *Tracker { return &Tracker{idle: make(map[net.Conn]bool)} }

// Listener returns a listener that records what is read from the connections of ln. It may be
// closed more than once.
func (t *Tracker) Listener(ln net.Listener) net.Listener {
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
	case http.StateClosed, http.StateHijacked:
		delete(t.idle, c)
	default:
		t.idle[c] = state == http.StateIdle || state == http.StateNew
	}
	if t.closing && state == http.StateIdle {
		closeIfUnused(c) // its response header may have been sent before the stop
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
	for c, idle := range t.idle {
		if !idle || !closeIfUnused(c) {
			others++ // a closed connection is reported as StateClosed by its goroutine
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

// closeIfUnused closes a connection that holds no request and reports whether it did.
func closeIfUnused(c net.Conn) bool {
	if tracked, ok := c.(*conn); ok {
		return tracked.closeIfUnused()
	}
	_ = c.Close()
	return true
}
