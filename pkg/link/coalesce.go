package link

import (
	"encoding/binary"
	"net"
)

// Layout of the yamux header: version, type, flags (2), stream id (4), length (4).
const (
	muxHeaderSize = 12
	muxTypeOffset = 1
	muxLenOffset  = 8
	muxTypeData   = 0
)

// joinedWrites is a connection that sends the header and the body of a yamux
// data frame in one write. yamux writes them one after the other from a single
// goroutine, which costs two system calls and two packets for each token.
type joinedWrites struct {
	net.Conn
	buf []byte // a header that waits for its body
}

// Write implements net.Conn.
func (c *joinedWrites) Write(p []byte) (int, error) {
	if len(c.buf) == 0 {
		if !announcesBody(p) {
			return c.Conn.Write(p)
		}
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	c.buf = append(c.buf, p...)
	_, err := c.Conn.Write(c.buf)
	if cap(c.buf) > maxJoinBuffer {
		c.buf = nil
	}
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// maxJoinBuffer keeps one large frame from pinning memory.
const maxJoinBuffer = 64 << 10

func announcesBody(p []byte) bool {
	return len(p) == muxHeaderSize &&
		p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLenOffset:]) > 0
}
