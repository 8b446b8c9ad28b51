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
	// maxOrderDuration bounds the execution of one order, which continues
	// after its request has ended.
	maxOrderDuration = 30 * time.Minute
	// orderRetention is how long the leader keeps the result of an order to
	// answer repeated requests.
	orderRetention = 10 * time.Minute
	maxOrders      = 10_000
)

// orderExecution is one order from its request to the result of the upstream.
type orderExecution struct {
	request *operators.OrderRequest
	done    chan struct{}
	reply   *operators.OrderReply
	err     error
	ended   time.Time
	hadSlot bool // has acquired a slot of modelLoads on this replica, so that inheritSlot skips it
}

type orderKey struct{ operator, request string }

// orderExecutor executes orders on the leader. A repeated request waits for
// the order that the first request started.
type orderExecutor struct {
	control    *Control
	modelLoads modelLoadLimiter

	mu            sync.Mutex
	executions    map[orderKey]*orderExecution
	inheritedTerm uint64 // term in which the model loads of earlier leaders have been counted
	// inheritedSlots holds the slots of model loads that earlier leaders
	// started. The timer releases a slot after the time by which its agent
	// must have answered.
	inheritedSlots map[orderKey]*time.Timer
}

func newOrderExecutor(c *Control) *orderExecutor {
	e := &orderExecutor{control: c, executions: make(map[orderKey]*orderExecution), inheritedSlots: make(map[orderKey]*time.Timer)}
	e.modelLoads.limit = func() int {
		n := 0
		c.machine.Read(func(s *state.Store) { n = s.ConcurrentLoads() })
		return n
	}
	return e
}

// Order sends an order to an upstream and returns the result. It fails unless
// this replica is the leader.
func (c *Control) Order(ctx context.Context, operator string, req *operators.OrderRequest) (*operators.OrderReply, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	execution, err := c.orders.start(operator, req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout())
	defer cancel()
	select {
	case <-execution.done:
		return execution.reply, execution.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.UnknownOutcome, "order is still in progress").
			WithOutcome(fault.MayHaveRun).WithRetryAfter(time.Second)
	}
}

func (e *orderExecutor) start(operator string, req *operators.OrderRequest) (*orderExecution, error) {
	key := orderKey{operator, req.RequestID}
	e.mu.Lock()
	defer e.mu.Unlock()
	if execution, ok := e.executions[key]; ok {
		return execution, execution.checkSameOrder(req)
	}
	e.dropExpired(e.control.opts.Now())
	if len(e.executions) >= maxOrders {
		return nil, fault.New(fault.Overloaded, "%d orders in progress or kept, which is the limit", maxOrders).
			WithOutcome(fault.NotRun).WithRetryAfter(time.Minute)
	}
	execution := &orderExecution{request: req, done: make(chan struct{})}
	e.executions[key] = execution
	e.control.wg.Add(1)
	go func() {
		defer e.control.wg.Done()
		e.run(key, execution)
	}()
	return execution, nil
}

func (r *orderExecution) checkSameOrder(req *operators.OrderRequest) error {
	if r.request.Host == req.Host && proto.Equal(r.request.Order.Value, req.Order.Value) {
		return nil
	}
	return fault.New(fault.Conflict, "request id %q was used for another order", req.RequestID).
		WithField("request_id").WithOutcome(fault.NotRun)
}

func (e *orderExecutor) dropExpired(now time.Time) {
	for key, execution := range e.executions {
		if !execution.ended.IsZero() && now.Sub(execution.ended) > orderRetention {
			delete(e.executions, key)
		}
	}
}

func (e *orderExecutor) run(key orderKey, execution *orderExecution) {
	ctx, cancel := context.WithTimeout(e.control.ctx, maxOrderDuration)
	defer cancel()
	reply, err := e.executeOrder(ctx, key, execution)
	e.mu.Lock()
	defer e.mu.Unlock()
	execution.reply, execution.err = reply, err
	execution.ended = e.control.opts.Now()
	close(execution.done)
	if err != nil {
		// A repeated request sends the order again with the same epoch; the
		// agent refuses it if it has a newer order.
		delete(e.executions, key)
	}
}

func (e *orderExecutor) executeOrder(ctx context.Context, key orderKey, execution *orderExecution) (*operators.OrderReply, error) {
	req := execution.request
	if !state.IsLoadAction(req.Order.Value.GetAction()) {
		return e.recordAndSend(ctx, key, req, func() error { return nil })
	}
	term, err := e.inheritLoads(ctx)
	if err != nil {
		return nil, err
	}
	if err := e.acquireSlot(ctx, key, execution); err != nil {
		return nil, err
	}
	defer e.modelLoads.release()
	return e.recordAndSend(ctx, key, req, func() error { return e.control.requireTerm(term) })
}

// inheritLoads takes a slot for each model load that an earlier leader started
// and that may still be in progress, and returns the current term. It does so
// once in each term in which this replica is the leader. The read index
// confirms the term, so that all orders recorded by earlier leaders are
// applied. Earlier leaders send no load that is not recorded.
func (e *orderExecutor) inheritLoads(ctx context.Context) (uint64, error) {
	if err := e.control.requireLeader(); err != nil {
		return 0, err
	}
	term := e.control.node.Status().Term
	e.mu.Lock()
	done := e.inheritedTerm == term
	e.mu.Unlock()
	if done {
		return term, nil
	}
	if err := e.control.barrier.wait(ctx); err != nil {
		return 0, err
	}
	if err := e.control.requireTerm(term); err != nil {
		return 0, err
	}
	now := e.control.proposalTime()
	var loads []state.LoadOrder
	e.control.machine.Read(func(s *state.Store) { loads = s.LoadOrdersSince(now.Add(-e.control.opts.MaxLoadDuration).UnixMilli()) })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inheritedTerm == term {
		return term, nil
	}
	e.inheritedTerm = term
	for _, l := range loads {
		e.inheritSlot(orderKey{l.Operator, l.RequestID}, e.control.opts.MaxLoadDuration-now.Sub(time.UnixMilli(l.TimeUnixMs)))
	}
	return term, nil
}

// inheritSlot reserves a slot for the load of an earlier leader for the remaining
// time. The caller holds mu.
func (e *orderExecutor) inheritSlot(key orderKey, remaining time.Duration) {
	if execution, ok := e.executions[key]; ok && execution.hadSlot {
		return // this replica started the load in an earlier term
	}
	if e.inheritedSlots[key] != nil {
		return
	}
	e.modelLoads.reserve()
	e.inheritedSlots[key] = time.AfterFunc(remaining, func() {
		e.mu.Lock()
		delete(e.inheritedSlots, key)
		e.mu.Unlock()
		e.modelLoads.release()
	})
}

// acquireSlot waits for a slot of modelLoads. A repeated request takes over the
// inherited slot of its order.
func (e *orderExecutor) acquireSlot(ctx context.Context, key orderKey, execution *orderExecution) error {
	e.mu.Lock()
	if timer := e.inheritedSlots[key]; timer != nil && timer.Stop() {
		delete(e.inheritedSlots, key)
		execution.hadSlot = true
		e.mu.Unlock()
		return nil
	}
	e.mu.Unlock()
	if err := e.modelLoads.acquire(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	execution.hadSlot = true
	e.mu.Unlock()
	return nil
}

// requireTerm returns an error unless this replica is the leader in the term.
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

// recordAndSend commits the order to the log and sends it to the upstream.
// check must succeed before each of the two steps.
func (e *orderExecutor) recordAndSend(ctx context.Context, key orderKey, req *operators.OrderRequest, check func() error) (*operators.OrderReply, error) {
	if err := check(); err != nil {
		return nil, err
	}
	reg := e.control.registry.Find(req.Host)
	if reg == nil {
		return nil, fault.New(fault.NotFound, "no upstream is registered on host %q", req.Host).
			WithField("host").WithOutcome(fault.NotRun)
	}
	epoch, err := e.recordOrder(ctx, key, req)
	if err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		// Recorded and not sent: a repeated request at the new leader sends it.
		return nil, err
	}
	return e.send(ctx, reg, epoch, req)
}

// recordOrder commits the order to the log before the upstream receives it,
// and returns its epoch.
func (e *orderExecutor) recordOrder(ctx context.Context, key orderKey, req *operators.OrderRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := e.control.proposer.propose(ctx, &wirepb.Command{
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

func (e *orderExecutor) send(ctx context.Context, reg *registration, epoch uint64, req *operators.OrderRequest) (*operators.OrderReply, error) {
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
	return &operators.OrderReply{ID: req.RequestID, OrderEpoch: epoch}, nil
}
