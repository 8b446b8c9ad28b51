// Package events splits a stream of server-sent events, so that only complete events
// are forwarded and a broken stream can be resumed after the last one.
package events

import (
	"bytes"
	"strconv"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Splitter assembles bytes of a stream into complete events. The zero value is ready
// to use.
type Splitter struct {
	buffer  []byte
	lastID  string
	resumed bool // the next event is the first of a resumed stream
}

// maxEventBytes is the maximum size of an event. A process relays hundreds of streams of one
// engine, and an engine in trouble may send bytes without end on all of them.
const maxEventBytes = 64 << 10

// Feed appends bytes of the stream and returns all events that are complete. The caller owns
// the result. It fails if bytes follow that are no event or do not continue the stream; the
// events before them are returned. It also fails if no event is complete and the buffered bytes
// exceed maxEventBytes.
func (s *Splitter) Feed(data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	end := 0
	var err error
	for {
		n := endOfEvent(s.buffer[end:])
		if n == 0 {
			break
		}
		if err = s.accept(s.buffer[end : end+n]); err != nil {
			break
		}
		end += n
	}
	if err == nil && len(s.buffer)-end > maxEventBytes {
		err = fault.New(fault.Upstream, "event is over %d bytes", maxEventBytes)
	}
	if end == 0 {
		return nil, err
	}
	complete := bytes.Clone(s.buffer[:end])
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	return complete, err
}

// endOfEvent returns the offset after the first blank line, or zero.
func endOfEvent(b []byte) int {
	for i := 0; ; {
		line := bytes.IndexByte(b[i:], '\n')
		if line < 0 {
			return 0
		}
		if len(bytes.TrimSuffix(b[i:i+line], []byte("\r"))) == 0 {
			return i + line + 1
		}
		i += line + 1
	}
}

// accept checks the lines of an event, up to and including a blank one, and records its id. A
// faulty upstream may send the text of an error, or a whole response, where events are expected.
func (s *Splitter) accept(event []byte) error {
	id, hasID, hasFields := "", false, false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0, len(name) == 0 && hasColon: // a blank line or a comment
			continue
		case !isFieldName(name):
			return fault.New(fault.Upstream, "%.40q is no line of an event", line)
		case string(name) == "id":
			id, hasID = string(bytes.TrimSpace(value)), true
		}
		hasFields = true
	}
	switch {
	case !hasFields:
		return nil
	case s.resumed && !hasID:
		return fault.New(fault.Upstream, "the first event after event %q has no id", s.lastID)
	case hasID && s.lastID != "" && !follows(id, s.lastID):
		return fault.New(fault.Upstream, "event %q does not follow event %q", id, s.lastID)
	case hasID:
		s.lastID = id
	}
	s.resumed = false
	return nil
}

func isFieldName(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
	})
}

// follows reports whether an event may come after another one. The numbers of events increase;
// other ids only differ.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > m
}

// LastEventID returns the id of the last complete event, or an empty string.
func (s *Splitter) LastEventID() string { return s.lastID }

// Pending returns the bytes of the incomplete event.
func (s *Splitter) Pending() []byte { return s.buffer }

// Resume drops the incomplete event before the stream goes on from another upstream.
func (s *Splitter) Resume() {
	s.buffer = s.buffer[:0]
	s.resumed = s.lastID != ""
}
