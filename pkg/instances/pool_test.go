package instances

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// echo is the dialect of these tests: answers carry the request id, and a marker
// when the request was not run.
type echo struct{ Dialect }

func (echo) ReadReplyMetadata(_ int, h http.Header) Metadata {
	return Metadata{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// scripted is an upstream that answers each request with the next script.
type scripted struct {
	net.Listener
	requests chan string // request lines
}

func serveScripts(t *testing.T, scripts ...string) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &scripted{Listener: ln, requests: make(chan string, 16)}
	next := make(chan string, len(scripts))
	for _, script := range scripts {
		next <- script
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, next)
		}
	}()
	return s
}

// closeAfter at the end of a script closes the connection.
const closeAfter = "<close>"

func (s *scripted) serve(c net.Conn, next chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests <- req.Method + " " + req.RequestURI
		script := <-next
		end := len(script) >= len(closeAfter) && script[len(script)-len(closeAfter):] == closeAfter
		if end {
			script = script[:len(script)-len(closeAfter)]
		}
		_, _ = io.WriteString(c, script)
		if end {
			return
		}
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func call(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := p.Do(ctx, address, Call{Method: "GET", Target: "/x?y=%2f", Host: "h", Header: http.Header{}, RequestID: id})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := reply.ReadAll(100)
	return string(body), err
}

// Guards against an answer that reaches another caller: a second answer to an
// earlier request comes where the next one is expected.
func TestPool_SkipsAnswersToOtherRequests(t *testing.T) {
	s := serveScripts(t, answer("1", "one"), answer("1", "one")+answer("2", "two"))
	p := NewPool(echo{}, func() {})
	body, err := call(t, p, s.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, err = call(t, p, s.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

// Guards against a connection that is used again with bytes on it that belong to
// no request.
func TestPool_DropsConnectionsWithExtraBytes(t *testing.T) {
	s := serveScripts(t, answer("1", "one")+"garbage", answer("2", "two"))
	opened := 0
	p := NewPool(echo{}, func() { opened++ })
	_, err := call(t, p, s.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := call(t, p, s.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, opened, 2)
}

// Guards against an answer that was cut off and looks complete.
func TestPool_ReportsCutAnswers(t *testing.T) {
	s := serveScripts(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"+closeAfter)
	_, err := call(t, NewPool(echo{}, func() {}), s.Addr().String(), "1")
	assert.Assert(t, fault.Is(err, fault.Upstream))
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
}

// Guards against a promise that a request has not run after it was sent, and
// against none although the upstream could not be reached.
func TestPool_TellsWhatMayHaveRun(t *testing.T) {
	s := serveScripts(t, closeAfter)
	_, err := call(t, NewPool(echo{}, func() {}), s.Addr().String(), "1")
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
	ln, e := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, e)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = call(t, NewPool(echo{}, func() {}), address, "1")
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// Guards against a request that must not be repeated and is sent a second time
// because an idle connection was closed, and against one that may be and fails.
func TestPool_RepeatsOnlyWhatMayBeRepeated(t *testing.T) {
	for _, once := range []bool{false, true} {
		s := serveScripts(t, answer("1", "one"), closeAfter, answer("1", "two"))
		p := NewPool(echo{}, func() {})
		_, err := call(t, p, s.Addr().String(), "1")
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := p.Do(ctx, s.Addr().String(), Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, RequestID: "1", NoRetry: once})
		if once {
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		} else {
			assert.NilError(t, err)
			reply.Close()
		}
		cancel()
	}
}

// Guards against a path or query that an upstream gets in another form than the
// caller sent it.
func TestPool_PassesTheTargetUnchanged(t *testing.T) {
	s := serveScripts(t, answer("1", "one"))
	_, err := call(t, NewPool(echo{}, func() {}), s.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, <-s.requests, "GET /x?y=%2f")
}
