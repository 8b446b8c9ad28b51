package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a stop that closes a connection on which a request waits to be read:
// its caller would get neither a response nor a refusal.
func TestCloseIdle_KeepsConnectionWithUnreadBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	pair := func() (caller, served net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		served, err = ln.Accept()
		assert.NilError(t, err)
		return caller, served
	}
	var c connections
	c.init()
	unread, servedUnread := pair()
	idle, servedIdle := pair()
	active, servedActive := pair()
	for _, conn := range []net.Conn{unread, idle, active} {
		defer conn.Close()
	}
	c.onStateChange(servedUnread, http.StateIdle)
	c.onStateChange(servedIdle, http.StateIdle)
	c.onStateChange(servedActive, http.StateActive)
	_, err = unread.Write([]byte("GET / HTTP/1.1\r\n"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hasUnreadBytes(servedUnread) {
			return poll.Success()
		}
		return poll.Continue("the bytes have not arrived")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, c.closeIdle(), 2)
	_, err = servedIdle.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	for _, conn := range []net.Conn{servedUnread, servedActive} {
		_, err = conn.Write([]byte("x"))
		assert.NilError(t, err)
	}
	c.onStateChange(servedIdle, http.StateClosed)
	c.onStateChange(servedActive, http.StateIdle)
	_, err = servedActive.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed, "a connection that became idle after the stop is still open")
	c.onStateChange(servedActive, http.StateClosed)
	assert.Equal(t, c.closeIdle(), 1)
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn.(*net.TCPConn), &l.read}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a stop that closes a connection whose request the server has begun to
// read. The socket is then empty, and the server reports the connection as idle until
// it has read the whole header (found by plantain-soak, seed 10012).
func TestConnections_KeepWhatIsBeingRead(t *testing.T) {
	var c connections
	c.init()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := &countingListener{Listener: inner}
	server := &http.Server{ConnState: c.onStateChange, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	responses := bufio.NewReader(caller)
	const begun, rest = "GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"
	_, err = io.WriteString(caller, begun+rest)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = io.WriteString(caller, begun)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ln.read.Load() == int64(len(begun+rest+begun)) {
			return poll.Success()
		}
		return poll.Continue("%d bytes read", ln.read.Load())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	c.closeIdle()
	_, err = io.WriteString(caller, rest)
	assert.NilError(t, err)
	_, err = http.ReadResponse(responses, nil)
	assert.NilError(t, err, "the request was begun to be read and has no answer")
}
