package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// weightStore simulates the store from which engines load model weights: it
// counts the loads in progress at all agents. A load lasts until finish is
// called for its host.
type weightStore struct {
	mu      sync.Mutex
	running int
	most    int
	started map[string]time.Time
	ends    map[string]chan struct{}
}

func (w *weightStore) load(host string) {
	w.mu.Lock()
	w.running++
	w.most = max(w.most, w.running)
	w.started[host] = time.Now()
	end := w.ends[host]
	w.mu.Unlock()
	<-end
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}

func (w *weightStore) startedAt(host string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started[host]
}

func (w *weightStore) finish(host string) { close(w.ends[host]) }

// register keeps an agent registered whose loads are counted by the store.
func (w *weightStore) register(c *cluster, host string) {
	w.ends[host] = make(chan struct{})
	agent := c.run(c.client(roleAgent, host))
	announcement := &wirepb.Announcement{Host: host, AgentAddress: "127.0.0.1:1", Incarnation: 1}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Register(ctx, func() *wirepb.Announcement { return announcement }, nil, func(o *wirepb.Order) *wirepb.OrderResult {
			w.load(host)
			return &wirepb.OrderResult{Id: o.Id, Epoch: o.Epoch}
		})
	}()
	c.t.Cleanup(func() { cancel(); <-done })
	c.waitUntil("the registration of "+host, func() bool {
		for _, m := range c.replicas {
			if m.registry.Find(host) == nil {
				return false
			}
		}
		return true
	})
}

// Guards against more loads than the weight store allows after a change of
// leader: a new leader that does not count the loads of the old one, and an
// old one that starts its queued loads after it has lost the leadership.
func TestLoadOrders_LimitHoldsAcrossLeaders(t *testing.T) {
	const loadTime = 3 * time.Second
	c := startClusterOn(t, 3, unsyncedFS{})
	policy := &wirepb.Entry{Kind: "policy", Name: "default", Owner: "o", Policy: &wirepb.PolicySpec{ConcurrentLoads: 1}}
	_, err := c.replicas[0].Apply(background(t), "ann", &operators.ChangeRequest{RequestID: "policy", Put: []operators.Entry{{Value: policy}}})
	assert.NilError(t, err)
	w := &weightStore{started: make(map[string]time.Time), ends: make(map[string]chan struct{})}
	for _, host := range []string{"h1", "h2", "h3"} {
		w.register(c, host)
	}
	for _, m := range c.replicas {
		m.opts.MaxLoadDuration = loadTime
	}
	order := func(m *Control, host string) <-chan error {
		result := make(chan error, 1)
		go func() {
			_, err := m.Order(background(t), "ann", &operators.OrderRequest{
				RequestID: host, Host: host, Order: operators.Order{Value: &wirepb.Order{Action: "load_model", Model: "m", Version: "v"}}})
			result <- err
		}()
		return result
	}
	waiting := func(m *Control) func() bool {
		return func() bool {
			m.orders.modelLoads.mu.Lock()
			defer m.orders.modelLoads.mu.Unlock()
			return len(m.orders.modelLoads.queue) == 1
		}
	}
	old := c.replicas[c.leader()]
	ordered := time.Now()
	first := order(old, "h1")
	c.waitUntil("the first load", func() bool { return !w.startedAt("h1").IsZero() })
	queued := order(old, "h3")
	c.waitUntil("a load that waits at the old leader", waiting(old))
	c.isolate(old.opts.ID, true)
	c.waitUntil("another leader", func() bool { lead := c.leader(); return lead >= 0 && c.replicas[lead] != old })
	next := c.replicas[c.leader()]
	second := order(next, "h2")
	c.waitUntil("a load at the new leader", func() bool { return waiting(next)() || !w.startedAt("h2").IsZero() })
	c.waitUntil("the old leader to step down", func() bool { return old.requireLeader() != nil })
	w.finish("h1")
	assert.NilError(t, <-first)
	refused := <-queued
	assert.Assert(t, fault.Is(refused, fault.NotLeader), "%v", refused)
	assert.Equal(t, fault.As(refused).Outcome, fault.NotRun)
	c.waitUntil("the second load", func() bool { return !w.startedAt("h2").IsZero() })
	w.finish("h2")
	assert.NilError(t, <-second)
	w.finish("h3")
	assert.Assert(t, w.startedAt("h3").IsZero())
	assert.Equal(t, w.most, 1)
	const truncation = 2 * time.Millisecond // log times have a precision of one millisecond
	assert.Assert(t, w.startedAt("h2").Sub(ordered) >= loadTime-truncation, "the new leader did not wait")
}

// Guards against a repeated load order that waits at a new leader for a slot
// that it already holds.
func TestLoadOrders_RepeatedOrderKeepsItsSlot(t *testing.T) {
	c := startCluster(t, 1)
	executor := c.replicas[0].orders
	key := orderKey{"ann", "r"}
	executor.mu.Lock()
	executor.inheritSlot(key, time.Hour)
	executor.inheritSlot(key, time.Hour)
	executor.mu.Unlock()
	assert.Equal(t, executor.modelLoads.running, 1)
	assert.NilError(t, executor.acquireSlot(background(t), key, &orderExecution{}))
	assert.Equal(t, executor.modelLoads.running, 1)
	executor.mu.Lock()
	executor.inheritSlot(orderKey{"ann", "other"}, 0)
	executor.mu.Unlock()
	c.waitUntil("the release of an inherited slot", func() bool {
		executor.modelLoads.mu.Lock()
		defer executor.modelLoads.mu.Unlock()
		return executor.modelLoads.running == 1
	})
}
