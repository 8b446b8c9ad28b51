package requestbody

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/intake"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// fakeCaller is a caller that sends a part of its body and then nothing. It is both the body
// and the response writer of its request.
type fakeCaller struct {
	http.ResponseWriter
	sent      io.Reader
	aborted   chan struct{} // closed by the first deadline
	deadlines int
}

func newFakeCaller(sent int) *fakeCaller {
	return &fakeCaller{sent: bytes.NewReader(make([]byte, sent)), aborted: make(chan struct{})}
}

func (f *fakeCaller) SetReadDeadline(time.Time) error {
	if f.deadlines++; f.deadlines == 1 {
		close(f.aborted)
	}
	return nil
}

func (f *fakeCaller) Read(b []byte) (int, error) {
	if n, _ := f.sent.Read(b); n > 0 {
		return n, nil
	}
	<-f.aborted
	return 0, os.ErrDeadlineExceeded
}

func newTestMemory(bytes int64) *Memory { return NewMemory(bytes, metrics.NewSet(), "test") }

func newRequest(body io.Reader, length int64) *http.Request {
	return &http.Request{Body: io.NopCloser(body), ContentLength: length}
}

// Guards against bodies that are changed or cut where chunks end, against bytes that stay
// charged, and against deadlines for ordinary bodies, which cost system calls.
func TestRead_ReturnsWholeBodyAndReleasesIt(t *testing.T) {
	m, w := newTestMemory(1<<20), newFakeCaller(0)
	for _, size := range []int{0, 1, firstChunkBytes, firstChunkBytes + 1, firstChunkBytes + chunkBytes, 1 << 20} {
		for _, length := range []int64{int64(size), -1} {
			sent := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			body, err := m.Read(w, newRequest(bytes.NewReader(sent), length), 1<<20, time.Now().Add(time.Hour))
			assert.NilError(t, err, "%d bytes", size)
			assert.Assert(t, bytes.Equal(bytes.Join(body.Chunks(), nil), sent), "%d bytes", size)
			assert.Assert(t, bytes.Equal(body.Join(), sent), "%d bytes", size)
			assert.Assert(t, size <= firstChunkBytes || m.Held() > 0)
			body.Release()
			body.Release()
			assert.Equal(t, m.Held(), int64(0))
		}
	}
	_, err := m.Read(w, newRequest(strings.NewReader("abc"), -1), 2, time.Time{})
	assert.Equal(t, fault.As(err).Field, "body")
	assert.Equal(t, m.receiving(), 0)
	assert.Equal(t, w.deadlines, 0)
}

// Guards against a body without progress that keeps its memory from others, and against a
// refusal that could be taken for a request that may have run.
func TestRead_EvictsStalledBodyForAnother(t *testing.T) {
	m := newTestMemory(chunkBytes)
	stalled := newFakeCaller(firstChunkBytes + 1)
	done := make(chan error, 1)
	go func() {
		_, err := m.Read(stalled, newRequest(stalled, 1<<20), 1<<20, time.Time{})
		done <- err
	}()
	for m.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	read := func() (*Body, error) {
		return m.Read(nil, newRequest(strings.NewReader(strings.Repeat("x", chunkBytes)), chunkBytes), 1<<20, time.Time{})
	}
	_, refusal := read()
	time.Sleep(intake.StallTimeout)
	_, err := read()
	assert.NilError(t, err)
	for _, err := range []error{refusal, <-done} {
		e := fault.As(err)
		assert.Assert(t, e.Kind == fault.Overloaded && e.Outcome == fault.NotRun && e.RetryAfter > 0, "%v", err)
	}
}

// Guards against refusals that are lost because the connection is reset while the caller still
// sends, against callers that are asked for a body which is refused anyway, and against
// connections of refused callers that stay open, as they do beyond the deadline of the request:
// those of aborted bodies delay the end of the process.
func TestEndRefused_AnswersAndClosesConnection(t *testing.T) {
	const expect = "Expect: 100-continue\r\n"
	for name, c := range map[string]struct {
		header, sent string
		length       int
		evict        bool
		want         string
		closedWithin time.Duration
	}{
		"all but the end is sent": {"", strings.Repeat("x", 999_900), 1_000_000, false, "HTTP/1.1 503", 4 * discardTimeout},
		"aborted":                 {"", "x", 1000, true, "HTTP/1.1 503", discardTimeout},
		"overdue":                 {"Overdue: 1\r\n", "x", 1000, false, "HTTP/1.1 503", 2 * discardTimeout},
		"asked for":               {expect, "", 1000, true, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503", discardTimeout},
		"too large to ask for":    {expect, "", 2_000_000, false, "HTTP/1.1 503", 4 * discardTimeout},
		"not read":                {"Unread: 1\r\n", "", 1000, false, "HTTP/1.1 401", 4 * discardTimeout},
	} {
		m := newTestMemory(chunkBytes)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Unread") != "" {
				LimitUnread(w, r)
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			var deadline time.Time
			if r.Header.Get("Overdue") != "" {
				deadline = time.Now()
			}
			_, err := m.Read(w, r, 1_000_000, deadline)
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			if !EndRefused(w, r, err) {
				panic(http.ErrAbortHandler)
			}
		}))
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", c.header, c.length, c.sent)
		assert.NilError(t, err)
		for c.evict && m.receiving() == 0 {
			time.Sleep(time.Millisecond)
		}
		if c.evict {
			time.Sleep(20 * time.Millisecond) // the server may not have asked yet
			m.EvictAll()
		}
		start := time.Now()
		response, err := io.ReadAll(conn)
		assert.NilError(t, err, name)
		assert.Assert(t, strings.HasPrefix(string(response), c.want), "%s: %s", name, response)
		assert.Assert(t, time.Since(start) < c.closedWithin, "%s: closed after %v", name, time.Since(start))
		assert.NilError(t, conn.Close())
		server.Close()
	}
}
