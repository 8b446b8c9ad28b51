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
	heartbeatInterval = 500 * time.Millisecond
	voterCheck        = time.Second
	leaveTimeout      = 300 * time.Millisecond
)

// OrderFunc carries out an order and returns its result.
type OrderFunc func(*wirepb.Order) *wirepb.OrderResult

// registration keeps the upstream registered with every voter.
type registration struct {
	client   *Client
	announce func() *wirepb.Announcement
	onOrder  OrderFunc
	loops    map[string]*registerLoop
}

// registerLoop keeps one registration with one replica.
type registerLoop struct {
	reg    *registration
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
	log    logs.Logger
	// registered is the incarnation that was last sent.
	registered uint64
}

// Register announces the upstream to every voter until ctx ends, then leaves.
// A nil announcement means that there is nothing to announce at the moment.
// A value on changed makes all replicas learn the new announcement at once.
func (c *Client) Register(ctx context.Context, announce func() *wirepb.Announcement, changed <-chan struct{}, onOrder OrderFunc) {
	r := &registration{client: c, announce: announce, onOrder: onOrder, loops: make(map[string]*registerLoop)}
	ticker := time.NewTicker(voterCheck)
	defer ticker.Stop()
	r.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-ticker.C:
			r.follow(ctx)
		case <-changed:
			r.wakeAll()
		}
	}
}

// follow starts and stops loops so that there is one for each voter.
func (r *registration) follow(ctx context.Context) {
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

func (r *registration) wakeAll() {
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
			l.pause(ctx, heartbeatInterval)
			continue
		}
		started := time.Now()
		err := l.register(ctx)
		if ctx.Err() != nil {
			return
		}
		l.reportFenced(err)
		l.log.Debug("registration ended", logs.Str("replica", l.addr), logs.Err(err))
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		delay.Wait(ctx, delay.Jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// reportFenced tells the upstream that a replica refuses its incarnation.
func (l *registerLoop) reportFenced(err error) {
	if l.reg.client.opts.OnFenced == nil || !fault.Is(err, fault.StaleEpoch) {
		return
	}
	l.reg.client.opts.OnFenced(max(l.registered, fault.As(err).Revision))
}

func (l *registerLoop) pause(ctx context.Context, d time.Duration) {
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
	l.registered = announced.Incarnation
	first := &wirepb.Register{Announcement: announced, Role: l.reg.client.opts.Role}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_Register{Register: first}}); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	frames, failed := readFrames(s, answerTimeout, stop)
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
		l.registered = current.Incarnation
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
		l.reg.client.learnOrders(f.GetHeartbeatReply())
		return nil
	case f.GetOrder() != nil:
		go l.carryOut(s, f.GetOrder())
		return nil
	case f.GetError() != nil:
		return fault.FromWire(f.GetError())
	}
	return fault.New(fault.Protocol, "unexpected message on the registration stream")
}

func (l *registerLoop) carryOut(s *wire.Stream, order *wirepb.Order) {
	result := l.reg.onOrder(order)
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_OrderResult{OrderResult: result}}); err != nil {
		l.log.Warn("order result not delivered", logs.Str("order", order.Id), logs.Err(err))
	}
}

// leave tells the replica that the upstream takes no more work and waits until
// it closes the stream.
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

// learnOrders takes over an order state that the replica read linearizably. A
// replica repeats the state at the time of the registration, so that one with
// a lower epoch may arrive after a newer one.
func (c *Client) learnOrders(r *wirepb.HeartbeatReply) {
	if !r.OrderEpochRead {
		return
	}
	c.orderMu.Lock()
	newer := !c.orders.Known || r.OrderEpoch > c.orders.Epoch
	if newer {
		c.orders = Orders{Known: true, Epoch: r.OrderEpoch, Drained: r.Drained}
	}
	c.orderMu.Unlock()
	if newer && c.opts.OnOrders != nil {
		c.opts.OnOrders()
	}
}

// Orders is the order state of this host.
type Orders struct {
	Known   bool   // a replica has told the rest
	Epoch   uint64 // highest order epoch that control knew after the registration
	Drained bool   // the newest drain or resume up to that epoch was a drain
}

// Orders returns the newest order state that a replica has told.
func (c *Client) Orders() Orders {
	c.orderMu.Lock()
	defer c.orderMu.Unlock()
	return c.orders
}
