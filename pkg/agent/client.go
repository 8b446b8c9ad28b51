// Package agent is the client towards agents: generation, service calls, load
// reports and pipeline stages over the sessions of a link.Pool.
package agent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// headStage is the index of the receiver of a request in its chain.
const headStage = 0

// Client sends requests to agents. Its methods may be used by many goroutines.
type Client struct {
	pool *link.Pool
}

// NewClient returns a client on the sessions of pool.
func NewClient(pool *link.Pool) *Client { return &Client{pool: pool} }

// Drop ends the session to addr, and with it every stream to that agent.
func (c *Client) Drop(addr string) { c.pool.CloseSession(addr) }

// call is one open stream that ends when its context ends.
type call struct {
	ctx    context.Context
	addr   string
	stream *wire.Stream
	stop   func() bool
}

// open starts a stream. Its errors carry the outcome NotRun, because nothing
// was sent.
func (c *Client) open(ctx context.Context, addr string) (*call, error) {
	type opened struct {
		stream *wire.Stream
		err    error
	}
	result := make(chan opened, 1)
	// A dial to a silent host blocks longer than a caller may wait.
	go func() {
		s, err := c.pool.Open(ctx, addr)
		result <- opened{s, err}
	}()
	select {
	case r := <-result:
		if r.err != nil {
			return nil, notSent(ctx, r.err, addr)
		}
		return newCall(ctx, addr, r.stream), nil
	case <-ctx.Done():
		go func() {
			if r := <-result; r.stream != nil {
				_ = r.stream.Close()
			}
		}()
		return nil, notSent(ctx, ctx.Err(), addr)
	}
}

func newCall(ctx context.Context, addr string, s *wire.Stream) *call {
	k := &call{ctx: ctx, addr: addr, stream: s}
	// Closing a yamux stream ends local writes and tells the peer, but a
	// blocked local read returns only at a deadline.
	k.stop = context.AfterFunc(ctx, func() {
		_ = s.SetDeadline(time.Unix(1, 0))
		_ = s.Close()
	})
	return k
}

// start opens a stream and sends the first frame.
func (c *Client) start(ctx context.Context, addr string, first *wirepb.Frame) (*call, error) {
	k, err := c.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := k.stream.Write(first); err != nil {
		k.close()
		if fault.Is(err, fault.Protocol) {
			return nil, tooLarge(err)
		}
		return nil, k.lost(err)
	}
	return k, nil
}

// tooLarge reports a request that does not fit in a frame. The frame is checked
// before its first byte is written.
func tooLarge(err error) *fault.Error {
	return fault.Wrap(err, fault.Invalid, "request is too large for one frame").
		WithField("body").WithOutcome(fault.NotRun)
}

// close ends the stream. An agent that still works on the call cancels it.
func (k *call) close() {
	k.stop()
	_ = k.stream.Close()
}

// extend moves the read deadline unless the call was cancelled.
func (k *call) extend(d time.Duration) { k.setReadDeadline(time.Now().Add(d)) }

// unbound removes the read deadline unless the call was cancelled.
func (k *call) unbound() { k.setReadDeadline(time.Time{}) }

func (k *call) setReadDeadline(at time.Time) {
	_ = k.stream.SetReadDeadline(at)
	if k.ctx.Err() != nil {
		_ = k.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// read returns the next frame. An Error frame becomes an error.
func (k *call) read() (*wirepb.Frame, error) {
	f, err := k.stream.Read()
	if err != nil {
		return nil, k.lost(err)
	}
	if w := f.GetError(); w != nil {
		return nil, k.reported(w)
	}
	return f, nil
}

// reported converts the error of an agent. An agent that does not state an
// outcome has proved nothing. A cancellation that this side did not ask for is
// a failure of the agent.
func (k *call) reported(w *wirepb.Error) *fault.Error {
	e := fault.FromWire(w)
	if e.Kind == fault.Cancelled && k.ctx.Err() == nil {
		e.Kind = fault.Upstream
	}
	if e.Outcome == fault.Unspecified {
		e.Outcome = fault.MayHaveRun
	}
	return e
}

// lost classifies a failure after the stream was opened: the request may have
// reached the agent.
func (k *call) lost(err error) *fault.Error {
	if k.ctx.Err() != nil {
		return ended(k.ctx).WithOutcome(fault.MayHaveRun)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	kind := fault.Unavailable
	if fault.Is(err, fault.Protocol) {
		kind = fault.Protocol
	}
	return fault.Wrap(err, kind, "connection to agent %s", k.addr).WithStage(headStage).WithOutcome(fault.MayHaveRun)
}

// unexpected reports a frame that has no place in the exchange.
func (k *call) unexpected(f *wirepb.Frame) *fault.Error {
	return fault.New(fault.Protocol, "agent %s sent unexpected %T", k.addr, f.Body).
		WithStage(headStage).WithOutcome(fault.MayHaveRun)
}

func notSent(ctx context.Context, err error, addr string) *fault.Error {
	if over(ctx) {
		return ended(ctx).WithOutcome(fault.NotRun)
	}
	return fault.Wrap(err, fault.Unavailable, "open stream to agent %s", addr).
		WithStage(headStage).WithOutcome(fault.NotRun)
}

// over reports whether ctx has ended. A connection that uses the deadline of
// ctx may fail just before ctx itself ends.
func over(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// ended tells a deadline from a cancellation.
func ended(ctx context.Context) *fault.Error {
	cause := context.Cause(ctx)
	var e *fault.Error
	if errors.As(cause, &e) {
		c := *e
		return &c
	}
	if cause == nil || errors.Is(cause, context.DeadlineExceeded) {
		return fault.New(fault.Deadline, "deadline passed")
	}
	return fault.New(fault.Cancelled, "request was cancelled")
}
