package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// orderRetryAfter is the time after which a refused order may be sent again.
const orderRetryAfter = time.Second

// Actions that the agent executes itself, whatever the upstream supports: it
// refuses new requests after a drain and accepts them again after a resume.
const (
	actionDrain  = "drain"
	actionResume = "resume"
)

// orderRunner executes the orders to the upstream and refuses an order with a
// lower epoch than one already seen. Orders run one at a time, so that an
// upstream that does not check order epochs never runs an older order after a
// newer one.
type orderRunner struct {
	agent     *Agent
	runPermit chan struct{} // holds one permit; an order runs while it has the permit

	synced atomic.Bool // control has sent the order state of the host

	mu           sync.Mutex
	highestEpoch uint64 // at least the epoch that control knew at the registration
}

func newOrderRunner(a *Agent) *orderRunner {
	o := &orderRunner{agent: a, runPermit: make(chan struct{}, 1)}
	o.runPermit <- struct{}{}
	return o
}

// executeOrder implements control.OrderHandler.
func (o *orderRunner) executeOrder(order *wirepb.Order) *wirepb.OrderResult {
	err := o.run(order)
	if err != nil {
		o.agent.log.Warn("order refused or failed", logs.Str("order", order.Id), logs.Uint("epoch", order.Epoch), logs.Err(err))
	}
	return &wirepb.OrderResult{Id: order.Id, Epoch: order.Epoch, Error: fault.ToWire(err)}
}

func (o *orderRunner) run(order *wirepb.Order) error {
	if order.Action == actionDrain || order.Action == actionResume {
		return o.setDrained(order)
	}
	if err := o.acceptEpoch(order.Epoch); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.agent.settings.OrderAnswerTimeout)
	defer cancel()
	select {
	case <-o.runPermit:
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "an earlier order is still in progress").WithOutcome(fault.NotRun).WithRetryAfter(orderRetryAfter)
	}
	// A newer order may have been accepted while this one waited.
	if err := o.acceptEpoch(order.Epoch); err != nil {
		o.runPermit <- struct{}{}
		return err
	}
	return o.sendToUpstream(ctx, order)
}

// setDrained drains or resumes the upstream without waiting for an order that
// is running on the engine. The change is made under the lock of the epoch
// check, so that it never overrides a newer drain or resume.
func (o *orderRunner) setDrained(order *wirepb.Order) error {
	o.syncWithControl()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.raiseHighestEpoch(order.Epoch); err != nil {
		return err
	}
	o.agent.upstream.setDraining(order.Action == actionDrain)
	return nil
}

// syncWithControl adopts control's order state if it is the first one or newer
// than the orders seen here, and reports whether control has sent one. A drain
// whose order was lost with its connection thus takes effect after the next
// registration.
func (o *orderRunner) syncWithControl() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.agent.control.Orders()
	if !state.Known {
		return false
	}
	if !o.synced.Load() || state.OrderEpoch > o.highestEpoch {
		o.highestEpoch = state.OrderEpoch
		o.agent.upstream.setDraining(state.Drained)
		o.synced.Store(true)
	}
	return true
}

// isSynced reports whether control has sent the order state of the host. Later
// changes arrive as orders and through the callback of the control client.
func (o *orderRunner) isSynced() bool { return o.synced.Load() || o.syncWithControl() }

// acceptEpoch raises the highest epoch seen, or refuses a lower one.
func (o *orderRunner) acceptEpoch(epoch uint64) error {
	o.syncWithControl()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.raiseHighestEpoch(epoch)
}

func (o *orderRunner) raiseHighestEpoch(epoch uint64) error {
	if !o.synced.Load() {
		return fault.New(fault.Unavailable, "order epoch is not yet known from control").
			WithOutcome(fault.NotRun).WithRetryAfter(orderRetryAfter)
	}
	if epoch < o.highestEpoch {
		return fault.New(fault.StaleEpoch, "order epoch %d is below %d", epoch, o.highestEpoch).
			WithField("epoch").WithOutcome(fault.NotRun)
	}
	o.highestEpoch = epoch
	return nil
}

// sendToUpstream sends the order. It holds the run permit until the engine has
// answered or the connection has ended, even when the caller no longer waits.
func (o *orderRunner) sendToUpstream(ctx context.Context, order *wirepb.Order) error {
	up := o.agent.upstream.currentUpstream()
	if up == nil {
		o.runPermit <- struct{}{}
		return errNoUpstream()
	}
	answered := make(chan error, 1)
	o.agent.background.Add(1)
	go func() {
		defer o.agent.background.Done()
		sendCtx, cancel := context.WithTimeout(context.Background(), o.agent.settings.OrderConnectionTimeout)
		defer cancel()
		err := o.agent.client.SendOrder(sendCtx, up.announced.Address, upstreamOrder(order))
		o.runPermit <- struct{}{}
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return fault.New(fault.Deadline, "engine has not answered the order").WithOutcome(fault.MayHaveRun)
	}
}

func upstreamOrder(o *wirepb.Order) *upstreams.Order {
	return &upstreams.Order{
		ID: o.Id, OrderEpoch: o.Epoch, Action: o.Action, Model: o.Model, Version: o.Version, Adapter: o.Adapter,
		Role: o.Role, FirstLayer: o.FirstLayer, LastLayer: o.LastLayer,
	}
}
