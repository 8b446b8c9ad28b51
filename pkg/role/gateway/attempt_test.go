package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
)

// Guards against a stream that is taken for complete although its engine crashed: without
// a length or chunks, the end of the connection ends the stream, and a crash looks the same.
func TestCopyEvents_UnframedStreamEndsAfterAnEvent(t *testing.T) {
	for name, c := range map[string]struct {
		framed   bool
		lastID   string // of a stream that is resumed
		body     string
		complete bool
	}{
		"framed, no event":       {framed: true, complete: true},
		"framed, one event":      {framed: true, body: "id: 1\ndata: a\n\n", complete: true},
		"no event":               {},
		"one event":              {body: "id: 1\ndata: a\n\n", complete: true},
		"inside an event":        {body: "id: 1\ndata: a\n\nid: 2\nda"},
		"resumed, nothing more":  {lastID: "4", complete: true},
		"resumed, inside events": {lastID: "4", body: "id: 5\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{prompts: newPromptEvidence()}
			g.load.init()
			s := &stream{q: &request{}}
			if c.lastID != "" {
				s.started = true
				_, err := s.splitter.Feed([]byte("id: " + c.lastID + "\n\n"))
				assert.NilError(t, err)
			}
			reply := &instances.Reply{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader(c.body), Framed: c.framed}
			err := g.copyEvents(context.Background(), httptest.NewRecorder(), s, reply, "e")
			assert.Equal(t, err == nil, c.complete, "%v", err)
		})
	}
}

// endlessReader repeats its text and counts the bytes that were read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

// Guards against a gateway that runs out of memory because an engine sends bytes that are no
// event until its connections are closed.
func TestCopyEvents_EndsEndlessEvent(t *testing.T) {
	g := &Gateway{prompts: newPromptEvidence()}
	g.load.init()
	body := &endlessReader{text: "garbage "}
	reply := &instances.Reply{Status: http.StatusOK, Header: http.Header{}, Body: body}
	err := g.copyEvents(context.Background(), httptest.NewRecorder(), &stream{q: &request{}}, reply, "e")
	assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
	assert.Assert(t, body.read < 128<<10, "%d bytes were read", body.read)
	assert.Assert(t, g.load.inBackoff("e"))
}

// plainDialect reads no metadata.
type plainDialect struct{ instances.Dialect }

func (plainDialect) ReadReplyMetadata(int, http.Header) instances.ReplyMetadata {
	return instances.ReplyMetadata{}
}

// Guards against a gateway that runs out of memory because an engine sends error replies
// without end.
func TestHandleErrorReply_EndsEndlessBody(t *testing.T) {
	const most = 16 << 20
	sent := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		n, _ := io.Copy(w, io.LimitReader(&endlessReader{text: "garbage "}, most))
		sent <- n
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	pool := instances.NewPool(plainDialect{}, func() {})
	reply, err := pool.Do(ctx, server.Listener.Addr().String(), instances.Call{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	g := &Gateway{}
	g.load.init()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = g.handleErrorReply(httptest.NewRecorder(), &stream{q: &request{}}, reply, path.PipelineStage{}, avoidUntil{})
	runtime.ReadMemStats(&after)
	reply.Close()
	assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
	assert.Assert(t, <-sent < most)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20)
}
