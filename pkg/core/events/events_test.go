package events

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a part of an event that reaches the caller before the stream
// breaks, and against an event that is lost or repeated by the split.
func TestSplitter_PassesWholeEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		got := ""
		rest := stream + "id: 4\nda"
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			whole, err := s.Feed([]byte(rest[:n]))
			assert.NilError(t, err)
			got += string(whole)
			rest = rest[n:]
		}
		assert.Equal(t, got, stream)
		assert.Equal(t, s.LastEventID(), "3")
		assert.Equal(t, string(s.Pending()), "id: 4\nda")
	})
}
