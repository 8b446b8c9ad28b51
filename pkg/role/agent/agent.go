// Package agent assembles the agent process: the queue, fencing and duplicate
// suppression in front of one upstream.
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

// Control is what the agent needs from control. *control.Client implements it.
type Control interface {
	View() *control.View
	Confirmed() time.Time
	Register(ctx context.Context, announce func() *wirepb.Announcement, changed <-chan struct{}, onOrder control.OrderFunc)
	// Orders returns the order state of this host that control knew after this
	// process had registered, read linearizably.
	Orders() control.Orders
	Claim(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error)
	Resolve(ctx context.Context, req *wirepb.ClaimResolve) (*wirepb.ClaimReply, error)
	Release(ctx context.Context, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error)
	ReadClaim(ctx context.Context, req *wirepb.ClaimRequest, wait time.Duration) (*wirepb.ClaimReply, error)
}

const (
	checkInterval   = 100 * time.Millisecond
	probeInterval   = 500 * time.Millisecond
	headerTimeout   = 2 * time.Second
	receiverTimeout = 10 * time.Second
)

// Options configure an Agent.
type Options struct {
	Settings    Settings
	Control     Control
	Link        link.Options
	Incarnation uint64
	Log         logs.Logger
	Now         func() time.Time
}

// Agent is the agent process without its platform endpoints.
type Agent struct {
	set      Settings
	control  Control
	linkOpts link.Options
	first    uint64 // incarnation at the start of the process
	log      logs.Logger
	now      func() time.Time

	lifecycle *lifecycle.Lifecycle
	queue     *queue
	freed     freedStages
	sessions  *sessions
	upstream  *upstreamState
	orders    *orders
	reports   *reporter
	metrics   *agentMetrics
	client    *upstreams.Client
	pool      *link.Pool
	peers     *peerSet

	pending    chan struct{} // claimed calls without a recorded outcome
	reads      chan struct{} // claim reads for refused calls
	life       context.Context
	end        context.CancelFunc
	background sync.WaitGroup

	upstreamAddress string
	server          *link.Server
	receiver        *http.Server
	loops           sync.WaitGroup
}

// New returns an agent that is not yet listening.
func New(opts Options) *Agent {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	set := opts.Settings
	a := &Agent{
		set:       set,
		control:   opts.Control,
		linkOpts:  opts.Link,
		first:     opts.Incarnation,
		log:       opts.Log.Component("agent"),
		now:       opts.Now,
		lifecycle: lifecycle.NewLifecycle(),
		sessions:  newSessions(opts.Now),
		metrics:   newMetrics(),
		pending:   make(chan struct{}, set.MaxPendingClaims),
		reads:     make(chan struct{}, refusalReads),
		pool:      link.NewPool(opts.Link),
		client:    upstreams.NewClient(upstreams.Options{LineTimeout: set.StepTimeout, MaxLine: set.MaxLine}),
	}
	a.life, a.end = context.WithCancel(context.Background())
	a.freed.now = opts.Now
	a.queue = newQueue(sched.Config{
		MaxQueued: set.MaxQueued, MaxQueuedBytes: set.MaxQueuedBytes,
		UrgentReserve: set.UrgentReserve, ReserveOffset: reserveOffset(set.Host),
	}, opts.Now)
	a.peers = newPeerSet(a.pool, opts.Now)
	a.orders = newOrders(a)
	a.reports = &reporter{agent: a}
	return a
}

// reserveOffset spreads the rounding of the derived reserve over the hosts.
func reserveOffset(host string) float64 {
	const buckets = 1 << 16
	return float64(xxhash.Sum64String(host)%buckets) / buckets
}

// Start listens for entries, other agents and the upstream.
func (a *Agent) Start() error {
	ln, err := net.Listen("tcp", a.set.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen for entries").WithField("agent.listen")
	}
	upstreamLn, err := net.Listen("tcp", a.set.UpstreamListen)
	if err != nil {
		_ = ln.Close()
		return fault.Wrap(err, fault.Unavailable, "listen for the upstream").WithField("agent.upstream_listen")
	}
	a.upstream = newUpstreamState(a.identity(ln), a.set.UpstreamSilence, a.now, a.log, a.setSlots)
	handler := entry.NewServer(a, entry.Options{Log: a.log})
	a.server = link.NewServer(ln, a.linkOpts, handler.Serve, func(err error) { a.log.Warn("connection refused", logs.Err(err)) })
	a.receiver = &http.Server{Handler: upstreams.NewReceiver(a.upstream), ReadHeaderTimeout: headerTimeout, ReadTimeout: receiverTimeout}
	a.loop(func() { _ = a.receiver.Serve(upstreamLn) })
	a.loop(func() { a.queue.run(a.life) })
	a.loop(func() { a.peers.run(a.life) })
	a.loop(func() { a.follow(a.life) })
	a.upstreamAddress = upstreamLn.Addr().String()
	return a.lifecycle.MarkReady()
}

func (a *Agent) identity(ln net.Listener) *wirepb.Announcement {
	address := a.set.Advertise
	if address == "" {
		address = ln.Addr().String()
	}
	return &wirepb.Announcement{
		Host: a.set.Host, DataCentre: a.set.DataCentre, Region: a.set.Region, AgentAddress: address, Incarnation: a.first,
	}
}

func (a *Agent) loop(run func()) {
	a.loops.Add(1)
	go func() {
		defer a.loops.Done()
		run()
	}()
}

// follow watches the upstream's heartbeat and the shares of the policy.
func (a *Agent) follow(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	probed := a.now()
	var policy *wirepb.PolicySpec
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.upstream.check()
		if v := a.control.View(); v != nil && v.Policy != policy {
			policy = v.Policy
			a.queue.setShares(sharesOf(policy))
		}
		if a.now().Sub(probed) >= probeInterval {
			probed = a.now()
			a.probe(ctx)
		}
	}
}

// probe notices a dead upstream before its heartbeat is missed.
func (a *Agent) probe(ctx context.Context) {
	up := a.upstream.view()
	if up == nil {
		return
	}
	if err := a.client.Probe(ctx, up.announced.Address); err != nil && upstreams.Refused(err) {
		a.upstream.refused(up)
	}
}

func sharesOf(p *wirepb.PolicySpec) [sched.NumRanks]float64 {
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

// Run registers with control until ctx ends, then drains: it leaves control,
// refuses new work and returns when all work in progress has finished.
func (a *Agent) Run(ctx context.Context) error {
	registered := make(chan struct{})
	register, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		defer close(registered)
		a.control.Register(register, a.upstream.announcement, a.upstream.changed, a.orders.carryOut)
	}()
	<-ctx.Done()
	a.log.Info("draining", logs.Int("in_progress", a.lifecycle.InFlight()))
	a.lifecycle.Drain()
	leave()
	<-registered
	limit, cancel := context.WithTimeout(context.Background(), a.set.DrainTimeout)
	defer cancel()
	err := a.lifecycle.WaitDrained(limit)
	if err == nil {
		err = a.lifecycle.MarkStopped()
	}
	return err
}

// Close ends all work. It is called after Run, or to stop at once.
func (a *Agent) Close() {
	a.end()
	_ = a.receiver.Close()
	_ = a.server.Close()
	a.loops.Wait()
	a.background.Wait()
	a.pool.Close()
	a.client.Close()
}

// Address returns the address for entries and agents.
func (a *Agent) Address() string { return a.server.Address() }

// UpstreamAddress returns the address for the upstream's announcements.
func (a *Agent) UpstreamAddress() string { return a.upstreamAddress }

// Readiness reports why the agent cannot take work.
func (a *Agent) Readiness() error {
	if err := a.ready(); err != nil {
		return err
	}
	if a.upstream.view() == nil {
		return errNoUpstream()
	}
	return nil
}
