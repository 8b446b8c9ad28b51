package upstreams

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// DefaultMaxLineBytes is the default limit on the length of one NDJSON line.
const DefaultMaxLineBytes = 1 << 20

const lineBufferBytes = 4 << 10

// LineReader reads NDJSON lines of limited length.
type LineReader struct {
	r            *bufio.Reader
	maxLineBytes int
	overflow     []byte // holds a line that does not fit in the read buffer
}

// NewLineReader returns a reader of lines of at most maxLineBytes bytes from r. If
// maxLineBytes is zero or negative, the limit is DefaultMaxLineBytes.
func NewLineReader(r io.Reader, maxLineBytes int) *LineReader {
	if maxLineBytes <= 0 {
		maxLineBytes = DefaultMaxLineBytes
	}
	return &LineReader{r: bufio.NewReaderSize(r, lineBufferBytes), maxLineBytes: maxLineBytes}
}

// Next returns the next line without its line feed. The slice is valid until
// the next call. Next returns io.EOF at the end of the input; an unterminated
// last line is a protocol error, because it may be truncated.
func (l *LineReader) Next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == nil {
		return l.checkLength(line[:len(line)-1])
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, lineError(err, len(line))
	}
	return l.readLongLine(line)
}

func (l *LineReader) readLongLine(start []byte) ([]byte, error) {
	l.overflow = append(l.overflow[:0], start...)
	for {
		part, err := l.r.ReadSlice('\n')
		l.overflow = append(l.overflow, part...)
		if len(l.overflow) > l.maxLineBytes+1 {
			return nil, fault.New(fault.Protocol, "line is over the limit of %d bytes", l.maxLineBytes)
		}
		if err == nil {
			return l.checkLength(l.overflow[:len(l.overflow)-1])
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, lineError(err, len(l.overflow))
		}
	}
}

func (l *LineReader) checkLength(line []byte) ([]byte, error) {
	if len(line) > l.maxLineBytes {
		return nil, fault.New(fault.Protocol, "line is over the limit of %d bytes", l.maxLineBytes)
	}
	return line, nil
}

func lineError(err error, partial int) error {
	if err == io.EOF && partial == 0 {
		return io.EOF
	}
	if err == io.EOF {
		return fault.New(fault.Protocol, "last line of %d bytes is not terminated", partial)
	}
	return fault.Wrap(err, fault.Unavailable, "read line")
}

// ReadJSON decodes the next line into v.
func (l *LineReader) ReadJSON(v any) error {
	line, err := l.Next()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, v); err != nil {
		return jsonError(err, 0)
	}
	return nil
}

// AppendLine appends v to buf as one NDJSON line.
func AppendLine(buf []byte, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "encode line")
	}
	return append(append(buf, data...), '\n'), nil
}
