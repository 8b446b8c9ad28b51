package instances

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// echoDialect reads the request ID of a reply, and a marker that is set if the request
// was not run.
type echoDialect struct{ Dialect }

func (echoDialect) ReadReplyMetadata(_ int, h http.Header) ReplyMetadata {
	return ReplyMetadata{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// scriptedUpstream responds to each request with the next script.
type scriptedUpstream struct {
	net.Listener
	requests chan string // request lines
	scripts  chan string
}

// drop removes the next script.
func (s *scriptedUpstream) drop(t *testing.T) {
	t.Helper()
	select {
	case <-s.scripts:
	default:
		t.Fatal("no script is left")
	}
}

func startScriptedUpstream(t *testing.T, scripts ...string) *scriptedUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	next := make(chan string, len(scripts))
	s := &scriptedUpstream{Listener: ln, requests: make(chan string, 16), scripts: next}
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

// closeMarker at the end of a script closes the connection.
const closeMarker = "<close>"

func (s *scriptedUpstream) serve(c net.Conn, next chan string) {
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
		end := len(script) >= len(closeMarker) && script[len(script)-len(closeMarker):] == closeMarker
		if end {
			script = script[:len(script)-len(closeMarker)]
		}
		_, _ = io.WriteString(c, script)
		if end {
			return
		}
	}
}

func replyText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func get(t *testing.T, p *Pool, address, id string) (string, error) {
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

// Guards against a reply that reaches the wrong caller: a second reply to an earlier
// request arrives where the reply to the next one is expected.
func TestPool_SkipsRepliesToOtherRequests(t *testing.T) {
	s := startScriptedUpstream(t, replyText("1", "one"), replyText("1", "one")+replyText("2", "two"))
	p := NewPool(echoDialect{}, func() {})
	body, err := get(t, p, s.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, err = get(t, p, s.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

// Guards against the reuse of a connection on which bytes have arrived that belong to
// no request.
func TestPool_DropsConnectionsWithExtraBytes(t *testing.T) {
	s := startScriptedUpstream(t, replyText("1", "one")+"garbage", replyText("2", "two"))
	dials := 0
	p := NewPool(echoDialect{}, func() { dials++ })
	_, err := get(t, p, s.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := get(t, p, s.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, dials, 2)
}

func refusalText(id string) string {
	text := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		text += "Id: " + id + "\r\n"
	}
	return text + "\r\n"
}

// Guards against an earlier refusal that the upstream writes once more on a kept
// connection: the request that runs there would count as not run.
func TestPool_RepeatedRefusalIsNotTakenForTheReply(t *testing.T) {
	for name, tc := range map[string]struct {
		firstID, repeated string
		dials             int
	}{
		"to the same request, sent once more": {"2", refusalText("2"), 2},
		"to another request":                  {"1", refusalText("1"), 1},
		"without an id":                       {"1", refusalText(""), 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedUpstream(t, refusalText(tc.firstID), tc.repeated+replyText("2", "two"), replyText("2", "two"))
			dials := 0
			p := NewPool(echoDialect{}, func() { dials++ })
			send := func(id string) (*Reply, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				reply, err := p.Do(ctx, s.Addr().String(), Call{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, RequestID: id, NonRepeatable: true})
				if err == nil {
					_, err = reply.ReadAll(100)
					reply.Close()
				}
				return reply, err
			}
			reply, err := send(tc.firstID)
			assert.NilError(t, err)
			assert.Assert(t, reply.Metadata.NotRun)
			if tc.firstID == "2" {
				// The connection on which the refusal may be repeated is not used for it.
				<-s.requests
				s.drop(t)
			}
			reply, err = send("2")
			if err != nil {
				assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
			} else {
				assert.Assert(t, !reply.Metadata.NotRun, "a request that ran counts as not run")
			}
			assert.Equal(t, dials, tc.dials)
		})
	}
}

// Guards against a refusal that names no request and is believed on a new connection.
func TestPool_RefusalWithoutIDPromisesNothing(t *testing.T) {
	s := startScriptedUpstream(t, refusalText(""))
	_, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
	assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
}

// Guards against a truncated reply that is taken for a complete one.
func TestPool_ReportsTruncatedReplies(t *testing.T) {
	s := startScriptedUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"+closeMarker)
	_, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
	assert.Assert(t, fault.Is(err, fault.Upstream))
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
}

// Guards against the outcome NotRun for a request that was sent, and against another
// outcome if the upstream could not be reached.
func TestPool_ReportsOutcomeOfFailedCalls(t *testing.T) {
	s := startScriptedUpstream(t, closeMarker)
	_, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
	ln, e := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, e)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = get(t, NewPool(echoDialect{}, func() {}), address, "1")
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// Guards against a second send of a request that may not be repeated after the upstream
// closed an idle connection, and against a failure of one that may be repeated.
func TestPool_RetriesOnlyRepeatableCalls(t *testing.T) {
	for _, nonRepeatable := range []bool{false, true} {
		s := startScriptedUpstream(t, replyText("1", "one"), closeMarker, replyText("1", "two"))
		p := NewPool(echoDialect{}, func() {})
		_, err := get(t, p, s.Addr().String(), "1")
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := p.Do(ctx, s.Addr().String(), Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, RequestID: "1", NonRepeatable: nonRepeatable})
		if nonRepeatable {
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		} else {
			assert.NilError(t, err)
			reply.Close()
		}
		cancel()
	}
}

// Guards against a path or query that reaches the upstream in another form than the
// caller sent it.
func TestPool_SendsTargetUnchanged(t *testing.T) {
	s := startScriptedUpstream(t, replyText("1", "one"))
	_, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, <-s.requests, "GET /x?y=%2f")
}

// startEndlessUpstream responds with start and then with 64 MiB of repeated, unless the
// caller closes the connection before.
func startEndlessUpstream(t *testing.T, start, repeated string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	chunk := []byte(repeated)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, start)
		for sent := 0; err == nil && sent < 64<<20; sent += len(chunk) {
			_, err = c.Write(chunk)
		}
	}()
	return ln
}

// Guards against memory that grows, and a call that waits for its deadline, while an upstream
// sends bytes that are no reply until the connection is closed.
func TestPool_EndsEndlessReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":      {"", "garbage "},
		"header line":      {head + "A: ", "garbage "},
		"header fields":    {head, "A: b\r\n"},
		"interim replies":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"length":           {head + "Content-Length: ", "1"},
		"chunk size":       {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extensions": {head + "Transfer-Encoding: chunked\r\n\r\n1;", "garbage "},
		"trailer":          {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"body":             {head + "\r\n", "garbage "},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEndlessUpstream(t, c.start, strings.Repeat(c.repeated, 4096/len(c.repeated)))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
			runtime.ReadMemStats(&after)
			assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < 4<<20, "%d bytes were allocated for one reply", allocated)
		})
	}
}

// Guards against a call that is sent once more, beside the retry budget, because bytes that are
// no reply are taken for the end of an idle connection. One that has ended is replaced.
func TestPool_SendsOnceMoreOnlyIfNoReplyCame(t *testing.T) {
	for name, c := range map[string]struct {
		second string
		sends  int
	}{
		"no reply":        {closeMarker, 3},
		"no HTTP":         {"overload\n\n" + closeMarker, 2},
		"half of a head":  {"HTTP/1.1 200 OK\r\nId: 2\r\nConte" + closeMarker, 2},
		"half of a line":  {"HTT" + closeMarker, 2},
		"interim reply":   {"HTTP/1.1 102 Processing\r\n\r\n" + closeMarker, 2},
		"another version": {"HTTP/9.9 200 OK\r\n\r\n" + closeMarker, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedUpstream(t, replyText("1", "one"), c.second, replyText("2", "two"))
			p := NewPool(echoDialect{}, func() {})
			_, err := get(t, p, s.Addr().String(), "1")
			assert.NilError(t, err)
			body, err := get(t, p, s.Addr().String(), "2")
			assert.Equal(t, len(s.requests), c.sends)
			if c.sends > 2 {
				assert.NilError(t, err)
				assert.Equal(t, body, "two")
				return
			}
			assert.Assert(t, fault.Is(err, fault.Upstream) && fault.As(err).Outcome == fault.MayHaveRun, "%v", err)
		})
	}
}
