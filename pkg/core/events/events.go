// Package events splits a stream of server-sent events, so that only complete events
// are forwarded and a broken stream can be resumed after the last one.
package events

import (
	"bytes"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Splitter assembles bytes of a stream into complete events. The zero value is ready
// to use.
type Splitter struct {
	buffer []byte
	lastID string
}

// maxEventBytes is the maximum size of an event. A process relays hundreds of streams of one
// engine, and an engine in trouble may send bytes without end on all of them.
const maxEventBytes = 64 << 10

// Feed appends bytes of the stream and returns all events that are complete. The
// caller owns the result. It fails if no event is complete and the buffered bytes
// exceed maxEventBytes.
func (s *Splitter) Feed(data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	end := endOfEvents(s.buffer)
	if end == 0 {
		if len(s.buffer) > maxEventBytes {
			return nil, fault.New(fault.Upstream, "event is over %d bytes", maxEventBytes)
		}
		return nil, nil
	}
	complete := bytes.Clone(s.buffer[:end])
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	s.recordLastID(complete)
	return complete, nil
}

// endOfEvents returns the offset after the last blank line, or zero.
func endOfEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

func (s *Splitter) recordLastID(complete []byte) {
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastEventID returns the id of the last complete event, or an empty string.
func (s *Splitter) LastEventID() string { return s.lastID }

// Pending returns the bytes of the incomplete event.
func (s *Splitter) Pending() []byte { return s.buffer }

// DiscardPending drops the incomplete event before a stream is resumed.
func (s *Splitter) DiscardPending() { s.buffer = s.buffer[:0] }
