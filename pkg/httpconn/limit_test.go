package httpconn

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

// Guards against callers that use up the descriptors: at the limit the longest idle connection
// is closed first, then that of an unfinished body, then the new one, and none with a request
// in service.
func TestLimit_ClosesIdleThenUnfinishedThenNew(t *testing.T) {
	var closed []Closed
	var unfinished atomic.Bool
	tracker := NewLimitedTracker(Limit{
		MaxConns: 2, ReceiveBufferBytes: 64 << 10,
		AbortUnfinished: unfinished.Load, OnClosed: func(c Closed) { closed = append(closed, c) },
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release, inService := make(chan struct{}), make(chan struct{}, 10)
	server := &http.Server{ConnState: tracker.OnStateChange, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			inService <- struct{}{}
			<-release
		}
	})}
	go func() { _ = server.Serve(tracker.Listener(inner)) }()
	defer server.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		return c
	}
	receive := func(c net.Conn) error {
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err
	}
	get := func(c net.Conn, path string) error {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		if path == "/slow" {
			<-inService
			return nil
		}
		return receive(c)
	}
	// The server reports a connection as idle after its response was sent.
	awaitIdle := func(count int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			tracker.mu.Lock()
			defer tracker.mu.Unlock()
			n := 0
			for tc := tracker.idle.next; tc != &tracker.idle; tc = tc.next {
				if !tc.isNew {
					n++
				}
			}
			if n != count {
				return poll.Continue("%d connections are idle", n)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
	first, second := dial(), dial()
	assert.NilError(t, get(first, "/"))
	awaitIdle(1)
	assert.NilError(t, get(second, "/"))
	awaitIdle(2)
	slow := dial()
	assert.NilError(t, get(slow, "/slow"))
	assert.Assert(t, receive(first) != nil, "the connection that was idle for longest is open")
	assert.NilError(t, get(second, "/slow"))
	assert.Assert(t, receive(dial()) != nil, "a connection over the limit is open")
	unfinished.Store(true)
	assert.NilError(t, get(dial(), "/"))
	close(release)
	assert.NilError(t, receive(slow))
	assert.NilError(t, receive(second))
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	assert.DeepEqual(t, closed, []Closed{ClosedIdle, ClosedNew, ClosedUnfinished})
}
