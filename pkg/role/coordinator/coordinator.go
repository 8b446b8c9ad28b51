// Package coordinator implements the coordinator, which controls a fleet whose upstreams
// register themselves by announcements. It replicates the configuration by Raft, keeps the
// registry of instances, assigns model layers to engines and streams updates to the
// gateways, which are the processes that accept requests from callers.
package coordinator

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/core/takeover"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replica"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Options configure a coordinator.
type Options struct {
	Self          *wirepb.Voter // Start sets its id
	InitialVoters []*wirepb.Voter
	// Dir is the data folder. It is empty for a process without a disk, which forwards
	// requests to the leader and never votes.
	Dir               string
	Bootstrap         bool
	Listener          net.Listener
	Link              link.Options
	DataCentre        string
	Dialect           instances.Dialect
	Decode            coordinators.Decoder
	Log               logs.Logger
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// AnnouncementInterval is the usual time between two announcements of an instance.
	AnnouncementInterval time.Duration
	// DrainDelay is how long an instance that announced that it is leaving still gets new
	// work. It is well below the time for which the instance goes on serving.
	DrainDelay time.Duration
}

// Coordinator is a running coordinator without its HTTP listeners. Only the goroutine that
// executes run accesses the registry, the placement and the polls. It is called the owner;
// other goroutines queue functions for it with runOnOwner or postToOwner.
type Coordinator struct {
	opts          Options
	log           logs.Logger
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	stateMachine  *stateMachine
	pool          *link.Pool
	transport     *replicalink.Transport
	node          *replica.Replica // nil without a disk
	server        *link.Server
	leaderWatch   *coordinators.Client
	engines       *instances.EngineClient
	conns         *instances.Pool
	metrics       *metricSet
	config        atomic.Pointer[routing.Configuration]
	seeds         atomic.Pointer[[]string]
	watchers      watchers
	relay         *announcementRelay
	transferSlots chan struct{} // holds one element for each watcher that is being sent the whole registry
	joining       sync.Mutex    // held while a voter is added or removed
	ownerCalls    chan func()   // functions queued for the owner
	configChanges chan struct{} // signals a new configuration to decodeLoop
	stepRequested chan struct{} // makes the owner run a step before its next tick

	// Accessed by the owner only.
	registry        *registry.Registry
	leading         bool
	leaderSince     time.Time
	lastStep        time.Time            // last step as the leader
	lastRaftMessage map[uint64]time.Time // time of the last Raft message by replica id
	placement       *placement
	survey          *takeover.Survey // polls of the engines that were watched before
	polls           map[string]*pollState
	checks          *suspicion.Checks // of engines that gateways reported
	prompts         *quarantine.Tracker
	permits         *route.Permits
	selfReports     selfreport.Book // pauses that engines asked for
	// loggedQuarantines are those of prompts at loggedPromptRevision.
	loggedQuarantines    quarantine.List
	loggedPromptRevision uint64
}

// Start opens the replica and serves peers on the listener until Close.
func Start(o Options) (*Coordinator, error) {
	o.Link.MaxFrameBytes = replicalink.MaxFrameBytes
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		opts: o, log: o.Log.Component("coordinator"), ctx: ctx, cancel: cancel,
		pool: link.NewPool(o.Link), metrics: newMetrics(),
		registry: registry.New(), ownerCalls: make(chan func(), maxOwnerCalls), stepRequested: make(chan struct{}, 1), configChanges: make(chan struct{}, 1),
		transferSlots:   make(chan struct{}, maxConcurrentTransfers),
		lastRaftMessage: make(map[uint64]time.Time), polls: make(map[string]*pollState), checks: suspicion.NewChecks(),
	}
	c.watchers.init()
	c.relay = newAnnouncementRelay(o.AnnouncementInterval)
	var voterAddresses []string
	for _, v := range o.InitialVoters {
		voterAddresses = append(voterAddresses, v.GetPeerAddress())
	}
	seeds := withoutAddress(voterAddresses, o.Self.GetPeerAddress())
	c.seeds.Store(&seeds)
	c.stateMachine = newStateMachine(c.configurationChanged, c.requestStep)
	c.conns = instances.NewPool(o.Dialect, c.metrics.connections.Inc)
	c.engines = instances.NewEngineClient(c.conns, o.Dialect, c.recordEngineReply)
	c.placement, c.survey = newPlacement(c), new(takeover.Survey)
	c.prompts, c.permits = quarantine.NewTracker(promptDelays, nil), route.NewPermits()
	if err := c.openReplica(); err != nil {
		cancel()
		c.pool.Close()
		return nil, err
	}
	c.leaderWatch = coordinators.NewClient(coordinators.Options{
		Seeds: seeds, Host: o.Self.GetHost(), DataCentre: o.DataCentre, IsCoordinator: true,
		Link: o.Link, Decode: o.Decode, Log: o.Log, Paused: c.IsLeader,
	})
	c.server = link.NewServer(o.Listener, o.Link, c.serveStream, func(err error) {
		c.log.Debug("Session refused.", logs.Err(err))
	})
	for _, loop := range []func(){c.run, c.joinLoop, c.decodeLoop, c.relayLoop, func() { c.leaderWatch.Run(ctx) }} {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			loop()
		}()
	}
	return c, nil
}

// maxOwnerCalls bounds the functions that wait for the owner.
const maxOwnerCalls = 1024

// SetSeeds replaces the addresses of the coordinators that are asked for the leader.
func (c *Coordinator) SetSeeds(addresses []string) {
	others := withoutAddress(addresses, c.opts.Self.GetPeerAddress())
	c.seeds.Store(&others)
	c.leaderWatch.SetSeeds(others)
}

func withoutAddress(addresses []string, self string) []string {
	var out []string
	for _, a := range addresses {
		if a != self {
			out = append(out, a)
		}
	}
	return out
}

// otherCoordinators returns the addresses of the seeds and of the coordinators that the
// leader last named. They may contain duplicates.
func (c *Coordinator) otherCoordinators() []string {
	return append(slices.Clone(*c.seeds.Load()), withoutAddress(c.leaderWatch.View().CoordinatorAddresses, c.opts.Self.GetPeerAddress())...)
}

// IsLeader reports whether this replica is the leader.
func (c *Coordinator) IsLeader() bool {
	return c.node != nil && c.node.Status().Role == raft.Leader
}

// leader returns the current leader according to the local replica, or nil.
func (c *Coordinator) leader() *wirepb.Voter {
	if c.node == nil {
		return nil
	}
	s := c.node.Status()
	if s.FatalError != nil {
		return nil
	}
	for _, v := range s.Voters {
		if s.Leader != 0 && v.GetId() == s.Leader {
			return v
		}
	}
	return nil
}

// watchMaxAge is the age up to which the last update of a watch identifies the leader. The
// leader sends several updates in this time.
const watchMaxAge = 700 * time.Millisecond

// watchedLeader returns the peer address of the leader whose updates this process
// receives, or the empty string. Processes that are not voters find the leader this way.
func (c *Coordinator) watchedLeader() string {
	v := c.leaderWatch.View()
	if time.Since(v.ReceivedAt) > watchMaxAge || v.LeaderPeerAddress == c.opts.Self.GetPeerAddress() {
		return ""
	}
	return v.LeaderPeerAddress
}

// leaderPeerAddress returns the address on which the leader accepts other processes of the
// system, or the empty string while none is known.
func (c *Coordinator) leaderPeerAddress() string {
	if v := c.leader(); v != nil {
		return v.GetPeerAddress()
	}
	return c.watchedLeader()
}

// configurationChanged runs on the goroutine that applies the Raft log and does not block.
func (c *Coordinator) configurationChanged() {
	select {
	case c.configChanges <- struct{}{}:
	default:
	}
	c.watchers.signalChange()
}

// decodeLoop decodes the newest configuration. While the log is replayed it skips versions
// that have already been replaced.
func (c *Coordinator) decodeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.configChanges:
			c.decodeNewest()
		}
	}
}

func (c *Coordinator) decodeNewest() {
	version, compressed := c.stateMachine.current()
	conf, err := c.decodeCompressed(compressed)
	if err != nil {
		c.log.Error("Failed to decode the stored configuration.", logs.Uint("version", version), logs.Err(err))
		return
	}
	c.config.Store(conf)
	c.log.Info("Configuration in force.", logs.Uint("version", version), logs.Int("routes", len(conf.Routes)))
}

// requestStep makes the owner run a step before its next tick.
func (c *Coordinator) requestStep() {
	select {
	case c.stepRequested <- struct{}{}:
	default:
	}
}

// runOnOwner runs f on the owner and waits until it has returned.
func (c *Coordinator) runOnOwner(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.ownerCalls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "coordinator did not handle the request in time").WithOutcome(fault.NotRun)
	case <-c.ctx.Done():
		return fault.New(fault.Draining, "coordinator is shutting down").WithOutcome(fault.NotRun)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "coordinator did not handle the request in time").WithOutcome(fault.MayHaveRun)
	case <-c.ctx.Done():
		return fault.New(fault.Draining, "coordinator is shutting down").WithOutcome(fault.MayHaveRun)
	}
}

// runOnOwnerIfLeader runs f on the owner if this replica is the leader and startLeading has
// run. Otherwise it returns a NotLeader error without running f.
func (c *Coordinator) runOnOwnerIfLeader(ctx context.Context, f func()) error {
	leading := false
	err := c.runOnOwner(ctx, func() {
		if leading = c.leading && c.IsLeader(); leading {
			f()
		}
	})
	if err == nil && !leading {
		return c.notLeaderError()
	}
	return err
}

// replyFromOwner runs f on the owner if this replica is the leader, and writes the frame that
// f returns, or the error, to a stream.
func (c *Coordinator) replyFromOwner(s *wire.Stream, f func() *wirepb.Frame) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	var reply *wirepb.Frame
	if err := c.runOnOwnerIfLeader(ctx, func() { reply = f() }); err != nil {
		_ = s.WriteError(err)
		return
	}
	_ = s.Write(reply)
}

// postToOwner queues f for the owner and does not wait until it has run.
func (c *Coordinator) postToOwner(f func()) {
	select {
	case c.ownerCalls <- f:
	case <-c.ctx.Done():
	}
}

const (
	// tickInterval is the time between two steps of the owner.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two steps above which the process or its host is
	// taken to have been suspended.
	pauseThreshold = time.Second
	// maxMissedAnnouncements is the number of announcement intervals after which a silent
	// instance that is not polled is removed. Announcements may arrive seconds late.
	maxMissedAnnouncements = 5
)

// run is the owner: it executes queued functions and periodic steps one at a time.
func (c *Coordinator) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.ownerCalls:
			f()
		case <-c.stepRequested:
			c.step(time.Now())
		case now := <-ticker.C:
			c.step(now)
		}
	}
}

func (c *Coordinator) step(now time.Time) {
	leads := c.IsLeader()
	if leads && !c.leading {
		c.startLeading(now)
	}
	if !leads && c.leading {
		c.log.Info("No longer the leader.")
		c.watchers.signalChange()
	}
	c.leading = leads
	if !leads {
		return
	}
	if pause := now.Sub(c.lastStep); pause > pauseThreshold {
		c.log.Warn("This process did not run.", logs.Dur("pause", pause))
		c.registry.ExtendLifetimes(pause)
	}
	c.lastStep = now
	before := c.registry.Revision()
	c.registry.RecordDepartures(now, c.stateMachine.departures())
	for _, id := range c.registry.Expire(now, maxMissedAnnouncements*c.opts.AnnouncementInterval) {
		c.log.Info("Instance forgotten.", logs.Str("instance", id), logs.Str("reason", "no announcement"))
	}
	for _, id := range c.registry.DrainLeaving(now, c.opts.DrainDelay) {
		c.log.Info("Instance gets no more work.", logs.Str("instance", id))
	}
	c.poll(now)
	c.placement.step(now)
	c.stepPrompts(now)
	c.forgetPermits()
	if c.registry.Revision() != before {
		c.watchers.signalChange()
	}
}

// startLeading builds the registry from the instances that the previous leader last sent
// to this replica.
func (c *Coordinator) startLeading(now time.Time) {
	c.leaderSince, c.lastStep = now, now
	view := c.leaderWatch.View()
	var viewAge time.Duration // zero if no leader was watched before
	if !view.ReceivedAt.IsZero() {
		viewAge = now.Sub(view.ReceivedAt)
	}
	var known []*wirepb.Instance
	leaving := 0
	for _, in := range view.Instances {
		known = append(known, in)
		if in.GetLeaving() {
			leaving++
		}
	}
	c.registry = registry.New()
	departures := c.stateMachine.departures()
	c.registry.RecordDepartures(now, departures)
	c.mergeInstances(now, known, c.opts.Self.GetHost())
	c.registry.RecordLeft(now, c.leaderWatch.LeftInstances())
	c.placement = newPlacement(c)
	c.survey = takeover.NewSurvey(viewAge, view.Complete, c.polledEngines())
	c.polls, c.checks = make(map[string]*pollState), suspicion.NewChecks()
	c.prompts = quarantine.NewTracker(promptDelays, view.Prompts.Quarantines)
	c.permits = route.NewPermits()
	c.loggedQuarantines, c.loggedPromptRevision = c.prompts.Quarantines(), c.prompts.Revision()
	c.log.Info("Leads now.", logs.Uint("term", c.node.Status().Term), logs.Int("instances", len(known)), logs.Int("leaving", leaving), logs.Int("departures", len(departures)), logs.Dur("view_age", viewAge))
}

// Close ends all streams and stops the replica.
func (c *Coordinator) Close() error {
	var err error
	if c.node != nil {
		err = c.node.Close() // transfers the leadership to another voter
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
