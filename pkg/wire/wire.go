// Package wire reads and writes the frames that the processes of plantainstair
// exchange. A frame is a 4-byte big-endian length followed by a protobuf Frame.
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

// DefaultMaxFrameBytes is the default limit on the size of a frame, without its
// length prefix.
const DefaultMaxFrameBytes = 1 << 20

const (
	headerBytes     = 4
	readBufferBytes = 4 << 10
	// maxPooledBufferBytes is the largest buffer returned to the pool, so that one
	// large frame does not pin memory.
	maxPooledBufferBytes = 64 << 10
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}

// Stream carries frames over a connection. One goroutine may read while any
// number of goroutines write.
type Stream struct {
	conn     net.Conn
	reader   io.Reader
	maxFrame int
	writeMu  sync.Mutex
}

// NewStream returns a stream over conn with a read buffer. A maxFrame of zero
// means DefaultMaxFrameBytes.
func NewStream(conn net.Conn, maxFrame int) *Stream {
	if maxFrame <= 0 {
		maxFrame = DefaultMaxFrameBytes
	}
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), maxFrame: maxFrame}
}

// NewUnbufferedStream returns a stream over conn that never reads past the end
// of a frame. It is for connections that switch to another protocol afterwards.
func NewUnbufferedStream(conn net.Conn, maxFrame int) *Stream {
	return &Stream{conn: conn, reader: conn, maxFrame: maxFrame}
}

// Write sends one frame. It returns an error if the frame exceeds the limit.
func (s *Stream) Write(f *wirepb.Frame) error {
	buf := bufferPool.Get().(*[]byte)
	defer releaseBuffer(buf)
	b, err := proto.MarshalOptions{}.MarshalAppend(append((*buf)[:0], 0, 0, 0, 0), f)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "encode frame")
	}
	*buf = b
	size := len(b) - headerBytes
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

// Read returns the next frame. It returns io.EOF if the peer closed the stream
// at a frame boundary.
func (s *Stream) Read() (*wirepb.Frame, error) {
	var header [headerBytes]byte
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
	defer releaseBuffer(buf)
	if cap(*buf) < size {
		*buf = make([]byte, 0, size)
	}
	body := (*buf)[:size]
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read frame body of %d bytes", size)
	}
	return Decode(body)
}

// Decode parses the body of one frame. It returns an error if the body is
// malformed or of an unknown kind.
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

// SetDeadline sets the deadline of reads and writes. The zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads. The zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes the underlying connection.
func (s *Stream) Close() error { return s.conn.Close() }

// WriteError sends err as the last frame of a stream.
func (s *Stream) WriteError(err error) error {
	return s.Write(&wirepb.Frame{Body: &wirepb.Frame_Error{Error: fault.ToWire(err)}})
}

func releaseBuffer(buf *[]byte) {
	if cap(*buf) > maxPooledBufferBytes {
		return
	}
	bufferPool.Put(buf)
}
