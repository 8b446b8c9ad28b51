package instances

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin/brokenresponse"
)

func assertBroken(t *testing.T, replies map[string]string) {
	t.Helper()
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			s := startScriptedUpstream(t, reply+closeMarker)
			body, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
			assert.Assert(t, fault.Is(err, fault.Upstream), "body %q, error %v", body, err)
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		})
	}
}

// Guards against an invalid status that is taken for that of a reply, or of an interim reply,
// which is skipped, so that what follows becomes the reply.
func TestPool_RefusesInvalidStatusLines(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidStatusLines("Id: 1\r\n"))
}

// Guards against a line in a head that is not passed on, or that changes where the body ends or
// another field, because the reader did not find the name of a field in it.
func TestPool_RefusesInvalidFields(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidFields("Id: 1\r\n"))
}

// Guards against a reply whose end is unclear or contradictory: a part of the body, or bytes after
// it, would become the reply to this call or the next.
func TestPool_RefusesInvalidFraming(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidFraming("Id: 1\r\n"))
}

// Guards against a reply that ends within its head and is taken for a whole one with an empty or
// short body.
func TestPool_RefusesReplyCutInItsHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		for end := 1; end < len(head); end++ {
			s := startScriptedUpstream(t, head[:end]+closeMarker)
			body, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
			assert.Assert(t, fault.Is(err, fault.Upstream), "cut after %q: body %q, error %v", head[:end], body, err)
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		}
	}
}

// Guards against a field of one connection that is forwarded, because net/http removes the list that
// names it if that also says that the connection closes.
func TestPool_KeepsConnectionFields(t *testing.T) {
	for _, options := range []string{"X", "close, x", "X, Close"} {
		s := startScriptedUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: "+options+"\r\nX: 1\r\nY: 2\r\nContent-Length: 0\r\n\r\n")
		call := Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, RequestID: "1"}
		reply, err := NewPool(echoDialect{}, func() {}).Do(t.Context(), s.Addr().String(), call)
		assert.NilError(t, err)
		reply.Close()
		StripHopByHop(reply.Header)
		assert.DeepEqual(t, reply.Header, http.Header{"Id": {"1"}, "Y": {"2"}, "Content-Length": {"0"}})
	}
}

// startRepeatingUpstream responds to each request with its reply. On a kept connection it writes
// the reply to the request before once more, in front of it.
func startRepeatingUpstream(t *testing.T, replies map[string]string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go brokenresponse.Accept(ln, func(c net.Conn) {
		repeated := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			reply := replies[req.Method]
			_, _ = io.WriteString(c, repeated+reply)
			repeated = reply
		}
	})
	return ln
}

// Guards against a body that is read where there is none, or left where there is one: replies to
// HEAD state the length of a body that does not follow, and a repeated reply does not tell which
// method it belongs to.
func TestPool_KeepsRepliesToHeadApart(t *testing.T) {
	const inside = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n" // the body of a reply, 45 bytes
	// The lengths are those of the heads, so that skipping one too many or too few bytes ends at
	// the head inside a body.
	first := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 46\r\n\r\n"
	second := "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 45\r\n\r\n"
	for _, c := range []struct {
		methods [2]string
		replies map[string]string
	}{
		{[2]string{"HEAD", "GET"}, map[string]string{"HEAD": first, "GET": second + inside}},
		{[2]string{"GET", "HEAD"}, map[string]string{"GET": first + inside + "\n", "HEAD": second}},
	} {
		t.Run(c.methods[1], func(t *testing.T) {
			s := startRepeatingUpstream(t, c.replies)
			p := NewPool(echoDialect{}, func() {})
			for i, method := range c.methods {
				call := Call{Method: method, Target: "/", Host: "h", Header: http.Header{}, RequestID: strconv.Itoa(i + 1)}
				reply, err := p.Do(t.Context(), s.Addr().String(), call)
				assert.NilError(t, err)
				assert.Equal(t, reply.Length, int64(46-i), "the caller got another reply")
				_, err = reply.ReadAll(100)
				assert.NilError(t, err)
				reply.Close()
			}
		})
	}
}

// callDialect sends report calls and orders whose replies name no request.
type callDialect struct{ echoDialect }

func (callDialect) ReportCall() Call {
	return Call{Method: "GET", Target: "/report", Header: http.Header{}}
}

func (callDialect) DecodeReport([]byte) (EngineState, error) { return EngineState{}, nil }

func (callDialect) PlaceCall(Placement) (Call, error) {
	return Call{Method: "POST", Target: "/order", Header: http.Header{}}, nil
}

func (callDialect) RefusedBy([]byte) string { return "" }

// Guards against a broken reply that is taken for the state of an engine, or for an order that it
// has accepted.
func TestEngineClient_RefusesBrokenReplies(t *testing.T) {
	for name, reply := range brokenresponse.All("") {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go brokenresponse.Serve(ln, reply)
			e := NewEngineClient(NewPool(callDialect{}, func() {}), callDialect{}, func(string, ReplyMetadata) {})
			_, err = e.Report(t.Context(), ln.Addr().String(), 5*time.Second)
			assert.Assert(t, fault.Is(err, fault.Upstream), "report: %v", err)
			err = e.Place(t.Context(), ln.Addr().String(), Placement{})
			assert.Assert(t, fault.Is(err, fault.Upstream), "order: %v", err)
		})
	}
}

// Guards against other bytes where the rest of a body is due: an upstream may reply before it has
// read the body, and read on later.
func TestPool_EarlyReplyLeavesBodyWhole(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	bodies := make(chan string, 2)
	go brokenresponse.Accept(ln, func(c net.Conn) {
		r := bufio.NewReader(c)
		for id := 1; ; id++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, replyText(strconv.Itoa(id), "one"))
			body, _ := io.ReadAll(req.Body)
			bodies <- string(body)
		}
	})
	p := NewPool(echoDialect{}, func() {})
	for id, body := range []string{strings.Repeat("long ", 2<<20), "short"} {
		call := Call{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, RequestID: strconv.Itoa(id + 1), Body: [][]byte{[]byte(body)}}
		reply, err := p.Do(t.Context(), ln.Addr().String(), call)
		assert.NilError(t, err)
		_, err = reply.ReadAll(100)
		assert.NilError(t, err)
		reply.Close()
		assert.Assert(t, <-bodies == body, "the upstream read another body")
	}
}
