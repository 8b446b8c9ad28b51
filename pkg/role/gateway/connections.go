package gateway

import (
	"net"
	"net/http"
	"sync"
	"syscall"
)

// connections tracks the connections of callers and which of them are idle.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]bool
	// closing is set if each connection is to be closed once its current request has
	// ended.
	closing bool
}

func (c *connections) init() { c.idle = make(map[net.Conn]bool) }

// onStateChange implements http.Server.ConnState.
func (c *connections) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
	default:
		c.idle[conn] = state == http.StateIdle || state == http.StateNew
	}
	if c.closing && state == http.StateIdle {
		_ = conn.Close() // its response header may have been sent before the stop
	}
}

// closeIdle closes the idle connections, and from now on those that become idle. It
// returns the number of all others. A connection with unread bytes is not idle: on a
// host with little CPU time, a request may wait 100 ms to be read.
func (c *connections) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	others := 0
	for conn, idle := range c.idle {
		if !idle || hasUnreadBytes(conn) {
			others++
			continue
		}
		_ = conn.Close() // its server goroutine then reports StateClosed
	}
	return others
}

// hasUnreadBytes reports whether the socket holds received bytes that have not been
// read.
func hasUnreadBytes(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	unread := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = e == nil && n > 0
	})
	return err == nil && unread
}
