package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// registerWriteTimeout bounds one write to an agent. It ends a
	// registration whose agent does not read.
	registerWriteTimeout = 2 * time.Second
	roleAgent            = "agent"
)

// registerStream is the stream of one registration.
type registerStream struct {
	stream *wire.Stream
	done   chan struct{} // closed when the stream has ended

	// orderState is the order state of the host, read linearizably after the
	// registration; nil until then.
	orderState atomic.Pointer[state.OrderState]

	mu      sync.Mutex
	pending map[uint64]chan *wirepb.OrderResult // by epoch
}

func newRegisterStream(s *wire.Stream) *registerStream {
	return &registerStream{stream: s, done: make(chan struct{}), pending: make(map[uint64]chan *wirepb.OrderResult)}
}

// serveRegister serves a registration stream until the upstream leaves, the
// stream fails or the lease expires.
func (c *Control) serveRegister(stream *wire.Stream, first *wirepb.Register) {
	rs := newRegisterStream(stream)
	defer close(rs.done)
	if role := first.GetRole(); role != roleAgent && role != "" {
		_ = stream.WriteError(fault.New(fault.Invalid, "role %q does not register", role).WithField("role"))
		return
	}
	reg, err := c.registry.Register(c.opts.Now(), first.GetAnnouncement(), rs)
	if err != nil {
		c.log.Debug("registration refused", logs.Err(err))
		_ = stream.WriteError(err)
		return
	}
	c.readOrderState(rs, reg.host)
	if err := c.runRegister(rs, reg); err != nil {
		c.log.Debug("registration ended", logs.Str("upstream", reg.host), logs.Err(err))
		_ = stream.WriteError(err)
	}
}

// runRegister handles the messages of a registration and returns nil once the
// upstream has left. After a stream failure the upstream stays registered
// until its lease expires, because the agent may reconnect.
func (c *Control) runRegister(rs *registerStream, reg *registration) error {
	for {
		_ = rs.stream.SetReadDeadline(time.Now().Add(2 * RegistrationLease))
		f, err := rs.stream.Read()
		if err != nil {
			return err
		}
		switch body := f.GetBody().(type) {
		case *wirepb.Frame_Heartbeat:
			err = c.heartbeat(rs, reg, body.Heartbeat)
		case *wirepb.Frame_OrderResult:
			rs.deliverResult(body.OrderResult)
		case *wirepb.Frame_Leave:
			c.registry.Deregister(c.opts.Now(), reg)
			c.log.Info("upstream left", logs.Str("upstream", reg.host), logs.Str("reason", body.Leave.GetReason()))
			return nil
		default:
			err = fault.New(fault.Protocol, "unexpected message on a registration stream")
		}
		if err != nil {
			return err
		}
	}
}

func (c *Control) heartbeat(rs *registerStream, reg *registration, h *wirepb.Heartbeat) error {
	if err := c.registry.Heartbeat(c.opts.Now(), reg, h.GetAnnouncement()); err != nil {
		return err
	}
	return c.replyHeartbeat(rs, h.GetSequence())
}

func (c *Control) replyHeartbeat(rs *registerStream, sequence uint64) error {
	reply := &wirepb.HeartbeatReply{Sequence: sequence, LiveEntries: uint32(c.liveEntries())}
	if o := rs.orderState.Load(); o != nil {
		reply.OrderEpoch, reply.Drained, reply.OrderEpochRead = o.OrderEpoch, o.Drained, true
	}
	return rs.write(&wirepb.Frame{Body: &wirepb.Frame_HeartbeatReply{HeartbeatReply: reply}})
}

// readOrderState reads the order state of the host and retries until a quorum
// confirms the read. It sends the state to the agent at once, because the
// agent accepts no work until it has the state.
func (c *Control) readOrderState(rs *registerStream, host string) {
	c.barrier.submit(func(err error) {
		if err != nil {
			select {
			case <-rs.done:
			case <-c.ctx.Done():
			default:
				c.readOrderState(rs, host)
			}
			return
		}
		var orders state.OrderState
		c.machine.Read(func(s *state.Store) { orders = s.OrderState(host) })
		rs.orderState.Store(&orders)
		go func() { _ = c.replyHeartbeat(rs, 0) }() // the barrier must not wait for an agent
	})
}

func (r *registerStream) write(f *wirepb.Frame) error {
	_ = r.stream.SetDeadline(time.Now().Add(registerWriteTimeout))
	return r.stream.Write(f)
}

// sendOrder sends an order and waits for its result.
func (r *registerStream) sendOrder(ctx context.Context, o *wirepb.Order) (*wirepb.OrderResult, error) {
	result := make(chan *wirepb.OrderResult, 1)
	r.mu.Lock()
	r.pending[o.Epoch] = result
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pending, o.Epoch)
		r.mu.Unlock()
	}()
	if err := r.write(&wirepb.Frame{Body: &wirepb.Frame_Order{Order: o}}); err != nil {
		return nil, fault.As(err).WithOutcome(fault.MayHaveRun)
	}
	select {
	case res := <-result:
		return res, nil
	case <-r.done:
		return nil, fault.New(fault.UnknownOutcome, "registration ended before the result of the order").WithOutcome(fault.MayHaveRun)
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.UnknownOutcome, "no result of the order in time").WithOutcome(fault.MayHaveRun)
	}
}

func (r *registerStream) deliverResult(res *wirepb.OrderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch, ok := r.pending[res.GetEpoch()]; ok {
		ch <- res
		delete(r.pending, res.GetEpoch())
	}
}

// closeWithError sends the error to the agent and closes the stream. It does
// not block.
func (r *registerStream) closeWithError(err error) {
	go func() {
		_ = r.write(&wirepb.Frame{Body: &wirepb.Frame_Error{Error: fault.ToWire(err)}})
		_ = r.stream.Close()
	}()
}
