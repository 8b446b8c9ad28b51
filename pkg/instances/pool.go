package instances

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	// dialTimeout is several times the longest round trip between data centres
	// and short beside the targets of urgent work.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 1500 * time.Millisecond
	// idleDefault is the time for which an idle connection is kept to an
	// upstream that does not say how long it keeps its own.
	idleDefault = 3 * time.Second
	// idleShare of the time that the upstream states, so that it does not close
	// a connection just as a request is sent.
	idleShare = 0.7
	// freshFor is the idle time up to which a connection carries a request that
	// must not be lost: it could not be repeated.
	freshFor = 300 * time.Millisecond
	// maxStrays is the number of answers to other requests that are skipped.
	maxStrays     = 4
	maxStrayBytes = 1 << 20
	bufferSize    = 4 << 10
)

// Call is a request to an upstream.
type Call struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is echoed in the answer.
	RequestID string
	// NoRetry marks a call that may not be repeated.
	NoRetry bool
}

// Reply is the answer of an upstream. The caller closes it.
type Reply struct {
	Status   int
	Header   http.Header
	Metadata Metadata
	Body     io.Reader
	// Length of the body, -1 when unknown.
	Length int64

	conn  *conn
	resp  *http.Response
	ended bool
}

// Pool keeps connections to upstreams.
type Pool struct {
	dialect Dialect
	dialer  net.Dialer
	opened  func()

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	keep    time.Duration
	since   time.Time // when it became idle
	stop    func() bool
}

// NewPool returns an empty pool. opened is called for each new connection.
func NewPool(d Dialect, opened func()) *Pool {
	p := &Pool{dialect: d, opened: opened, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
		})
	}}
	return p
}

// Do sends a call and returns the answer once its header has come. An error has
// the outcome NotRun only when nothing was sent.
func (p *Pool) Do(ctx context.Context, address string, call Call) (*Reply, error) {
	c, reused, err := p.get(ctx, address, call.NoRetry)
	if err != nil {
		return nil, err
	}
	reply, err := c.exchange(ctx, call)
	if err != nil && reused && !call.NoRetry && ctx.Err() == nil && fault.Is(err, fault.Unavailable) {
		// The upstream had closed the idle connection.
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
		return c.exchange(ctx, call)
	}
	return reply, err
}

// get returns an idle connection or a new one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, bool, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		idle := time.Since(c.since)
		if idle < c.keep && (!fresh || idle < freshFor) && c.quiet() {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, address)
	return c, false, err
}

// take removes the connection that became idle last.
func (p *Pool) take(address string) *conn {
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
	p.opened()
	return &conn{Conn: nc, pool: p, address: address, reader: bufio.NewReaderSize(nc, bufferSize), keep: idleDefault}, nil
}

// CloseExpired closes connections that were idle for too long, and all connections to
// addresses that keep refuses.
func (p *Pool) CloseExpired(keep func(address string) bool) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && time.Since(c.since) < c.keep {
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

// quiet reports whether nothing has arrived on an idle connection: an answer
// that belongs to no request, or the end of the connection.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange writes the call and reads the header of its answer.
func (c *conn) exchange(ctx context.Context, call Call) (*Reply, error) {
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	c.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := c.send(call); err != nil {
		c.abandon()
		return nil, fault.Wrap(err, fault.Unavailable, "send to %s", c.address).WithOutcome(fault.MayHaveRun)
	}
	resp, answer, err := c.receive(call)
	if err != nil {
		c.abandon()
		kind := fault.Upstream
		if ctx.Err() != nil {
			kind = fault.Deadline
		} else if resp == nil {
			kind = fault.Unavailable
		}
		return nil, fault.Wrap(err, kind, "no answer from %s", c.address).WithOutcome(fault.MayHaveRun)
	}
	return &Reply{
		Status: resp.StatusCode, Header: resp.Header, Metadata: answer,
		Body: resp.Body, Length: resp.ContentLength, conn: c, resp: resp,
	}, nil
}

func (c *conn) send(call Call) error {
	var b strings.Builder
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(&b); err != nil {
		return err
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{[]byte(b.String()), call.Body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// receive returns the answer to the call. It skips informational answers and
// answers to earlier requests, which the echoed request id tells apart.
func (c *conn) receive(call Call) (*http.Response, Metadata, error) {
	for range maxStrays {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, Metadata{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		answer := c.pool.dialect.ReadReplyMetadata(resp.StatusCode, resp.Header)
		missing := answer.RequestID == "" && resp.StatusCode >= http.StatusMultipleChoices
		if answer.RequestID == call.RequestID || missing {
			if answer.Encoded {
				return resp, answer, fault.New(fault.Protocol, "answer of %s is encoded", c.address)
			}
			return resp, answer, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return resp, answer, fault.New(fault.Protocol, "answer of %s to another request", c.address)
		}
		c.keep = 0 // what else is on its way cannot be told
	}
	return nil, Metadata{}, fault.New(fault.Protocol, "%s sent %d answers to other requests", c.address, maxStrays)
}

func (c *conn) abandon() {
	c.stop()
	_ = c.Close()
}

// ReadAll reads the rest of the body, of not more than limit bytes. A body that
// was cut off is an error.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.Upstream, "answer of %s was cut off", r.conn.address).WithOutcome(fault.MayHaveRun)
	case int64(len(data)) > limit:
		return nil, fault.New(fault.Upstream, "answer of %s is over %d bytes", r.conn.address, limit).WithOutcome(fault.MayHaveRun)
	}
	r.ended = true
	return data, nil
}

// MarkComplete tells that the body was read to its end.
func (r *Reply) MarkComplete() { r.ended = true }

// Close keeps the connection for another request if the answer is complete.
func (r *Reply) Close() {
	c := r.conn
	if !c.stop() || !r.ended || r.resp.Close || c.reader.Buffered() > 0 || c.keep == 0 {
		_ = c.Close()
		return
	}
	c.keep = keepAlive(r.Header)
	c.since = time.Now()
	_ = c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
	c.pool.mu.Unlock()
}

// keepAlive returns how long an idle connection is used after an answer.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(n) * idleShare * float64(time.Second))
		}
	}
	return idleDefault
}
