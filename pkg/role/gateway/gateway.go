// Package gateway assembles the entry of a fleet whose upstreams announce
// themselves: it takes requests from callers, chooses the upstream or the path
// of engines, and passes answers and streams on.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// Options assemble a gateway.
type Options struct {
	Host         string
	DataCentre   string
	Coordinators []string // addresses of control replicas
	Link         link.Options
	Dialect      instances.Dialect
	Decode       coordinators.Decoder
	// RetryBudget bounds the requests that all entries send once more.
	RetryBudget route.FleetRetryBudget
	Log         logs.Logger
}

// Gateway is a running entry without its listeners.
type Gateway struct {
	opts      Options
	log       logs.Logger
	client    *coordinators.Client
	pool      *instances.Pool
	engines   *instances.EngineClient
	metrics   *metricSet
	lifecycle *lifecycle.Lifecycle
	view      atomic.Pointer[view]
	streams   streams
	callers   connections
	load      loadBook
	budgets   budgets
	pipes     pipes
	repair    chan struct{}
	began     time.Time
	wg        sync.WaitGroup
	cancel    context.CancelFunc
}

// Start begins to watch the coordinators.
func Start(o Options) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		opts: o, log: o.Log.Part("gateway"), metrics: newMetrics(), lifecycle: lifecycle.NewLifecycle(),
		repair: make(chan struct{}, 1), cancel: cancel, began: time.Now(),
	}
	g.load.init()
	g.streams.init()
	g.callers.init()
	g.budgets.init(o.RetryBudget)
	g.view.Store(&view{})
	g.pool = instances.NewPool(o.Dialect, g.metrics.connections.Inc)
	g.engines = instances.NewEngineClient(g.pool, o.Dialect)
	g.client = coordinators.NewClient(coordinators.Options{
		Seeds: o.Coordinators, Host: o.Host, DataCentre: o.DataCentre, Link: o.Link,
		Decode: o.Decode, Log: o.Log, OnChange: g.viewChanged,
	})
	for _, loop := range []func(){func() { g.client.Run(ctx) }, func() { g.repairLoop(ctx) }} {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			loop()
		}()
	}
	return g
}

// viewChanged runs on the goroutine of the watch.
func (g *Gateway) viewChanged(v *coordinators.View) {
	g.view.Store(newView(v))
	g.budgets.resize(v.EntryCount)
	select {
	case g.repair <- struct{}{}:
	default:
	}
}

// Lifecycle returns the state of the process.
func (g *Gateway) Lifecycle() *lifecycle.Lifecycle { return g.lifecycle }

// Ready reports why the gateway cannot serve.
func (g *Gateway) Ready() error {
	if g.view.Load().conf == nil {
		return fault.New(fault.StaleConfig, "no configuration is known")
	}
	return nil
}

// SetCoordinators replaces the addresses of the control replicas.
func (g *Gateway) SetCoordinators(addresses []string) { g.client.SetSeeds(addresses) }

// Close stops the gateway. Requests in progress end with the listeners.
func (g *Gateway) Close() {
	g.cancel()
	g.wg.Wait()
}

const (
	// headerTimeout and idleTimeout are above what configurations allow their
	// callers, who leave before.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader is above what a configuration may allow, which the handler
	// checks, in bytes.
	maxHeader = 1 << 20
)

// NewServer returns the HTTP server for callers.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           alice.New(g.track).ThenFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         g.callers.note,
	}
}

// CloseIdleConnections closes the idle connections of callers and returns the number of those
// that are left.
func (g *Gateway) CloseIdleConnections() int { return g.callers.closeIdle() }

// track counts requests in progress and tells callers of a draining process to
// use another connection.
func (g *Gateway) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.metrics.inProgress.Add(1)
		defer g.metrics.inProgress.Add(-1)
		if g.lifecycle.State() == lifecycle.Draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
