package link

import (
	"encoding/binary"
	"net"
)

// Layout of the yamux header: version, type, flags (2), stream id (4), length (4).
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// coalescingConn sends the header and the body of a yamux data frame in one
// write. yamux writes them separately, from a single goroutine, which would cost
// two system calls and two packets for each token.
type coalescingConn struct {
	net.Conn
	buf []byte // a header whose body has not been written yet
}

// Write implements net.Conn. It buffers the header of a data frame until the
// body is written.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 {
		if !isHeaderWithBody(p) {
			return c.Conn.Write(p)
		}
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	c.buf = append(c.buf, p...)
	_, err := c.Conn.Write(c.buf)
	if cap(c.buf) > maxRetainedBufferBytes {
		c.buf = nil
	}
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// maxRetainedBufferBytes is the largest buffer kept for the next frame, so that
// one large frame does not pin memory.
const maxRetainedBufferBytes = 64 << 10

// isHeaderWithBody reports whether p is the header of a data frame with a body.
func isHeaderWithBody(p []byte) bool {
	return len(p) == muxHeaderSize &&
		p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
