// Package agent implements the client of agents: generations, service calls,
// load reports and pipeline stages over the sessions of a link.Pool.
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

// headStageIndex is the index in a chain of the stage that receives the request.
const headStageIndex = 0

// Client sends requests to agents. It is safe for concurrent use.
type Client struct {
	pool *link.Pool
}

// NewClient returns a client that uses the sessions of pool.
func NewClient(pool *link.Pool) *Client { return &Client{pool: pool} }

// CloseSession closes the session to addr and all its streams.
func (c *Client) CloseSession(addr string) { c.pool.CloseSession(addr) }

// requestStream is the stream of one request. It closes when its context ends.
type requestStream struct {
	ctx             context.Context
	addr            string
	stream          *wire.Stream
	stopCancelWatch func() bool
}

// openStream opens a stream to addr. Its errors have the outcome fault.NotRun,
// because nothing was sent.
func (c *Client) openStream(ctx context.Context, addr string) (*requestStream, error) {
	type opened struct {
		stream *wire.Stream
		err    error
	}
	result := make(chan opened, 1)
	// A dial to a host that does not respond can block after ctx has ended.
	go func() {
		s, err := c.pool.Open(ctx, addr)
		result <- opened{s, err}
	}()
	select {
	case r := <-result:
		if r.err != nil {
			return nil, notSentError(ctx, r.err, addr)
		}
		return newRequestStream(ctx, addr, r.stream), nil
	case <-ctx.Done():
		go func() {
			if r := <-result; r.stream != nil {
				_ = r.stream.Close()
			}
		}()
		return nil, notSentError(ctx, ctx.Err(), addr)
	}
}

func newRequestStream(ctx context.Context, addr string, s *wire.Stream) *requestStream {
	rs := &requestStream{ctx: ctx, addr: addr, stream: s}
	// Closing a yamux stream ends local writes and notifies the peer, but a
	// blocked local read returns only when its deadline passes.
	rs.stopCancelWatch = context.AfterFunc(ctx, func() {
		_ = s.SetDeadline(time.Unix(1, 0))
		_ = s.Close()
	})
	return rs
}

// sendRequest opens a stream and sends the first frame of the request.
func (c *Client) sendRequest(ctx context.Context, addr string, first *wirepb.Frame) (*requestStream, error) {
	rs, err := c.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := rs.stream.Write(first); err != nil {
		rs.close()
		if fault.Is(err, fault.Protocol) {
			return nil, tooLargeError(err)
		}
		return nil, rs.connectionError(err)
	}
	return rs, nil
}

// tooLargeError reports a request that does not fit in one frame. The outcome is
// fault.NotRun because the size is checked before the first byte is written.
func tooLargeError(err error) *fault.Error {
	return fault.Wrap(err, fault.Invalid, "request is too large for one frame").
		WithField("body").WithOutcome(fault.NotRun)
}

// close closes the stream. An agent that is still processing the request cancels
// it.
func (rs *requestStream) close() {
	rs.stopCancelWatch()
	_ = rs.stream.Close()
}

// extendReadDeadline sets the read deadline to d from now. After a
// cancellation, reads keep failing at once.
func (rs *requestStream) extendReadDeadline(d time.Duration) { rs.setReadDeadline(time.Now().Add(d)) }

// clearReadDeadline removes the read deadline. After a cancellation, reads keep
// failing at once.
func (rs *requestStream) clearReadDeadline() { rs.setReadDeadline(time.Time{}) }

func (rs *requestStream) setReadDeadline(at time.Time) {
	_ = rs.stream.SetReadDeadline(at)
	if rs.ctx.Err() != nil {
		_ = rs.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// read returns the next frame. It converts an Error frame to an error.
func (rs *requestStream) read() (*wirepb.Frame, error) {
	f, err := rs.stream.Read()
	if err != nil {
		return nil, rs.connectionError(err)
	}
	if w := f.GetError(); w != nil {
		return nil, rs.remoteError(w)
	}
	return f, nil
}

// remoteError converts an Error frame from an agent. Without an outcome, the request
// may have run. A cancellation that this side did not request is a failure of the
// agent.
func (rs *requestStream) remoteError(w *wirepb.Error) *fault.Error {
	e := fault.FromWire(w)
	if e.Kind == fault.Cancelled && rs.ctx.Err() == nil {
		e.Kind = fault.Upstream
	}
	if e.Outcome == fault.Unspecified {
		e.Outcome = fault.MayHaveRun
	}
	return e
}

// connectionError classifies a failure of an open stream. The outcome is
// fault.MayHaveRun because the request may have reached the agent.
func (rs *requestStream) connectionError(err error) *fault.Error {
	if rs.ctx.Err() != nil {
		return contextError(rs.ctx).WithOutcome(fault.MayHaveRun)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	kind := fault.Unavailable
	if fault.Is(err, fault.Protocol) {
		kind = fault.Protocol
	}
	return fault.Wrap(err, kind, "connection to agent %s", rs.addr).WithStage(headStageIndex).WithOutcome(fault.MayHaveRun)
}

// unexpectedFrame reports a frame of a type that the protocol does not allow here.
func (rs *requestStream) unexpectedFrame(f *wirepb.Frame) *fault.Error {
	return fault.New(fault.Protocol, "agent %s sent unexpected %T", rs.addr, f.Body).
		WithStage(headStageIndex).WithOutcome(fault.MayHaveRun)
}

func notSentError(ctx context.Context, err error, addr string) *fault.Error {
	if contextExpired(ctx) {
		return contextError(ctx).WithOutcome(fault.NotRun)
	}
	return fault.Wrap(err, fault.Unavailable, "open stream to agent %s", addr).
		WithStage(headStageIndex).WithOutcome(fault.NotRun)
}

// contextExpired reports whether ctx has ended or its deadline has passed. A
// connection that uses the deadline of ctx can fail just before ctx itself ends.
func contextExpired(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// contextError converts the cause for which ctx ended to an error. It distinguishes a
// deadline from a cancellation.
func contextError(ctx context.Context) *fault.Error {
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
