package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Options assemble a control process.
type Options struct {
	ID       uint64
	Host     string
	Listener net.Listener // for entries, agents and other replicas
	Link     link.Options
	// Seeds are the replicas known before the log names the voters.
	Seeds []*wirepb.Voter
	// Open starts the node with the state machine and the transport.
	Open func(*Machine, *replicalink.Transport) (Node, error)
	Log  logs.Logger
	Now  func() time.Time
	// LoadTime is the longest time from the record of an order to the answer
	// of its agent.
	LoadTime time.Duration
}

// defaultLoadTime covers the default engine.order_timeout of agents and the
// time to record an order.
const defaultLoadTime = 40 * time.Second

// Control is a running control process without its admin listener.
type Control struct {
	opts      Options
	log       logs.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	machine   *Machine
	transport *replicalink.Transport
	pool      *link.Pool
	node      Node
	proposer  *proposer
	barrier   *barrier
	registry  *Registry
	watchers  *watchers
	feed      *feed
	peers     *peers
	orders    *orderBook
	metrics   *controlMetrics
	server    *link.Server
	report    chan struct{} // asks for a report to the other replicas
	advanced  *signal       // raised after progress of watchers anywhere
	unary     atomic.Int64
	entries   atomic.Int64 // cached number of live entries
	stale     atomic.Bool  // the registry changed since watchers were notified
}

// Start opens the node and serves the listener.
func Start(opts Options) (*Control, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.LoadTime == 0 {
		opts.LoadTime = defaultLoadTime
	}
	opts.Link.MaxFrameBytes = replicalink.MaxFrame
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		opts:     opts,
		log:      opts.Log.Part("control"),
		ctx:      ctx,
		cancel:   cancel,
		machine:  NewMachine(),
		pool:     link.NewPool(opts.Link),
		watchers: newWatchers(),
		metrics:  newMetrics(),
		report:   make(chan struct{}, 1),
		advanced: newSignal(),
	}
	c.registry = NewRegistry(c.registryChanged)
	c.peers = newPeers(c.advanced.raise)
	c.feed = newFeed(c.machine, c.registry, c.liveEntries)
	c.orders = newOrderBook(c)
	if err := c.open(); err != nil {
		cancel()
		c.pool.Close()
		return nil, err
	}
	c.run()
	return c, nil
}

func (c *Control) open() error {
	c.transport = replicalink.NewTransport(c.opts.ID, c.opts.Seeds, c.pool, c.opts.Log.Part("transport"))
	c.transport.Dropped = c.metrics.dropped.Inc
	c.transport.OnVoters = c.votersChanged
	c.machine.onRevision = c.watchers.notify
	node, err := c.opts.Open(c.machine, c.transport)
	if err != nil {
		c.transport.Close()
		return err
	}
	c.node = node
	c.transport.SetLeaderTerm(func() (uint64, bool) {
		s := node.Status()
		return s.Term, s.Leader == s.ID
	})
	if voters := node.Status().Voters; len(c.feed.voters.Load().voters) == 0 && len(voters) > 0 {
		c.feed.setVoters(voters)
	}
	c.barrier = newBarrier(node, c.opts.Now)
	c.proposer = &proposer{node: node, pool: c.pool, now: c.proposalTime, metrics: c.metrics}
	c.registerGauges()
	return nil
}

func (c *Control) run() {
	for _, loop := range []func(){func() { c.barrier.run(c.ctx) }, c.sweepLoop, c.reportLoop, c.followLoop} {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			loop()
		}()
	}
	c.server = link.NewServer(c.opts.Listener, c.opts.Link, c.serveStream, func(err error) {
		c.log.Debug("session refused", logs.Err(err))
	})
}

// votersChanged runs on a goroutine of the node and does not block.
func (c *Control) votersChanged(voters []*wirepb.Voter) {
	c.peers.keepOnly(voters)
	c.feed.setVoters(voters)
	c.watchers.notify()
}

// registryChanged tells watchers at once that an upstream takes no more work.
// Other changes wait for the next sweep: when a replica starts, thousands of
// agents register within a second, and each would wake every watcher.
func (c *Control) registryChanged(urgent bool) {
	if urgent {
		c.watchers.notify()
		return
	}
	c.stale.Store(true)
}

// sweepLoop ends registrations without heartbeats.
func (c *Control) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.sweep()
	}
}

func (c *Control) sweep() {
	now := c.opts.Now()
	if c.stale.Swap(false) {
		c.watchers.notify()
	}
	c.entries.Store(int64(c.peers.liveEntries(now)))
	for _, reg := range c.registry.Sweep(now) {
		c.metrics.expired.Inc()
		c.log.Info("upstream expired", logs.Str("upstream", reg.host))
		reg.stream.end(fault.New(fault.StaleEpoch, "lease of %s has passed", reg.host).WithField("announcement.incarnation"))
	}
}

// followLoop notices changes of leader and keeps a recent confirmation by a
// quorum for readiness.
func (c *Control) followLoop() {
	ticker := time.NewTicker(peerStatusInterval)
	defer ticker.Stop()
	leader := uint64(0)
	failed := false
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.barrier.submit(func(error) {})
		status := c.node.Status()
		if status.Failed != nil && !failed {
			c.log.Error("replica stopped", logs.Err(status.Failed))
			failed = true
		}
		if status.Leader != leader && status.Leader != 0 {
			c.metrics.leaderChanges.Inc()
			c.log.Info("leader changed", logs.Uint("leader", status.Leader), logs.Uint("term", status.Term))
			leader = status.Leader
		}
	}
}

func (c *Control) registerGauges() {
	c.metrics.gauge("watchers", func() float64 { return float64(c.watchers.count()) })
	c.metrics.gauge("upstreams", func() float64 { return float64(c.registry.Count()) })
	c.metrics.gauge("live_entries", func() float64 { return float64(c.liveEntries()) })
	c.metrics.gauge("revision", func() float64 { return float64(c.machine.Revision()) })
	c.metrics.gauge("applied_index", func() float64 { return float64(c.node.Status().Applied) })
	c.metrics.gauge("term", func() float64 { return float64(c.node.Status().Term) })
	c.metrics.gauge("claims", func() float64 {
		n := 0
		c.machine.Read(func(s *state.Store) { n = s.Counts().Claims })
		return float64(n)
	})
}

func (c *Control) liveEntries() int { return int(c.entries.Load()) }

// Ready reports why the replica cannot serve.
func (c *Control) Ready() error {
	if err := c.node.Status().Failed; err != nil {
		return err
	}
	if c.barrier.currentWithin(readyWithin) {
		return nil
	}
	return fault.New(fault.StaleConfig, "no quorum confirmed this replica for %s", readyWithin)
}

// Address returns the address of the listener.
func (c *Control) Address() string { return c.server.Address() }

// Close ends all streams and stops the node.
func (c *Control) Close() error {
	c.cancel()
	err := c.server.Close()
	c.transport.Close()
	c.wg.Wait()
	if e := c.node.Close(); err == nil {
		err = e
	}
	c.pool.Close()
	return err
}
