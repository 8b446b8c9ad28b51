package httpconn

import (
	"net"
	"syscall"
	"time"
)

const (
	// newConnGrace is the time in which a new connection without a request does not count as
	// idle: its caller is about to send one.
	newConnGrace = 500 * time.Millisecond
	// maxCloseAttempts bounds the idle connections that are looked at for each new one. A
	// connection on which a request, or a part of its header, has arrived can't be closed.
	maxCloseAttempts = 8
)

// Closed tells which connection was closed at the limit.
type Closed int

// Connections that are closed at the limit.
const (
	ClosedIdle       Closed = iota // the connection that was idle for longest
	ClosedUnfinished               // one whose request body made no progress
	ClosedNew                      // the new connection itself
)

// String returns the name for metrics and logs.
func (c Closed) String() string { return [...]string{"idle", "unfinished", "new"}[c] }

// Limit bounds the connections of a Tracker. Without one, callers that keep many connections
// open use up the descriptors and the memory of the process.
type Limit struct {
	// MaxConns is the number of open connections, 0 for no limit. It may be exceeded for the
	// moment in which aborted requests are answered.
	MaxConns int
	// ReceiveBufferBytes bounds the bytes that wait in the socket of a connection to be read, 0
	// for the default of the system, which may be several MiB. Linux allows for twice the
	// number, and the bytes count as memory of the process where its memory is limited.
	ReceiveBufferBytes int
	// AbortUnfinished aborts the request whose unfinished body has made no progress for
	// longest, and reports whether there is one. It must not call the Tracker. It may be nil.
	AbortUnfinished func() bool
	// OnClosed is called for each connection that is closed at the limit, with the lock of the
	// Tracker held. It may be nil.
	OnClosed func(Closed)
}

// makeRoom makes room for a new connection and reports whether there is some. Otherwise the
// connection is closed. A connection whose request is in service is never closed.
func (t *Tracker) makeRoom(c net.Conn) bool {
	if t.limit.MaxConns <= 0 || len(t.conns) < t.limit.MaxConns {
		return true
	}
	closed := ClosedNew
	switch {
	case t.closeLongestIdle():
		closed = ClosedIdle
	case t.limit.AbortUnfinished != nil && t.limit.AbortUnfinished():
		closed = ClosedUnfinished
	default:
		_ = c.Close()
	}
	if t.limit.OnClosed != nil {
		t.limit.OnClosed(closed)
	}
	return closed != ClosedNew
}

func (t *Tracker) closeLongestIdle() bool {
	now := time.Now()
	attempts := 0
	for tc := t.idle.next; tc != &t.idle && attempts < maxCloseAttempts; {
		next := tc.next
		if !tc.isNew || now.Sub(tc.idleSince) >= newConnGrace {
			if t.closeIfUnused(tc) {
				return true
			}
			attempts++
			t.moveToEnd(tc) // the next new connection looks at others first
		}
		tc = next
	}
	return false
}

// moveToEnd moves an idle connection to the end of the ring.
func (t *Tracker) moveToEnd(tc *trackedConn) {
	since := tc.idleSince
	t.setIdle(tc)
	tc.idleSince = since
}

// setReceiveBuffer sets the size of the receive buffers of connections that are accepted from
// now on. Without it, the buffers keep their default size.
func setReceiveBuffer(ln *net.TCPListener, bytes int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}
