// Package gateway implements the router process of a deployment whose upstreams
// announce themselves. It accepts requests from callers, selects an upstream or a path
// of engines, and relays replies and event streams.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/core/stopping"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/httpconn"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replybody"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
)

// Options configures a Gateway.
type Options struct {
	Host         string
	DataCentre   string
	Coordinators []string // addresses of the coordinators
	Link         link.Options
	Dialect      instances.Dialect
	Decode       coordinators.Decoder
	// RetryBudget bounds the retries of all gateways together.
	RetryBudget route.FleetRetryBudget
	// ReplyMemoryBytes bounds the memory of the replies of plain services that are read whole,
	// apart from the first part of each.
	ReplyMemoryBytes int64
	// BodyMemoryBytes bounds the memory of the request bodies that are being received or held,
	// apart from the first 4 KiB of each. Zero is no limit.
	BodyMemoryBytes int64
	// MaxConnections bounds the open connections of callers. Zero is no limit.
	MaxConnections int
	Log            logs.Logger
}

// Gateway routes requests to upstreams. The process that starts it owns the listeners.
type Gateway struct {
	opts          Options
	log           logs.Logger
	client        *coordinators.Client
	pool          *instances.Pool
	replyMemory   *replybody.Memory
	bodies        *requestbody.Memory
	engines       *instances.EngineClient
	metrics       *metricSet
	lifecycle     *lifecycle.Lifecycle
	view          atomic.Pointer[view]
	streams       streams
	callerConns   *httpconn.Tracker
	load          loadTracker
	retryBudgets  retryBudgets
	linkBudgets   linkBudgets
	requestLimits requestLimits
	selfReports   selfreport.Book
	pace          stopping.Pace
	callTimes     stopping.CallTimes
	stopsAt       atomic.Pointer[time.Time] // end of the grace period, nil before a stop
	prompts       *promptEvidence
	losses        *lossReports
	repairSignal  chan struct{}
	startedAt     time.Time
	gatewayCount  route.ProcessCount // accessed by viewChanged only
	// closedLoggedAt and closedSinceLog are accessed by recordClosed only.
	closedLoggedAt time.Time
	closedSinceLog int
	wg             sync.WaitGroup
	cancel         context.CancelFunc
	requests       context.Context // parent of the contexts of all requests
	endRequests    context.CancelCauseFunc
}

// Start returns a Gateway that watches the coordinators until Close is called.
func Start(o Options) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		opts: o, log: o.Log.Component("gateway"), metrics: newMetrics(), lifecycle: lifecycle.NewLifecycle(),
		repairSignal: make(chan struct{}, 1), cancel: cancel, startedAt: time.Now(),
	}
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.load.init()
	g.streams.init()
	g.requestLimits.init()
	g.retryBudgets.init(o.RetryBudget)
	g.prompts, g.losses = newPromptEvidence(), newLossReports()
	g.view.Store(&view{})
	g.replyMemory = replybody.NewMemory(o.ReplyMemoryBytes)
	g.bodies = requestbody.NewMemory(o.BodyMemoryBytes, g.metrics.set, "plantain_gateway")
	g.callerConns = httpconn.NewLimitedTracker(httpconn.Limit{
		MaxConns: o.MaxConnections, ReceiveBufferBytes: receiveBufferBytes,
		AbortUnfinished: g.bodies.EvictStalled, OnClosed: g.recordClosed,
	})
	g.pool = instances.NewPool(o.Dialect, g.metrics.connections.Inc)
	g.engines = instances.NewEngineClient(g.pool, o.Dialect, g.recordOrderReply)
	g.client = coordinators.NewClient(coordinators.Options{
		Seeds: o.Coordinators, Host: o.Host, DataCentre: o.DataCentre, Link: o.Link,
		Decode: o.Decode, Log: o.Log, OnChange: g.viewChanged,
	})
	for _, loop := range []func(){func() { g.client.Run(ctx) }, func() { g.repairLoop(ctx) }, func() { g.reportPrompts(ctx) },
		func() { g.checkSilence(ctx) }, func() { g.reportLosses(ctx) }} {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			loop()
		}()
	}
	return g
}

// viewChanged installs a new view. It runs on the goroutine that watches the
// coordinators and must not block.
func (g *Gateway) viewChanged(v *coordinators.View) {
	g.view.Store(newView(v, g.gatewayCount.Update(time.Now(), v.GatewayCount)))
	g.retryBudgets.resize(v.GatewayCount)
	g.prompts.setWatched(leaderTerm{v.LeaderPeerAddress, v.Term}, v.Prompts.Watched)
	select {
	case g.repairSignal <- struct{}{}:
	default:
	}
}

// Lifecycle returns the lifecycle state of the process.
func (g *Gateway) Lifecycle() *lifecycle.Lifecycle { return g.lifecycle }

// Ready returns an error while the gateway cannot serve, and nil once it has a
// configuration.
func (g *Gateway) Ready() error {
	if g.view.Load().conf == nil {
		return fault.New(fault.StaleConfig, "no configuration is known")
	}
	return nil
}

// SetCoordinators replaces the addresses of the coordinators.
func (g *Gateway) SetCoordinators(addresses []string) { g.client.SetSeeds(addresses) }

// Close stops the background work of the gateway and waits for it. Requests in progress
// end with the listeners.
func (g *Gateway) Close() {
	g.cancel()
	g.wg.Wait()
}

const (
	// headerTimeout and idleTimeout exceed what a configuration allows callers, who
	// disconnect earlier.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader, in bytes, is four times the documented limit. The handler enforces the
	// configured limit, so that a configuration can't allow more than this.
	maxHeader = 64 << 10
	// receiveBufferBytes bounds what callers send faster than it is read. A body of 4 MiB needs
	// 32 round trips with it.
	receiveBufferBytes = 128 << 10
	// closedLogInterval bounds the log lines about connections that are closed at the limit.
	closedLogInterval = time.Second
)

// NewServer returns the HTTP server for callers. It must serve a listener of
// CallerConnections.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           alice.New(g.track).ThenFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         g.callerConns.OnStateChange,
		BaseContext:       func(net.Listener) context.Context { return g.requests },
	}
}

// CallerConnections returns the tracker of the connections of callers.
func (g *Gateway) CallerConnections() *httpconn.Tracker { return g.callerConns }

// recordClosed records a connection that was closed at the limit. The connection tracker calls
// it with its lock held, so that calls do not overlap.
func (g *Gateway) recordClosed(which httpconn.Closed) {
	g.metrics.closedAtLimit[which].Inc()
	g.closedSinceLog++
	if now := time.Now(); now.Sub(g.closedLoggedAt) >= closedLogInterval {
		g.log.Warn("Connections closed at the limit.", logs.Int("count", g.closedSinceLog), logs.Str("last", which.String()))
		g.closedLoggedAt, g.closedSinceLog = now, 0
	}
}

// BeginStop makes the gateway not ready and ask callers to close their connections. From
// now on it refuses requests that would not end by the given time.
func (g *Gateway) BeginStop(end time.Time) {
	g.stopsAt.Store(&end)
	g.lifecycle.Drain()
}

// EndRequests ends the requests in progress: those to which no answer has begun are answered
// with what is known about them, and those whose bodies have not arrived are refused. Streams
// break.
func (g *Gateway) EndRequests() {
	g.bodies.EvictAll()
	g.endRequests(fault.New(fault.Draining, "the process has stopped").WithOutcome(fault.MayHaveRun))
}

// checkStop refuses a request that the end of this process would cut.
func (g *Gateway) checkStop(q *request) error {
	end := g.stopsAt.Load()
	if end == nil {
		return nil
	}
	remaining := time.Until(*end)
	if q.timeLeft() <= remaining {
		return nil // it gets its final answer before
	}
	if q.route.Kind == routing.Stream && q.service.Model != nil {
		events := q.expectedOutputTokens() / max(1, q.service.Model.StepsPerPass)
		if g.pace.Takes(remaining, events, q.route.MayRepeat()) {
			return nil
		}
	} else if g.callTimes.Takes(remaining) {
		return nil
	}
	g.metrics.refusedByStop.Inc()
	return notRunError(fault.Draining, "the process stops before the request would end").WithRetryAfter(stopRetryAfter)
}

// stopRetryAfter is the Retry-After of a request that another process can take at once.
const stopRetryAfter = 50 * time.Millisecond

// track counts requests in progress.
func (g *Gateway) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.metrics.inProgress.Add(1)
		defer g.metrics.inProgress.Add(-1)
		next.ServeHTTP(w, r)
	})
}
