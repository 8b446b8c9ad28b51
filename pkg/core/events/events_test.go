package events

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
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
