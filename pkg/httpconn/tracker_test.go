package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a stop that closes a connection on which a request waits to be read:
// its caller would get neither a response nor a refusal.
func TestCloseIdle_KeepsConnectionWithUnreadBytes(t *testing.T) {
	c := NewTracker()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := c.Listener(inner)
	defer ln.Close()
	pair := func() (caller, served net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		served, err = ln.Accept()
		assert.NilError(t, err)
		return caller, served
	}
	unread, servedUnread := pair()
	idle, servedIdle := pair()
	active, servedActive := pair()
	for _, conn := range []net.Conn{unread, idle, active} {
		defer conn.Close()
	}
	c.OnStateChange(servedUnread, http.StateIdle)
	c.OnStateChange(servedIdle, http.StateIdle)
	c.OnStateChange(servedActive, http.StateActive)
	_, err = unread.Write([]byte("GET / HTTP/1.1\r\n"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if servedUnread.(*conn).hasUnreadBytes() {
			return poll.Success()
		}
		return poll.Continue("the bytes have not arrived")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, c.CloseIdle(), 2)
	_, err = servedIdle.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	for _, conn := range []net.Conn{servedUnread, servedActive} {
		_, err = conn.Write([]byte("x"))
		assert.NilError(t, err)
	}
	c.OnStateChange(servedIdle, http.StateClosed)
	c.OnStateChange(servedActive, http.StateIdle)
	_, err = servedActive.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed, "a connection that became idle after the stop is still open")
	c.OnStateChange(servedActive, http.StateClosed)
	assert.Equal(t, c.CloseIdle(), 1)
}

// bytesRead is a listener that counts the bytes that are read from its connections.
type bytesRead struct {
	net.Listener
	count atomic.Int64
}

type countedConn struct {
	*conn
	count *atomic.Int64
}

func (l *bytesRead) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c.(*conn), &l.count}, nil
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.count.Add(int64(n))
	return n, err
}

// Guards against a stop that closes a connection whose request the server has begun to
// read. The socket is then empty, and the server reports the connection as idle until
// it has read the whole header (found by plantain-soak, seed 10012).
func TestCloseIdle_KeepsConnectionWithBegunRequest(t *testing.T) {
	c := NewTracker()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := &bytesRead{Listener: c.Listener(inner)}
	onStateChange := func(served net.Conn, state http.ConnState) { c.OnStateChange(served.(countedConn).conn, state) }
	server := &http.Server{ConnState: onStateChange, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
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
		if ln.count.Load() == int64(len(begun+rest+begun)) {
			return poll.Success()
		}
		return poll.Continue("%d bytes read", ln.count.Load())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	c.CloseIdle()
	_, err = io.WriteString(caller, rest)
	assert.NilError(t, err)
	_, err = http.ReadResponse(responses, nil)
	assert.NilError(t, err, "the request was begun to be read and has no answer")
}

// Guards against a stop under load that closes a connection after its request was read:
// each request that the handler has seen must be answered.
func TestDrain_AnswersEachRequestThatWasRead(t *testing.T) {
	const callers, rounds = 20, 20
	for range rounds {
		c := NewTracker()
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		var handled, answered sync.Map
		var count atomic.Int64
		server := &http.Server{ConnState: c.OnStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.URL.Path, true)
			count.Add(1)
			_, _ = io.Copy(w, r.Body)
		})}
		go func() { _ = server.Serve(c.Listener(inner)) }()
		var all sync.WaitGroup
		for caller := range callers {
			conn, err := net.Dial("tcp", inner.Addr().String())
			assert.NilError(t, err)
			all.Go(func() {
				defer conn.Close()
				responses := bufio.NewReader(conn)
				for i := 0; ; i++ {
					path := fmt.Sprintf("/%d/%d", caller, i)
					if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok", path); err != nil {
						return
					}
					resp, err := http.ReadResponse(responses, nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(resp.Body); err == nil && string(body) == "ok" {
						answered.Store(path, true)
					}
				}
			})
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if count.Load() > 5*callers {
				return poll.Success()
			}
			return poll.Continue("%d requests", count.Load())
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_ = inner.Close()
		c.Drain(ctx)
		assert.NilError(t, ctx.Err())
		cancel()
		all.Wait()
		_ = server.Close()
		handled.Range(func(path, _ any) bool {
			_, ok := answered.Load(path)
			assert.Assert(t, ok, "%s was read and has no answer", path)
			return true
		})
	}
}

// Guards against reads that ignore a deadline, and against an end of the stream that is
// not reported.
func TestConn_DeadlineEndsRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := NewTracker().Listener(inner)
	defer ln.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	served, err := ln.Accept()
	assert.NilError(t, err)
	defer served.Close()
	assert.NilError(t, served.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = served.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	assert.NilError(t, served.SetReadDeadline(time.Time{}))
	assert.NilError(t, caller.Close())
	_, err = served.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}
