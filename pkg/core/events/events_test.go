package events

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against forwarding part of an event before the stream breaks, and against
// losing or repeating an event when the stream is split.
func TestSplitter_ReturnsOnlyCompleteEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		got := ""
		rest := stream + "id: 4\nda"
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			complete, err := s.Feed([]byte(rest[:n]))
			assert.NilError(t, err)
			got += string(complete)
			rest = rest[n:]
		}
		assert.Equal(t, got, stream)
		assert.Equal(t, s.LastEventID(), "3")
		assert.Equal(t, string(s.Pending()), "id: 4\nda")
	})
}

// Guards against bytes that are no event, or events that do not continue the stream, which are
// forwarded, and against sound events that are taken for such.
func TestSplitter_AcceptsOnlyWhatContinuesTheStream(t *testing.T) {
	const sound = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		resumed  bool
		next     string
		rejected bool
	}{
		"next event":                  {next: "id: 2\ndata: b\n\n"},
		"gap":                         {next: "id: 7\ndata: b\n\n"},
		"comment":                     {next: ": still here\n\nid: 2\n\n"},
		"blank lines":                 {next: "\n\r\n\nid: 2\n\n"},
		"other fields":                {next: "weight-versions: 3\nid: 2\ndata\n\n"},
		"event without id":            {next: "data: done\n\n"},
		"comment, resumed":            {resumed: true, next: ": still here\n\nid: 2\n\n"},
		"next event, resumed":         {resumed: true, next: "id: 2\ndata: b\n\n"},
		"event without id, resumed":   {resumed: true, next: "data: done\n\n", rejected: true},
		"same event":                  {next: sound, rejected: true},
		"same event, resumed":         {resumed: true, next: sound, rejected: true},
		"earlier event":               {next: "id: 0\n\n", rejected: true},
		"text":                        {next: "too many requests\n\n", rejected: true},
		"JSON":                        {next: "{\"error\": \"full\"}\n\n", rejected: true},
		"header":                      {next: "HTTP/1.1 503 Service Unavailable\r\n\r\n", rejected: true},
		"header field":                {next: "Content-Type: text/plain\r\n\r\n", rejected: true},
		"header after data":           {next: "id: 2\ndata: b\nHTTP/1.1 200 OK\r\n\r\n", rejected: true},
		"HTML":                        {next: "<html>\n\n", rejected: true},
		"empty field name in a block": {next: "id: 2\n:comment\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, together := range []bool{true, false} {
				var s Splitter
				got, err := s.Feed([]byte(sound))
				assert.NilError(t, err)
				assert.Equal(t, string(got), sound)
				if c.resumed {
					_, err = s.Feed([]byte("id: 9\nhalf"))
					assert.NilError(t, err)
					s.Resume()
				}
				var all []byte
				for i := 0; i < len(c.next) && err == nil; i++ {
					n := 1
					if together {
						n = len(c.next)
					}
					got, err = s.Feed([]byte(c.next[i : i+n]))
					all = append(all, got...)
					i += n - 1
				}
				if c.rejected {
					assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
					assert.Equal(t, string(all), "")
					assert.Equal(t, s.LastEventID(), "1")
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, string(all), c.next)
				assert.Equal(t, len(s.Pending()), 0)
			}
		})
	}
}

// Guards against events that are lost because what follows them is none.
func TestSplitter_ReturnsEventsBeforeInvalidBytes(t *testing.T) {
	var s Splitter
	got, err := s.Feed([]byte("id: 1\n\nid: 2\n\ngarbage and more\n\nid: 3\n\n"))
	assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
	assert.Equal(t, string(got), "id: 1\n\nid: 2\n\n")
	s.Resume()
	got, err = s.Feed([]byte("id: 3\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "id: 3\n\n")
}
