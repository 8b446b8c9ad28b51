// Package wire reads and writes the frames exchanged between the processes of
// plantainstair: a 4-byte big-endian length followed by a protobuf Frame.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// DefaultMaxFrameBytes bounds a frame in bytes, without its length prefix.
const DefaultMaxFrameBytes = 1 << 20

const (
	headerSize     = 4
	readBufferSize = 4 << 10
	// pooledBufferMax keeps one large frame from pinning memory in the pool.
	pooledBufferMax = 64 << 10
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferSize); return &b }}

// Stream carries frames over a connection. One goroutine may read while
// others write.
type Stream struct {
	conn     net.Conn
	reader   io.Reader
	maxFrame int
	writeMu  sync.Mutex
}

// NewStream wraps conn with a read buffer. A maxFrame of zero means
// DefaultMaxFrame.
func NewStream(conn net.Conn, maxFrame int) *Stream {
	if maxFrame <= 0 {
		maxFrame = DefaultMaxFrameBytes
	}
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), maxFrame: maxFrame}
}

// NewUnbufferedStream wraps conn without reading past the end of a frame, for
// a connection that is handed to another protocol afterwards.
func NewUnbufferedStream(conn net.Conn, maxFrame int) *Stream {
	return &Stream{conn: conn, reader: conn, maxFrame: maxFrame}
}

// Write sends one frame.
func (s *Stream) Write(f *wirepb.Frame) error {
	buf := bufferPool.Get().(*[]byte)
	defer putBuffer(buf)
	b, err := proto.MarshalOptions{}.MarshalAppend(append((*buf)[:0], 0, 0, 0, 0), f)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "encode frame")
	}
	*buf = b
	size := len(b) - headerSize
	if size > s.maxFrame {
		return fault.New(fault.Protocol, "frame of %d bytes is over the limit of %d", size, s.maxFrame)
	}
	binary.BigEndian.PutUint32(b, uint32(size))
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if _, err := s.conn.Write(b); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write frame")
	}
	return nil
}

// Read returns the next frame. It returns io.EOF when the peer closed the
// stream between two frames.
func (s *Stream) Read() (*wirepb.Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fault.Wrap(err, fault.Unavailable, "read frame length")
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > s.maxFrame {
		return nil, fault.New(fault.Protocol, "frame of %d bytes is over the limit of %d", size, s.maxFrame)
	}
	return s.readBody(size)
}

func (s *Stream) readBody(size int) (*wirepb.Frame, error) {
	buf := bufferPool.Get().(*[]byte)
	defer putBuffer(buf)
	if cap(*buf) < size {
		*buf = make([]byte, 0, size)
	}
	body := (*buf)[:size]
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read frame body of %d bytes", size)
	}
	return Decode(body)
}

// Decode parses the body of one frame.
func Decode(body []byte) (*wirepb.Frame, error) {
	f := &wirepb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "decode frame of %d bytes", len(body))
	}
	if f.Body == nil {
		return nil, fault.New(fault.Protocol, "frame has no known body")
	}
	return f, nil
}

// SetDeadline bounds reads and writes. The zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline bounds reads. The zero time removes the bound.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes the stream.
func (s *Stream) Close() error { return s.conn.Close() }

// WriteError sends err as the last frame of a stream.
func (s *Stream) WriteError(err error) error {
	return s.Write(&wirepb.Frame{Body: &wirepb.Frame_Error{Error: fault.ToWire(err)}})
}

func putBuffer(buf *[]byte) {
	if cap(*buf) > pooledBufferMax {
		return
	}
	bufferPool.Put(buf)
}
