package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

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
