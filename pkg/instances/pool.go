package instances

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/replybody"
	"github.com/plantainstair/plantainstair/pkg/responsehead"
)

const (
	// dialTimeout is several times the longest round trip between data centres and
	// short compared with the targets of urgent requests.
	dialTimeout = 400 * time.Millisecond
	// unackedDataTimeout closes a connection whose peer acknowledges no data.
	unackedDataTimeout = 1500 * time.Millisecond
	// defaultMaxIdle is the time for which an idle connection is kept if the upstream
	// does not state its own idle timeout.
	defaultMaxIdle = 3 * time.Second
	// idleTimeoutShare is the share of the stated idle timeout that is used, so that
	// the upstream does not close a connection just as a request is sent.
	idleTimeoutShare = 0.7
	// maxNonRepeatableIdle bounds the idle time of a connection that is reused for a call
	// which may not be repeated: the call would be lost if the upstream had closed the
	// connection.
	maxNonRepeatableIdle = 300 * time.Millisecond
	// maxResponsesRead bounds the responses that are read in search of the reply to a
	// call, including informational ones and replies to earlier requests.
	maxResponsesRead   = 4
	maxStaleReplyBytes = 1 << 20
	// maxRefusals bounds the refusals on a connection, after which it is closed.
	maxRefusals    = 32
	readBufferSize = 4 << 10
)

// Call is an HTTP request to an upstream.
type Call struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   [][]byte // in pieces, which are not kept
	// RequestID is echoed in the reply.
	RequestID string
	// NonRepeatable is set if the call may not be repeated.
	NonRepeatable bool
}

// Reply is the HTTP response of an upstream. Its receiver must close it.
type Reply struct {
	Status   int
	Header   http.Header
	Metadata ReplyMetadata
	Body     io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Framed is set if the reply states where its body ends. Otherwise the body ends with
	// the connection.
	Framed bool

	conn     *conn
	resp     *http.Response
	bodyRead bool
}

// Pool keeps idle connections to upstreams for further calls.
type Pool struct {
	dialect Dialect
	dialer  net.Dialer
	onDial  func()

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	pool      *Pool
	address   string
	input     *replayReader
	reader    *bufio.Reader // of input
	maxIdle   time.Duration // longest idle time, 0 if the connection must not be reused
	idleSince time.Time
	sends     int // calls written to it
	// refused holds the IDs of the requests that were refused on it. A faulty upstream may
	// write a refusal once more, which would be taken for the reply to a repeat of the
	// same request.
	refused    []string
	stopCancel func() bool // stops the AfterFunc that closes the connection with the context
}

// NewPool returns an empty pool that calls onDial for each new connection.
func NewPool(d Dialect, onDial func()) *Pool {
	p := &Pool{dialect: d, onDial: onDial, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedDataTimeout/time.Millisecond))
		})
	}}
	return p
}

// Do sends a call and returns the reply once its header has arrived. An error has the
// outcome NotRun only if no connection could be established for the last send; a call
// that may be repeated may have been sent before on a reused connection.
func (p *Pool) Do(ctx context.Context, address string, call Call) (*Reply, error) {
	c, reused, err := p.get(ctx, address, call)
	if err != nil {
		return nil, err
	}
	reply, err := c.sendAndReceive(ctx, call)
	if err != nil && reused && !call.NonRepeatable && ctx.Err() == nil && fault.Is(err, fault.Unavailable) {
		// The upstream had closed the idle connection.
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
		return c.sendAndReceive(ctx, call)
	}
	return reply, err
}

// get returns an idle connection or a new one. A HEAD call gets a connection of its own: where the
// reply to an earlier call that is repeated on the connection would end depends on the method of
// that call, which the reply does not state.
func (p *Pool) get(ctx context.Context, address string, call Call) (*conn, bool, error) {
	for call.Method != http.MethodHead {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		idle := time.Since(c.idleSince)
		fresh := idle < c.maxIdle && (!call.NonRepeatable || idle < maxNonRepeatableIdle)
		if fresh && !slices.Contains(c.refused, call.RequestID) && c.inputEmpty() {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, address)
	return c, false, err
}

// popIdle removes and returns the connection that became idle last, nil if there is
// none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to %s", address).WithOutcome(fault.NotRun)
	}
	p.onDial()
	input := &replayReader{source: nc}
	return &conn{Conn: nc, pool: p, address: address, input: input, reader: bufio.NewReaderSize(input, readBufferSize), maxIdle: defaultMaxIdle}, nil
}

// CloseExpired closes connections that were idle for too long, and all idle connections
// to addresses for which isKnown returns false.
func (p *Pool) CloseExpired(isKnown func(address string) bool) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if isKnown(address) && time.Since(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// inputEmpty reports whether nothing has arrived on an idle connection: neither a reply
// to another request nor the end of the connection.
func (c *conn) inputEmpty() bool {
	if c.hasUnreadInput() {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	inputEmpty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		inputEmpty = e == unix.EAGAIN
		return true
	})
	return err == nil && inputEmpty
}

// hasUnreadInput reports whether bytes are left of those that were received from the connection.
func (c *conn) hasUnreadInput() bool { return c.reader.Buffered() > 0 || len(c.input.pending) > 0 }

// sendAndReceive writes the call and reads the header of its reply.
func (c *conn) sendAndReceive(ctx context.Context, call Call) (*Reply, error) {
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := c.writeCall(call); err != nil {
		c.discardConn()
		return nil, fault.Wrap(err, fault.Unavailable, "send to %s", c.address).WithOutcome(fault.MayHaveRun)
	}
	resp, metadata, err := c.awaitReply(call)
	if err != nil {
		c.discardConn()
		kind := fault.Upstream
		if ctx.Err() != nil {
			kind = fault.Deadline
		} else if resp == nil && !fault.Is(err, fault.Protocol) {
			kind = fault.Unavailable
		}
		return nil, fault.Wrap(err, kind, "no valid reply from %s", c.address).WithOutcome(fault.MayHaveRun)
	}
	return &Reply{
		Status: resp.StatusCode, Header: resp.Header, Metadata: metadata,
		Body: resp.Body, Length: resp.ContentLength, Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, conn: c, resp: resp,
	}, nil
}

func (c *conn) writeCall(call Call) error {
	c.sends++
	var b strings.Builder
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(&b); err != nil {
		return err
	}
	size := 0
	for _, piece := range call.Body {
		size += len(piece)
	}
	if size > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := append(net.Buffers{[]byte(b.String())}, call.Body...) // a copy: WriteTo changes it
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// awaitReply returns the reply to the call. It skips informational responses, and
// replies to earlier requests, which it recognises by their request ID. A reply without
// one is that to the call only if nothing else was sent on the connection, and even then
// it proves nothing about what ran.
func (c *conn) awaitReply(call Call) (*http.Response, ReplyMetadata, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, ReplyMetadata{}, err // the upstream may have closed an idle connection
	}
	for range maxResponsesRead {
		resp, err := c.readHead(call.Method)
		if err != nil {
			return nil, ReplyMetadata{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		metadata := c.pool.dialect.ReadReplyMetadata(resp.StatusCode, resp.Header)
		if metadata.Defect != "" {
			return resp, metadata, fault.New(fault.Protocol, "reply of %s with status %d %s", c.address, resp.StatusCode, metadata.Defect)
		}
		unidentified := metadata.RequestID == "" && call.RequestID != "" && resp.StatusCode >= http.StatusMultipleChoices
		if unidentified && (c.sends > 1 || metadata.NotRun) {
			return resp, metadata, fault.New(fault.Protocol, "reply of %s with status %d names no request", c.address, resp.StatusCode)
		}
		if metadata.RequestID == call.RequestID || unidentified {
			if metadata.Encoded {
				return resp, metadata, fault.New(fault.Protocol, "reply of %s has a content encoding", c.address)
			}
			return resp, metadata, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleReplyBytes)); err != nil || n == maxStaleReplyBytes {
			return resp, metadata, fault.New(fault.Protocol, "reply of %s to another request is too long or truncated", c.address)
		}
		c.maxIdle = 0 // further replies to other requests may follow
	}
	return nil, ReplyMetadata{}, fault.New(fault.Protocol, "%s sent %d responses, none of them to this call", c.address, maxResponsesRead)
}

// readHead reads the head of the next response. It fails with a Protocol error if the head is
// not valid, incomplete or too long.
func (c *conn) readHead(method string) (*http.Response, error) {
	head, err := responsehead.Read(c.reader)
	if err != nil {
		return nil, err
	}
	following, _ := c.reader.Peek(c.reader.Buffered()) // never fails: these bytes are there
	c.input.pending = slices.Concat(head.Bytes, following, c.input.pending)
	c.reader.Reset(c.input)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "read the head of a response")
	}
	if len(head.Connection) > 0 {
		resp.Header["Connection"] = head.Connection
	}
	return resp, nil
}

func (c *conn) discardConn() {
	c.stopCancel()
	_ = c.Close()
}

// ReadAll reads the rest of the body. It returns an error if the body is truncated or
// longer than limit bytes.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.Upstream, "reply of %s is truncated", r.conn.address).WithOutcome(fault.MayHaveRun)
	case int64(len(data)) > limit:
		return nil, fault.New(fault.Upstream, "reply of %s exceeds the limit of %d bytes", r.conn.address, limit).WithOutcome(fault.MayHaveRun)
	}
	r.bodyRead = true
	return data, nil
}

// ReadBody reads the rest of the body into memory of the budget. It returns an error if the body
// is truncated, longer than limit bytes, or too long for what is left of the budget.
func (r *Reply) ReadBody(limit int64, memory *replybody.Memory) (*replybody.Body, error) {
	body, err := memory.Read(r.Body, r.Length, limit)
	if err != nil {
		return nil, fault.Wrap(err, fault.Upstream, "reply of %s", r.conn.address).WithOutcome(fault.MayHaveRun)
	}
	r.bodyRead = true
	return body, nil
}

// MarkComplete records that the body was read to its end.
func (r *Reply) MarkComplete() { r.bodyRead = true }

// Close keeps the connection for further calls if the reply was read completely and the
// upstream does not close the connection. Otherwise it closes the connection.
func (r *Reply) Close() {
	c := r.conn
	if r.Metadata.NotRun && r.Metadata.RequestID != "" {
		c.refused = append(c.refused, r.Metadata.RequestID)
	}
	if !c.stopCancel() || r.resp.Request.Method == http.MethodHead || len(c.refused) > maxRefusals || !r.bodyRead || r.resp.Close || c.hasUnreadInput() || c.maxIdle == 0 {
		_ = c.Close()
		return
	}
	c.maxIdle = maxIdleAfter(r.Header)
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
	c.pool.mu.Unlock()
}

// maxIdleAfter returns how long the connection may stay idle after a reply with this
// header.
func maxIdleAfter(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(n) * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultMaxIdle
}
