package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// client is a stand-in for a client with one kept connection to a gateway.
type client struct {
	play    *play
	address string
	conn    net.Conn
	reader  *bufio.Reader
	counted *countingReader
	// gap is the time without a byte after which the client leaves, 0 for its deadline.
	gap time.Duration
}

// countingReader counts the bytes that are read.
type countingReader struct {
	source net.Conn
	gap    time.Duration
	end    time.Time // deadline of the request
	n      int64
}

func (c *countingReader) Read(b []byte) (int, error) {
	if left := time.Now().Add(c.gap); c.gap > 0 && left.Before(c.end) {
		_ = c.source.SetReadDeadline(left)
	}
	n, err := c.source.Read(b)
	c.n += int64(n)
	return n, err
}

// outcome is what a client saw of one request.
type outcome struct {
	id     string
	kept   bool // the connection had served a request before
	status int  // 0 without a whole head
	header http.Header
	bytes  int64 // of the answer, head and body
	whole  bool  // the answer was complete
	body   []byte
	err    error
}

var lastRequest atomic.Int64

// newRequestID returns an id that no other request of this run has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

const (
	connectTimeout = time.Second
	readLimit      = 1 << 20
)

// do sends a request and reads its answer. The connection is kept where the answer allows it.
func (c *client) do(method, path, host, id string, header map[string]string, body string, deadline time.Duration) outcome {
	out := outcome{id: id, kept: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.counted = conn, &countingReader{source: conn, gap: c.gap}
		c.reader = bufio.NewReader(c.counted)
	}
	before := c.counted.n
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for name, value := range header {
		head += name + ": " + value + "\r\n"
	}
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.counted.end = time.Now().Add(deadline)
	_ = c.conn.SetDeadline(c.counted.end)
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		out.err = err
		c.close()
		return out
	}
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	if err == nil {
		out.status, out.header = response.StatusCode, response.Header
		out.body, err = io.ReadAll(io.LimitReader(response.Body, readLimit))
	}
	out.bytes, out.err = c.counted.n-before, err
	out.whole = err == nil
	if err != nil || response.Close {
		c.close()
	}
	return out
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// awaitStream waits until a stream is answered.
func (p *play) awaitStream(front machine) {
	c := &client{play: p, address: p.address(front, portFront)}
	defer c.close()
	for range 40 {
		header := map[string]string{"Model": "m", "Token-Usage": "760,84", "Prefix-Hash": "5c1e07a2:40,91bd3f06:720", "Content-Type": "text/plain"}
		o := c.do("POST", "/chat/1", "a.example", newRequestID(), header, "prompt", 20*time.Second)
		if o.whole && o.status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	cannotRun("no stream is served")
}
