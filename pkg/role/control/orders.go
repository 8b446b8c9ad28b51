package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// orderMax bounds one order, which goes on after its request has ended.
	orderMax = 30 * time.Minute
	// orderRetention is how long the leader answers a repeated request from
	// memory.
	orderRetention = 10 * time.Minute
	maxOrders      = 10_000
)

// orderRun is one order from its request to the result of the upstream.
type orderRun struct {
	request *operators.OrderRequest
	done    chan struct{}
	reply   *operators.OrderReply
	err     error
	ended   time.Time
	placed  bool // it has had a place of the pacer, so that it is not inherited
}

type orderKey struct{ operator, request string }

// orderBook carries out orders on the leader. A repeated request joins the
// order that it started before.
type orderBook struct {
	control *Control
	loads   pacer

	mu   sync.Mutex
	runs map[orderKey]*orderRun
	term uint64 // term whose loads of earlier leaders are accounted for
	// inherited holds the places of loads that earlier leaders allowed, each
	// until the time after which its agent has answered.
	inherited map[orderKey]*time.Timer
}

func newOrderBook(c *Control) *orderBook {
	b := &orderBook{control: c, runs: make(map[orderKey]*orderRun), inherited: make(map[orderKey]*time.Timer)}
	b.loads.limit = func() int {
		n := 0
		c.machine.Read(func(s *state.Store) { n = s.ConcurrentLoads() })
		return n
	}
	return b
}

// Order gives an order to an upstream. Only the leader does so.
func (c *Control) Order(ctx context.Context, operator string, req *operators.OrderRequest) (*operators.OrderReply, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	run, err := c.orders.start(operator, req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout())
	defer cancel()
	select {
	case <-run.done:
		return run.reply, run.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unknown, "order is still in progress").
			WithOutcome(fault.MayHaveRun).WithRetryAfter(time.Second)
	}
}

func (b *orderBook) start(operator string, req *operators.OrderRequest) (*orderRun, error) {
	key := orderKey{operator, req.RequestID}
	b.mu.Lock()
	defer b.mu.Unlock()
	if run, ok := b.runs[key]; ok {
		return run, run.sameAs(req)
	}
	b.forgetOld(b.control.opts.Now())
	if len(b.runs) >= maxOrders {
		return nil, fault.New(fault.Overloaded, "%d orders in progress or kept, which is the limit", maxOrders).
			WithOutcome(fault.NotRun).WithRetryAfter(time.Minute)
	}
	run := &orderRun{request: req, done: make(chan struct{})}
	b.runs[key] = run
	b.control.wg.Add(1)
	go func() {
		defer b.control.wg.Done()
		b.run(key, run)
	}()
	return run, nil
}

func (r *orderRun) sameAs(req *operators.OrderRequest) error {
	if r.request.Host == req.Host && proto.Equal(r.request.Order.Value, req.Order.Value) {
		return nil
	}
	return fault.New(fault.Conflict, "request id %q was used for another order", req.RequestID).
		WithField("request_id").WithOutcome(fault.NotRun)
}

func (b *orderBook) forgetOld(now time.Time) {
	for key, run := range b.runs {
		if !run.ended.IsZero() && now.Sub(run.ended) > orderRetention {
			delete(b.runs, key)
		}
	}
}

func (b *orderBook) run(key orderKey, run *orderRun) {
	ctx, cancel := context.WithTimeout(b.control.ctx, orderMax)
	defer cancel()
	reply, err := b.carryOut(ctx, key, run)
	b.mu.Lock()
	defer b.mu.Unlock()
	run.reply, run.err = reply, err
	run.ended = b.control.opts.Now()
	close(run.done)
	if err != nil {
		// A repeated request sends the order again under the same epoch, which
		// the agent refuses when it has a newer order.
		delete(b.runs, key)
	}
}

func (b *orderBook) carryOut(ctx context.Context, key orderKey, run *orderRun) (*operators.OrderReply, error) {
	req := run.request
	if !state.IsLoadAction(req.Order.Value.GetAction()) {
		return b.give(ctx, key, req, func() error { return nil })
	}
	term, err := b.takeOver(ctx)
	if err != nil {
		return nil, err
	}
	if err := b.acquire(ctx, key, run); err != nil {
		return nil, err
	}
	defer b.loads.release()
	return b.give(ctx, key, req, func() error { return b.control.requireTerm(term) })
}

// takeOver gives places to the loads that earlier leaders allowed and that may
// still be in progress, once in each term of this replica as the leader, and
// returns the term. The read index confirms the term, so that all that earlier
// leaders have recorded is applied, and they send no load that is not recorded.
func (b *orderBook) takeOver(ctx context.Context) (uint64, error) {
	if err := b.control.requireLeader(); err != nil {
		return 0, err
	}
	term := b.control.node.Status().Term
	b.mu.Lock()
	done := b.term == term
	b.mu.Unlock()
	if done {
		return term, nil
	}
	if err := b.control.barrier.wait(ctx); err != nil {
		return 0, err
	}
	if err := b.control.requireTerm(term); err != nil {
		return 0, err
	}
	now := b.control.proposalTime()
	var loads []state.LoadOrder
	b.control.machine.Read(func(s *state.Store) { loads = s.LoadOrdersSince(now.Add(-b.control.opts.LoadTime).UnixMilli()) })
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.term == term {
		return term, nil
	}
	b.term = term
	for _, l := range loads {
		b.inherit(orderKey{l.Operator, l.RequestID}, b.control.opts.LoadTime-now.Sub(time.UnixMilli(l.TimeUnixMs)))
	}
	return term, nil
}

// inherit holds a place for the load of an earlier leader. The caller holds mu.
func (b *orderBook) inherit(key orderKey, left time.Duration) {
	if run, ok := b.runs[key]; ok && run.placed {
		return // allowed by this replica in an earlier term
	}
	if b.inherited[key] != nil {
		return
	}
	b.loads.occupy()
	b.inherited[key] = time.AfterFunc(left, func() {
		b.mu.Lock()
		delete(b.inherited, key)
		b.mu.Unlock()
		b.loads.release()
	})
}

// acquire waits for a place. A repeated request continues on the place that
// its order has already.
func (b *orderBook) acquire(ctx context.Context, key orderKey, run *orderRun) error {
	b.mu.Lock()
	if timer := b.inherited[key]; timer != nil && timer.Stop() {
		delete(b.inherited, key)
		run.placed = true
		b.mu.Unlock()
		return nil
	}
	b.mu.Unlock()
	if err := b.loads.acquire(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	run.placed = true
	b.mu.Unlock()
	return nil
}

// requireTerm returns an error unless this replica leads in the term.
func (c *Control) requireTerm(term uint64) error {
	if err := c.requireLeader(); err != nil {
		return err
	}
	if now := c.node.Status().Term; now != term {
		return fault.New(fault.Unavailable, "leadership of term %d has ended", term).
			WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	return nil
}

// give records the order and sends it. Check is asked before both.
func (b *orderBook) give(ctx context.Context, key orderKey, req *operators.OrderRequest, check func() error) (*operators.OrderReply, error) {
	if err := check(); err != nil {
		return nil, err
	}
	reg := b.control.registry.Find(req.Host)
	if reg == nil {
		return nil, fault.New(fault.NotFound, "no upstream is registered on host %q", req.Host).
			WithField("host").WithOutcome(fault.NotRun)
	}
	epoch, err := b.raiseEpoch(ctx, key, req)
	if err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		// Recorded and not sent: a repeated request at the new leader sends it.
		return nil, err
	}
	return b.send(ctx, reg, epoch, req)
}

// raiseEpoch makes the order durable before the upstream sees it.
func (b *orderBook) raiseEpoch(ctx context.Context, key orderKey, req *operators.OrderRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := b.control.proposer.propose(ctx, &wirepb.Command{
		RequestId: key.request,
		Operator:  key.operator,
		Body:      &wirepb.Command_Order{Order: &wirepb.OrderChange{Host: req.Host, Order: req.Order.Value}},
	})
	if err != nil {
		return 0, err
	}
	if result.GetError() != nil {
		return 0, fault.FromWire(result.GetError())
	}
	return result.GetOrderEpoch(), nil
}

func (b *orderBook) send(ctx context.Context, reg *registration, epoch uint64, req *operators.OrderRequest) (*operators.OrderReply, error) {
	order := proto.CloneOf(req.Order.Value)
	order.Epoch = epoch
	order.Id = req.RequestID
	result, err := reg.stream.sendOrder(ctx, order)
	if err != nil {
		return nil, err
	}
	if result.GetError() != nil {
		return nil, fault.FromWire(result.GetError())
	}
	return &operators.OrderReply{ID: req.RequestID, Epoch: epoch}, nil
}
