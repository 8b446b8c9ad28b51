// Package agent implements the agent process: request queueing, session fencing
// and duplicate suppression in front of one upstream.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/entry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ControlClient is the part of the control client that the agent uses.
// *control.Client implements it.
type ControlClient interface {
	View() *control.View
	Confirmed() time.Time
	Register(ctx context.Context, announce func() *wirepb.Announcement, changed <-chan struct{}, onOrder control.OrderHandler)
	// Orders returns this host's order state. It comes from a linearizable read
	// that control answered after this process had registered.
	Orders() control.OrderState
	Claim(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error)
	Resolve(ctx context.Context, req *wirepb.ClaimResolve) (*wirepb.ClaimReply, error)
	Release(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error)
	ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error)
}

const (
	upstreamCheckInterval = 100 * time.Millisecond
	probeInterval         = 500 * time.Millisecond
	upstreamHeaderTimeout = 2 * time.Second
	upstreamReadTimeout   = 10 * time.Second
)

// Options configure an Agent.
type Options struct {
	Settings      Settings
	ControlClient ControlClient
	Link          link.Options
	Incarnation   uint64
	Log           logs.Logger
	Now           func() time.Time
}

// Agent is the agent process without its health and metrics endpoints.
type Agent struct {
	settings           Settings
	control            ControlClient
	linkOpts           link.Options
	initialIncarnation uint64 // incarnation at the start of the process
	log                logs.Logger
	now                func() time.Time

	lifecycle     *lifecycle.Lifecycle
	queue         *queue
	freed         freedStageList
	sessionFences *sessionFences
	upstream      *upstreamState
	orders        *orderRunner
	loadReports   *reportCache
	metrics       *agentMetrics
	client        *upstreams.Client
	pool          *link.Pool
	peers         *peerSet

	pendingClaims    chan struct{} // semaphore: claimed calls without a recorded outcome
	refusalReadSlots chan struct{} // semaphore: claim reads for refused calls
	baseCtx          context.Context
	cancelBase       context.CancelFunc
	background       sync.WaitGroup

	upstreamListenAddress string
	linkServer            *link.Server
	upstreamServer        *http.Server
	loops                 sync.WaitGroup
}

// New returns an agent that is not yet listening.
func New(opts Options) *Agent {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	settings := opts.Settings
	a := &Agent{
		settings:           settings,
		control:            opts.ControlClient,
		linkOpts:           opts.Link,
		initialIncarnation: opts.Incarnation,
		log:                opts.Log.Component("agent"),
		now:                opts.Now,
		lifecycle:          lifecycle.NewLifecycle(),
		sessionFences:      newSessionFences(opts.Now),
		metrics:            newMetrics(),
		pendingClaims:      make(chan struct{}, settings.MaxPendingClaims),
		refusalReadSlots:   make(chan struct{}, maxRefusalReads),
		pool:               link.NewPool(opts.Link),
	}
	a.client = upstreams.NewClient(upstreams.Options{LineTimeout: settings.StepTimeout, MaxLineBytes: settings.MaxLine, OnSelfReport: a.recordSelfReport})
	a.baseCtx, a.cancelBase = context.WithCancel(context.Background())
	a.freed.now = opts.Now
	a.queue = newQueue(sched.Config{
		MaxQueued: settings.MaxQueued, MaxQueuedBytes: settings.MaxQueuedBytes,
		UrgentReserve: settings.UrgentReserve, ReserveOffset: reserveOffset(settings.Host),
	}, opts.Now)
	a.peers = newPeerSet(a.pool, opts.Now)
	a.orders = newOrderRunner(a)
	a.loadReports = &reportCache{agent: a}
	return a
}

// reserveOffset returns a number in [0, 1) that depends on the host. The
// scheduler adds it to the number of reserved slots before it rounds down (see
// sched.Config), so that the rounding errors of all hosts average out.
func reserveOffset(host string) float64 {
	const buckets = 1 << 16
	return float64(xxhash.Sum64String(host)%buckets) / buckets
}

// Start opens the listeners for entries, other agents and the upstream, and
// starts the background loops.
func (a *Agent) Start() error {
	listener, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen for entries").WithField("agent.listen")
	}
	upstreamListener, err := net.Listen("tcp", a.settings.UpstreamListen)
	if err != nil {
		_ = listener.Close()
		return fault.Wrap(err, fault.Unavailable, "listen for the upstream").WithField("agent.upstream_listen")
	}
	a.upstream = newUpstreamState(a.baseAnnouncement(listener), a.settings.HeartbeatTimeout, a.now, a.log, a.setSlots)
	handler := entry.NewServer(a, entry.Options{Log: a.log})
	a.linkServer = link.NewServer(listener, a.linkOpts, handler.Serve, func(err error) { a.log.Warn("rejected an incoming connection", logs.Err(err)) })
	a.upstreamServer = &http.Server{Handler: upstreams.NewReceiver(a.upstream), ReadHeaderTimeout: upstreamHeaderTimeout, ReadTimeout: upstreamReadTimeout}
	a.startLoop(func() { _ = a.upstreamServer.Serve(upstreamListener) })
	a.startLoop(func() { a.queue.run(a.baseCtx) })
	a.startLoop(func() { a.peers.run(a.baseCtx) })
	a.startLoop(func() { a.runPeriodicChecks(a.baseCtx) })
	a.upstreamListenAddress = upstreamListener.Addr().String()
	return a.lifecycle.MarkReady()
}

func (a *Agent) baseAnnouncement(listener net.Listener) *wirepb.Announcement {
	address := a.settings.Advertise
	if address == "" {
		address = listener.Addr().String()
	}
	return &wirepb.Announcement{
		Host: a.settings.Host, DataCentre: a.settings.DataCentre, Region: a.settings.Region, AgentAddress: address, Incarnation: a.initialIncarnation,
	}
}

func (a *Agent) startLoop(run func()) {
	a.loops.Add(1)
	go func() {
		defer a.loops.Done()
		run()
	}()
}

// runPeriodicChecks checks the upstream's heartbeat, probes the upstream and
// applies the policy's rank shares until ctx ends.
func (a *Agent) runPeriodicChecks(ctx context.Context) {
	ticker := time.NewTicker(upstreamCheckInterval)
	defer ticker.Stop()
	lastProbe := a.now()
	var policy *wirepb.PolicySpec
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.upstream.checkHeartbeat()
		if v := a.control.View(); v != nil && v.Policy != policy {
			policy = v.Policy
			a.queue.setShares(minRankShares(policy))
		}
		if a.now().Sub(lastProbe) >= probeInterval {
			lastProbe = a.now()
			a.probeUpstream(ctx)
		}
	}
}

// probeUpstream ejects an upstream that refuses connections without waiting for
// the heartbeat timeout.
func (a *Agent) probeUpstream(ctx context.Context) {
	up := a.upstream.currentUpstream()
	if up == nil {
		return
	}
	if err := a.client.Probe(ctx, up.announced.Address); err != nil && upstreams.IsConnectionRefused(err) {
		a.upstream.ejectIfCurrent(up)
	}
}

func minRankShares(p *wirepb.PolicySpec) [sched.NumRanks]float64 {
	total := float64(p.GetUrgentPercent() + p.GetStandardPercent() + p.GetBatchPercent())
	if total == 0 {
		return sched.DefaultMinShares
	}
	return [sched.NumRanks]float64{
		float64(p.GetUrgentPercent()) / total,
		float64(p.GetStandardPercent()) / total,
		float64(p.GetBatchPercent()) / total,
	}
}

// Run registers with control until ctx ends, then drains: it deregisters,
// refuses new work and returns when all work in progress has finished or
// DrainTimeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	registrationEnded := make(chan struct{})
	registerCtx, stopRegistration := context.WithCancel(context.Background())
	defer stopRegistration()
	go func() {
		defer close(registrationEnded)
		a.control.Register(registerCtx, a.upstream.announcement, a.upstream.changed, a.orders.executeOrder)
	}()
	<-ctx.Done()
	a.log.Info("draining", logs.Int("in_progress", a.lifecycle.InFlight()))
	a.lifecycle.Drain()
	stopRegistration()
	<-registrationEnded
	drainCtx, cancel := context.WithTimeout(context.Background(), a.settings.DrainTimeout)
	defer cancel()
	err := a.lifecycle.WaitDrained(drainCtx)
	if err == nil {
		err = a.lifecycle.MarkStopped()
	}
	return err
}

// Close cancels all work and releases all resources. It is called after Run, or
// earlier to stop at once.
func (a *Agent) Close() {
	a.cancelBase()
	_ = a.upstreamServer.Close()
	_ = a.linkServer.Close()
	a.loops.Wait()
	a.background.Wait()
	a.pool.Close()
	a.client.Close()
}

// Address returns the listen address for entries and other agents.
func (a *Agent) Address() string { return a.linkServer.Address() }

// UpstreamListenAddress returns the listen address for the upstream's
// announcements.
func (a *Agent) UpstreamListenAddress() string { return a.upstreamListenAddress }

// Ready returns the reason why the agent cannot take work, or nil.
func (a *Agent) Ready() error {
	if err := a.checkConfigAge(); err != nil {
		return err
	}
	if a.upstream.currentUpstream() == nil {
		return errNoUpstream()
	}
	return nil
}
