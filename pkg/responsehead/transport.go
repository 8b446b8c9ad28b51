package responsehead

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport for HTTP/1.1 that refuses responses whose heads Read refuses.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that dials and keeps connections as t does. It changes t.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn] // the transport may send a request once more
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used.Store(c)
			c.headExpected.Store(true)
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	c := used.Load()
	if c == nil {
		return resp, err
	}
	if refused := c.refused.Load(); err != nil && refused != nil {
		return nil, *refused
	}
	if err == nil && len(c.options) > 0 {
		resp.Header["Connection"] = c.options
	}
	return resp, err
}

// conn is a client connection that passes on the head of a response once it is read whole and
// found valid. Its reads do not overlap: the transport reads the heads, then a caller the body.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	headExpected atomic.Bool
	pending      []byte   // part of a head
	options      []string // Connection fields of the last head
	refused      atomic.Pointer[error]
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c, reader: bufio.NewReader(c)}
	out.headExpected.Store(true)
	return out
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if refused := c.refused.Load(); refused != nil {
			return 0, *refused
		}
		// On a kept connection, the transport reads before it sends the next request.
		if _, err := c.reader.Peek(1); err != nil {
			return 0, err
		}
		if !c.headExpected.Load() {
			return c.reader.Read(b)
		}
		c.readHead()
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// readHead reads a head into pending. If it is refused, pending holds its first byte: the
// transport would send the request once more on another connection if the first read of a
// response failed.
func (c *conn) readHead() {
	first, _ := c.reader.Peek(1) // never fails: the byte was there before
	c.pending = []byte{first[0]}
	head, err := Read(c.reader)
	if err != nil {
		c.refused.Store(&err)
		return
	}
	c.pending, c.options = head.Bytes, head.Connection
	c.headExpected.Store(head.IsInterim())
}
