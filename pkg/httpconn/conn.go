package httpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// conn is a connection that knows whether bytes were read from it since the last write.
// One lock covers the read of the socket, the count and the decision to close, so that
// no byte is read and not yet counted while the connection is closed.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu         sync.Mutex
	unanswered bool // bytes were read since the last write
	closed     bool
}

func newConn(tcp *net.TCPConn) (net.Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, fault.Wrap(err, fault.Unavailable, "access the socket of a connection")
	}
	return &conn{TCPConn: tcp, raw: raw}, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.readSocket(int(fd), b)
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads without blocking.
func (c *conn) readSocket(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, syscall.EBADF // bytes that arrived after the decision to close
	}
	for {
		n, err := syscall.Read(fd, b)
		if err == syscall.EINTR {
			continue
		}
		if n > 0 {
			c.unanswered = true
		}
		return max(n, 0), err
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.startAnswer()
	return c.TCPConn.Write(b)
}

// ReadFrom implements io.ReaderFrom, which the HTTP server uses for bodies.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	c.startAnswer()
	return c.TCPConn.ReadFrom(r)
}

// startAnswer takes what was read so far as answered. What the peer sends after it has
// received the answer is read later and counts as unanswered.
func (c *conn) startAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
}

// closeIfUnused closes the connection unless a request was begun to be read or waits to
// be read. It reports whether the connection is closed.
func (c *conn) closeIfUnused() bool {
	c.mu.Lock()
	if !c.closed {
		c.closed = !c.unanswered && !c.hasUnreadBytes()
	}
	closed := c.closed
	c.mu.Unlock()
	if closed {
		_ = c.Close()
	}
	return closed
}

// hasUnreadBytes reports whether the socket holds received bytes that have not been
// read.
func (c *conn) hasUnreadBytes() bool {
	unread := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = e == nil && n > 0
	})
	return err == nil && unread // an error means that the connection is closed
}
