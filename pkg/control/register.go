package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	heartbeatInterval  = 500 * time.Millisecond
	voterCheckInterval = time.Second
	leaveTimeout       = 300 * time.Millisecond
)

// OrderHandler executes an order and returns its result.
type OrderHandler func(*wirepb.Order) *wirepb.OrderResult

// registration keeps the upstream registered with every voter.
type registration struct {
	client   *Client
	announce func() *wirepb.Announcement
	onOrder  OrderHandler
	loops    map[string]*registerLoop
}

// registerLoop keeps the upstream registered with one replica.
type registerLoop struct {
	reg    *registration
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
	log    logs.Logger
	// sentIncarnation is the incarnation in the last announcement sent.
	sentIncarnation uint64
}

// Register keeps the upstream registered with every voter until ctx ends, then
// deregisters it. While announce returns nil the upstream is not registered. A
// value on changed sends the current announcement to all replicas at once.
func (c *Client) Register(ctx context.Context, announce func() *wirepb.Announcement, changed <-chan struct{}, onOrder OrderHandler) {
	r := &registration{client: c, announce: announce, onOrder: onOrder, loops: make(map[string]*registerLoop)}
	ticker := time.NewTicker(voterCheckInterval)
	defer ticker.Stop()
	r.syncLoops(ctx)
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-ticker.C:
			r.syncLoops(ctx)
		case <-changed:
			r.notifyLoops()
		}
	}
}

// syncLoops starts and stops loops so that there is one for each voter.
func (r *registration) syncLoops(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, addr := range r.client.replicaAddresses() {
		wanted[addr] = true
		if _, ok := r.loops[addr]; !ok {
			r.loops[addr] = r.start(ctx, addr)
		}
	}
	for addr, loop := range r.loops {
		if !wanted[addr] {
			loop.cancel()
			delete(r.loops, addr)
		}
	}
}

func (r *registration) start(ctx context.Context, addr string) *registerLoop {
	ctx, cancel := context.WithCancel(ctx)
	loop := &registerLoop{
		reg:    r,
		addr:   addr,
		cancel: cancel,
		done:   make(chan struct{}),
		wake:   make(chan struct{}, 1),
		log:    r.client.opts.Log,
	}
	go loop.run(ctx)
	return loop
}

func (r *registration) stopAll() {
	for _, loop := range r.loops {
		loop.cancel()
	}
	for _, loop := range r.loops {
		<-loop.done
	}
}

func (r *registration) notifyLoops() {
	for _, loop := range r.loops {
		select {
		case loop.wake <- struct{}{}:
		default:
		}
	}
}

func (l *registerLoop) run(ctx context.Context) {
	defer close(l.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		if l.reg.announce() == nil {
			l.waitForWake(ctx, heartbeatInterval)
			continue
		}
		started := time.Now()
		err := l.register(ctx)
		if ctx.Err() != nil {
			return
		}
		l.reportStaleIncarnation(err)
		l.log.Debug("registration ended", logs.Str("replica", l.addr), logs.Err(err))
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		delay.Wait(ctx, delay.Jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// reportStaleIncarnation calls OnStaleIncarnation if a replica refused the
// incarnation. The error carries the highest incarnation known to the replica in
// Revision.
func (l *registerLoop) reportStaleIncarnation(err error) {
	if l.reg.client.opts.OnStaleIncarnation == nil || !fault.Is(err, fault.StaleEpoch) {
		return
	}
	l.reg.client.opts.OnStaleIncarnation(max(l.sentIncarnation, fault.As(err).Revision))
}

func (l *registerLoop) waitForWake(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-t.C:
	}
}

// register keeps one registration until ctx ends, the upstream is withdrawn or
// the stream fails.
func (l *registerLoop) register(ctx context.Context) error {
	s, err := l.reg.client.pool.Open(ctx, l.addr)
	if err != nil {
		return err
	}
	defer s.Close()
	announced := l.reg.announce()
	if announced == nil {
		return nil
	}
	l.sentIncarnation = announced.Incarnation
	first := &wirepb.Register{Announcement: announced, Role: l.reg.client.opts.Role}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_Register{Register: first}}); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	frames, failed := readFrames(s, silenceTimeout, stop)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return leave(s, frames, failed, "shutdown")
		case err := <-failed:
			l.reg.client.pool.CloseSession(l.addr)
			return err
		case f := <-frames:
			if err := l.handle(s, f); err != nil {
				return err
			}
			continue
		case <-ticker.C:
		case <-l.wake:
		}
		current := l.reg.announce()
		if current == nil {
			return leave(s, frames, failed, "upstream withdrawn")
		}
		sequence++
		if err := l.heartbeat(s, sequence, announced, current); err != nil {
			return err
		}
		announced = current
	}
}

// heartbeat sends one heartbeat, with the announcement if it has changed.
func (l *registerLoop) heartbeat(s *wire.Stream, sequence uint64, announced, current *wirepb.Announcement) error {
	beat := &wirepb.Heartbeat{Sequence: sequence, Revision: l.revision()}
	if current != announced {
		beat.Announcement = current
		l.sentIncarnation = current.Incarnation
	}
	return s.Write(&wirepb.Frame{Body: &wirepb.Frame_Heartbeat{Heartbeat: beat}})
}

func (l *registerLoop) revision() uint64 {
	if v := l.reg.client.View(); v != nil {
		return v.Revision
	}
	return 0
}

func (l *registerLoop) handle(s *wire.Stream, f *wirepb.Frame) error {
	switch {
	case f.GetHeartbeatReply() != nil:
		l.reg.client.updateOrderState(f.GetHeartbeatReply())
		return nil
	case f.GetOrder() != nil:
		go l.executeOrder(s, f.GetOrder())
		return nil
	case f.GetError() != nil:
		return fault.FromWire(f.GetError())
	}
	return fault.New(fault.Protocol, "unexpected message on the registration stream")
}

func (l *registerLoop) executeOrder(s *wire.Stream, order *wirepb.Order) {
	result := l.reg.onOrder(order)
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_OrderResult{OrderResult: result}}); err != nil {
		l.log.Warn("order result not delivered", logs.Str("order", order.Id), logs.Err(err))
	}
}

// leave tells the replica that the upstream accepts no more work, and waits up
// to leaveTimeout until the replica closes the stream.
func leave(s *wire.Stream, frames <-chan *wirepb.Frame, failed <-chan error, reason string) error {
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_Leave{Leave: &wirepb.Leave{Reason: reason}}}); err != nil {
		return err
	}
	timeout := time.NewTimer(leaveTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-frames:
		case <-failed:
			return nil
		case <-timeout.C:
			return nil
		}
	}
}

// updateOrderState stores the order state of a heartbeat reply if the replica
// has read it linearizably and it is newer than the known one. A replica
// repeats the state as of the registration, so that a lower epoch may arrive
// after a higher one.
func (c *Client) updateOrderState(r *wirepb.HeartbeatReply) {
	if !r.OrderEpochRead {
		return
	}
	c.orderMu.Lock()
	newer := !c.orderState.Known || r.OrderEpoch > c.orderState.OrderEpoch
	if newer {
		c.orderState = OrderState{Known: true, OrderEpoch: r.OrderEpoch, Drained: r.Drained}
	}
	c.orderMu.Unlock()
	if newer && c.opts.OnOrderState != nil {
		c.opts.OnOrderState()
	}
}

// OrderState is the order state of this host.
type OrderState struct {
	Known      bool   // a replica has sent the other fields
	OrderEpoch uint64 // highest order epoch, read by a replica after the registration
	Drained    bool   // the newest drain or resume up to that epoch was a drain
}

// Orders returns the newest order state that a replica has sent.
func (c *Client) Orders() OrderState {
	c.orderMu.Lock()
	defer c.orderMu.Unlock()
	return c.orderState
}
