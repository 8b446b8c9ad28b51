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

// Options configure a control replica.
type Options struct {
	ID       uint64
	Host     string
	Listener net.Listener // for entries, agents and other replicas
	Link     link.Options
	// Seeds are the replicas to contact before the log provides the voters.
	Seeds []*wirepb.Voter
	// OpenNode starts the node with the state machine and the transport.
	OpenNode func(*StateMachine, *replicalink.Transport) (Node, error)
	Log      logs.Logger
	Now      func() time.Time
	// MaxLoadDuration is the longest time from the proposal time of a load
	// order to the result from its agent.
	MaxLoadDuration time.Duration
}

// defaultMaxLoadDuration covers the default engine.order_timeout of agents and
// the time to commit an order.
const defaultMaxLoadDuration = 40 * time.Second

// Control is a running control replica: the control process without its admin
// listener.
type Control struct {
	opts                    Options
	log                     logs.Logger
	ctx                     context.Context
	cancel                  context.CancelFunc
	wg                      sync.WaitGroup
	machine                 *StateMachine
	transport               *replicalink.Transport
	pool                    *link.Pool
	node                    Node
	proposer                *proposer
	barrier                 *readBarrier
	registry                *Registry
	watchers                *watchers
	feed                    *eventFeed
	peers                   *peers
	orders                  *orderExecutor
	metrics                 *controlMetrics
	server                  *link.Server
	reportRequests          chan struct{} // requests a status report to the other replicas
	progressChanged         *changeSignal // broadcast after progress of watchers of any replica
	claimRequestsInProgress atomic.Int64
	liveEntryCount          atomic.Int64 // cached number of live entries
	registryChangePending   atomic.Bool  // the registry changed since watchers were notified
}

// Start opens the node, serves the listener and returns the running replica.
func Start(opts Options) (*Control, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.MaxLoadDuration == 0 {
		opts.MaxLoadDuration = defaultMaxLoadDuration
	}
	opts.Link.MaxFrameBytes = replicalink.MaxFrameBytes
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		opts:            opts,
		log:             opts.Log.Component("control"),
		ctx:             ctx,
		cancel:          cancel,
		machine:         NewStateMachine(),
		pool:            link.NewPool(opts.Link),
		watchers:        newWatchers(),
		metrics:         newMetrics(),
		reportRequests:  make(chan struct{}, 1),
		progressChanged: newChangeSignal(),
	}
	c.registry = NewRegistry(c.registryChanged)
	c.peers = newPeers(c.progressChanged.broadcast)
	c.feed = newEventFeed(c.machine, c.registry, c.liveEntries)
	c.orders = newOrderExecutor(c)
	if err := c.open(); err != nil {
		cancel()
		c.pool.Close()
		return nil, err
	}
	c.run()
	return c, nil
}

func (c *Control) open() error {
	c.transport = replicalink.NewTransport(c.opts.ID, c.opts.Seeds, c.pool, c.opts.Log.Component("transport"))
	c.transport.OnMessageDropped = c.metrics.droppedMessages.Inc
	c.transport.OnVotersChanged = c.votersChanged
	c.machine.onRevision = c.watchers.notify
	node, err := c.opts.OpenNode(c.machine, c.transport)
	if err != nil {
		c.transport.Close()
		return err
	}
	c.node = node
	c.transport.SetLeaderTermFunc(func() (uint64, bool) {
		s := node.Status()
		return s.Term, s.Leader == s.ID
	})
	if voters := node.Status().Voters; len(c.feed.voters.Load().voters) == 0 && len(voters) > 0 {
		c.feed.setVoters(voters)
	}
	c.barrier = newReadBarrier(node, c.opts.Now)
	c.proposer = &proposer{node: node, pool: c.pool, now: c.proposalTime, metrics: c.metrics}
	c.registerGauges()
	return nil
}

func (c *Control) run() {
	for _, loop := range []func(){func() { c.barrier.run(c.ctx) }, c.sweepLoop, c.statusReportLoop, c.monitorLoop} {
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

// votersChanged is called on a goroutine of the node and must not block.
func (c *Control) votersChanged(voters []*wirepb.Voter) {
	c.peers.retainVoters(voters)
	c.feed.setVoters(voters)
	c.watchers.notify()
}

// registryChanged notifies watchers at once when an upstream stops accepting
// work. Other changes are batched until the next sweep: when a replica starts,
// thousands of agents register within a second, and each registration would
// wake every watcher.
func (c *Control) registryChanged(urgent bool) {
	if urgent {
		c.watchers.notify()
		return
	}
	c.registryChangePending.Store(true)
}

// sweepLoop runs sweep at each sweepInterval.
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
	if c.registryChangePending.Swap(false) {
		c.watchers.notify()
	}
	c.liveEntryCount.Store(int64(c.peers.liveEntries(now)))
	for _, reg := range c.registry.Sweep(now) {
		c.metrics.expiredUpstreams.Inc()
		c.log.Info("upstream expired", logs.Str("upstream", reg.host))
		reg.stream.closeWithError(fault.New(fault.StaleEpoch, "lease of %s has passed", reg.host).WithField("announcement.incarnation"))
	}
}

// monitorLoop logs changes of leader and a failure of the node. It submits a
// read index at each interval, so that readiness rests on a recent
// confirmation by a quorum.
func (c *Control) monitorLoop() {
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
		if status.FatalError != nil && !failed {
			c.log.Error("replica stopped", logs.Err(status.FatalError))
		}
		failed = status.FatalError != nil // ends where a full disk has room again
		if status.Leader != leader && status.Leader != 0 {
			c.metrics.leaderChanges.Inc()
			c.log.Info("leader changed", logs.Uint("leader", status.Leader), logs.Uint("term", status.Term))
			leader = status.Leader
		}
	}
}

func (c *Control) registerGauges() {
	c.metrics.addGauge("watchers", func() float64 { return float64(c.watchers.count()) })
	c.metrics.addGauge("upstreams", func() float64 { return float64(c.registry.Count()) })
	c.metrics.addGauge("live_entries", func() float64 { return float64(c.liveEntries()) })
	c.metrics.addGauge("revision", func() float64 { return float64(c.machine.Revision()) })
	c.metrics.addGauge("applied_index", func() float64 { return float64(c.node.Status().Applied) })
	c.metrics.addGauge("term", func() float64 { return float64(c.node.Status().Term) })
	c.metrics.addGauge("claims", func() float64 {
		n := 0
		c.machine.Read(func(s *state.Store) { n = s.Counts().Claims })
		return float64(n)
	})
}

func (c *Control) liveEntries() int { return int(c.liveEntryCount.Load()) }

// Ready returns nil if a quorum has confirmed this replica recently, otherwise
// the reason why it cannot serve.
func (c *Control) Ready() error {
	if err := c.node.Status().FatalError; err != nil {
		return err
	}
	if c.barrier.confirmedWithin(maxConfirmationAge) {
		return nil
	}
	return fault.New(fault.StaleConfig, "no quorum confirmed this replica for %s", maxConfirmationAge)
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
