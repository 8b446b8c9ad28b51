// Package coordinator assembles the control process of a fleet whose upstreams
// announce themselves: the replicated configuration, the registry of instances,
// the placement of layers and the feed to the entries.
package coordinator

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replica"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Options assemble a coordinator.
type Options struct {
	Self     *wirepb.Voter // id zero where the disk names it
	Founders []*wirepb.Voter
	// Dir is the data folder; empty for a process without a disk, which
	// forwards to the leader and never votes.
	Dir             string
	Bootstrap       bool
	Listener        net.Listener
	Link            link.Options
	DataCentre      string
	Dialect         instances.Dialect
	Decode          coordinators.Decoder
	Log             logs.Logger
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// BeatInterval is the usual time between two announcements of an instance.
	BeatInterval time.Duration
	// DrainGrace is the time for which an instance that leaves still gets work,
	// well within the time for which it serves on.
	DrainGrace time.Duration
}

// Coordinator is a running control process without its HTTP listeners.
type Coordinator struct {
	opts      Options
	log       logs.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	machine   *machine
	pool      *link.Pool
	transport *replicalink.Transport
	node      *replica.Replica // nil without a disk
	server    *link.Server
	mirror    *coordinators.Client
	engines   *instances.EngineClient
	conns     *instances.Pool
	metrics   *metricSet
	config    atomic.Pointer[routing.Configuration]
	seeds     atomic.Pointer[[]string]
	watchers  watchers
	relay     *beatRelay
	transfers chan struct{} // holds one element a transfer of many instances
	joining   sync.Mutex    // held while a replica is being added
	calls     chan func()
	changed   chan struct{} // the configuration changed
	urgent    chan struct{} // asks the owner for a step without a tick

	// Owned by the goroutine run.
	registry  *registry.Registry
	leading   bool
	ledSince  time.Time
	stepped   time.Time            // last step as the leader
	heard     map[uint64]time.Time // last message of each replica
	placement *placement
	polls     map[string]*pollState
}

// Start opens the replica and serves the listener.
func Start(o Options) (*Coordinator, error) {
	o.Link.MaxFrame = replicalink.MaxFrame
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		opts: o, log: o.Log.Part("coordinator"), ctx: ctx, cancel: cancel,
		pool: link.NewPool(o.Link), metrics: newMetrics(),
		registry: registry.New(), calls: make(chan func(), callQueue), urgent: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		transfers: make(chan struct{}, maxTransfers),
		heard:     make(map[uint64]time.Time), polls: make(map[string]*pollState),
	}
	c.watchers.init()
	c.relay = newBeatRelay(o.BeatInterval)
	var founders []string
	for _, v := range o.Founders {
		founders = append(founders, v.GetPeerAddress())
	}
	seeds := without(founders, o.Self.GetPeerAddress())
	c.seeds.Store(&seeds)
	c.machine = newMachine(c.configurationChanged)
	c.conns = instances.NewPool(o.Dialect, c.metrics.connections.Inc)
	c.engines = instances.NewEngineClient(c.conns, o.Dialect)
	c.placement = newPlacement(c)
	if err := c.openReplica(); err != nil {
		cancel()
		c.pool.Close()
		return nil, err
	}
	c.mirror = coordinators.NewClient(coordinators.Options{
		Seeds: seeds, Host: o.Self.GetHost(), DataCentre: o.DataCentre, Replica: true,
		Link: o.Link, Decode: o.Decode, Log: o.Log, Paused: c.Leads,
	})
	c.server = link.NewServer(o.Listener, o.Link, c.serveStream, func(err error) {
		c.log.Debug("Session refused.", logs.Err(err))
	})
	for _, loop := range []func(){c.run, c.joinLoop, c.decodeLoop, c.relayLoop, func() { c.mirror.Run(ctx) }} {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			loop()
		}()
	}
	return c, nil
}

// callQueue bounds the calls that wait for the owner.
const callQueue = 1024

// SetSeeds replaces the addresses of replicas that are asked for the leader.
func (c *Coordinator) SetSeeds(addresses []string) {
	others := without(addresses, c.opts.Self.GetPeerAddress())
	c.seeds.Store(&others)
	c.mirror.SetSeeds(others)
}

func without(addresses []string, self string) []string {
	var out []string
	for _, a := range addresses {
		if a != self {
			out = append(out, a)
		}
	}
	return out
}

// otherReplicas returns the replicas that may know the leader.
func (c *Coordinator) otherReplicas() []string {
	return append(slices.Clone(*c.seeds.Load()), without(c.mirror.View().Control, c.opts.Self.GetPeerAddress())...)
}

// Leads reports whether this replica is the leader.
func (c *Coordinator) Leads() bool {
	return c.node != nil && c.node.Status().Role == raft.Leader
}

// leader returns the leader that this process knows of, or nil.
func (c *Coordinator) leader() *wirepb.Voter {
	if c.node == nil {
		return nil
	}
	s := c.node.Status()
	if s.Failed != nil {
		return nil
	}
	for _, v := range s.Voters {
		if s.Leader != 0 && v.GetId() == s.Leader {
			return v
		}
	}
	return nil
}

// watchFresh is the age up to which a watch tells who leads: the leader sends
// several updates in this time.
const watchFresh = 700 * time.Millisecond

// watchedLeader returns the address of the leader that feeds this process, for
// those that are no voters, or the empty string.
func (c *Coordinator) watchedLeader() string {
	v := c.mirror.View()
	if time.Since(v.Received) > watchFresh || v.Leader == c.opts.Self.GetPeerAddress() {
		return ""
	}
	return v.Leader
}

// leaderPeer returns the address of the leader for other processes of the system, or
// the empty string.
func (c *Coordinator) leaderPeer() string {
	if v := c.leader(); v != nil {
		return v.GetPeerAddress()
	}
	return c.watchedLeader()
}

// configurationChanged runs on the goroutine that applies the log.
func (c *Coordinator) configurationChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
	c.watchers.wake()
}

// decodeLoop decodes the newest configuration. A replica that replays its log
// skips those that were replaced meanwhile.
func (c *Coordinator) decodeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.changed:
			c.decodeNewest()
		}
	}
}

func (c *Coordinator) decodeNewest() {
	version, packed := c.machine.current()
	conf, err := c.unpack(packed)
	if err != nil {
		c.log.Error("Stored configuration cannot be read.", logs.Uint("version", version), logs.Err(err))
		return
	}
	c.config.Store(conf)
	c.log.Info("Configuration in force.", logs.Uint("version", version), logs.Int("routes", len(conf.Routes)))
}

// wakeOwner asks for a step of the owner without waiting for its tick.
func (c *Coordinator) wakeOwner() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// call runs f on the owner and waits for it.
func (c *Coordinator) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "coordinator is busy").WithOutcome(fault.NotRun)
	case <-c.ctx.Done():
		return fault.New(fault.Draining, "coordinator stops").WithOutcome(fault.NotRun)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "coordinator is busy").WithOutcome(fault.MayHaveRun)
	case <-c.ctx.Done():
		return fault.New(fault.Draining, "coordinator stops").WithOutcome(fault.MayHaveRun)
	}
}

// callLeading runs f on the owner if this replica leads and its owner has taken over.
func (c *Coordinator) callLeading(ctx context.Context, f func()) error {
	leading := false
	err := c.call(ctx, func() {
		if leading = c.leading && c.Leads(); leading {
			f()
		}
	})
	if err == nil && !leading {
		return c.notLeader()
	}
	return err
}

// post runs f on the owner without waiting.
func (c *Coordinator) post(f func()) {
	select {
	case c.calls <- f:
	case <-c.ctx.Done():
	}
}

const (
	// tick is the interval of the owner's own work.
	tick = 100 * time.Millisecond
	// pausedFor is the time between two ticks that shows that the process, or
	// its host, stood still.
	pausedFor = time.Second
	// missedBeats after which an instance that is not polled is forgotten:
	// announcements may come seconds late.
	missedBeats = 5
)

// run owns the registry.
func (c *Coordinator) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.calls:
			f()
		case <-c.urgent:
			c.step(time.Now())
		case now := <-ticker.C:
			c.step(now)
		}
	}
}

func (c *Coordinator) step(now time.Time) {
	leads := c.Leads()
	if leads && !c.leading {
		c.takeOver(now)
	}
	if !leads && c.leading {
		c.log.Info("No longer the leader.")
		c.watchers.wake()
	}
	c.leading = leads
	if !leads {
		return
	}
	if pause := now.Sub(c.stepped); pause > pausedFor {
		c.log.Warn("This process did not run.", logs.Dur("pause", pause))
		c.registry.Forgive(pause)
	}
	c.stepped = now
	before := c.registry.Revision()
	for _, id := range c.registry.Expire(now, missedBeats*c.opts.BeatInterval) {
		c.log.Info("Instance forgotten.", logs.Str("instance", id), logs.Str("reason", "no announcement"))
	}
	for _, id := range c.registry.Drain(now, c.opts.DrainGrace) {
		c.log.Info("Instance gets no more work.", logs.Str("instance", id))
	}
	c.poll(now)
	c.placement.step(now)
	if c.registry.Revision() != before {
		c.watchers.wake()
	}
}

// takeOver starts from what the last leader told this replica.
func (c *Coordinator) takeOver(now time.Time) {
	c.ledSince, c.stepped = now, now
	view := c.mirror.View()
	var known []*wirepb.Instance
	for _, in := range view.Instances {
		known = append(known, in)
	}
	c.registry = registry.New()
	c.registry.Merge(now, known)
	c.placement = newPlacement(c)
	c.polls = make(map[string]*pollState)
	c.log.Info("Leads now.", logs.Uint("term", c.node.Status().Term), logs.Int("instances", len(known)))
}

// Close ends all streams and stops the replica.
func (c *Coordinator) Close() error {
	var err error
	if c.node != nil {
		err = c.node.Close() // hands the leadership over
	}
	c.cancel()
	if e := c.server.Close(); err == nil {
		err = e
	}
	if c.transport != nil {
		c.transport.Close()
	}
	c.wg.Wait()
	c.pool.Close()
	return err
}
