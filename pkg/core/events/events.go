// Package events splits a stream of server-sent events, so that only whole
// events are passed on and a broken stream can be resumed after the last one.
package events

import (
	"bytes"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Splitter collects bytes into whole events. The zero value is ready.
type Splitter struct {
	buffer []byte
	lastID string
}

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// Feed takes bytes of the stream and returns the whole events among them. The
// result is valid until the next call.
func (s *Splitter) Feed(data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	end := endOfEvents(s.buffer)
	if end == 0 {
		if len(s.buffer) > maxEvent {
			return nil, fault.New(fault.Upstream, "event is over %d bytes", maxEvent)
		}
		return nil, nil
	}
	whole := bytes.Clone(s.buffer[:end])
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	s.note(whole)
	return whole, nil
}

// endOfEvents returns the offset behind the last blank line.
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

func (s *Splitter) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastEventID returns the id of the last whole event, empty before the first.
func (s *Splitter) LastEventID() string { return s.lastID }

// Pending returns the bytes of an event that is not whole yet.
func (s *Splitter) Pending() []byte { return s.buffer }

// DiscardPending drops an event that is not whole, for a stream that is resumed.
func (s *Splitter) DiscardPending() { s.buffer = s.buffer[:0] }
