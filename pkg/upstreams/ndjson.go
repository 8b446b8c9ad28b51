package upstreams

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// DefaultMaxLineBytes bounds one NDJSON line in bytes.
const DefaultMaxLineBytes = 1 << 20

const lineBufferSize = 4 << 10

// LineReader reads NDJSON lines of bounded size.
type LineReader struct {
	r    *bufio.Reader
	max  int
	long []byte // holds a line longer than the read buffer
}

// NewLineReader reads lines of at most max bytes from r. A max of zero means
// DefaultMaxLine.
func NewLineReader(r io.Reader, max int) *LineReader {
	if max <= 0 {
		max = DefaultMaxLineBytes
	}
	return &LineReader{r: bufio.NewReaderSize(r, lineBufferSize), max: max}
}

// Next returns the next line without its line feed. The line is valid until
// the next call. It returns io.EOF at the end; an unterminated last line is a
// protocol error, because it may be truncated.
func (l *LineReader) Next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == nil {
		return l.bounded(line[:len(line)-1])
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, lineError(err, len(line))
	}
	return l.nextLong(line)
}

func (l *LineReader) nextLong(start []byte) ([]byte, error) {
	l.long = append(l.long[:0], start...)
	for {
		part, err := l.r.ReadSlice('\n')
		l.long = append(l.long, part...)
		if len(l.long) > l.max+1 {
			return nil, fault.New(fault.Protocol, "line is over the limit of %d bytes", l.max)
		}
		if err == nil {
			return l.bounded(l.long[:len(l.long)-1])
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, lineError(err, len(l.long))
		}
	}
}

func (l *LineReader) bounded(line []byte) ([]byte, error) {
	if len(line) > l.max {
		return nil, fault.New(fault.Protocol, "line is over the limit of %d bytes", l.max)
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
		return describeJSON(err, 0)
	}
	return nil
}

// AppendLine appends the NDJSON line of v to buf.
func AppendLine(buf []byte, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "encode line")
	}
	return append(append(buf, data...), '\n'), nil
}
