package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
)

// Options holds the settings and dependencies of an entry.
type Options struct {
	Settings Settings
	Control  ControlClient
	Agents   AgentClient
	Log      logs.Logger
	Now      func() time.Time
	// Tokenize, Detokenize and PrefixHashes implement the engine protocol.
	Tokenize     func(text string) []uint32
	Detokenize   func(token uint32) string
	PrefixHashes func(model, version, adapter string, tokens []uint32) []uint64
}

// Entry executes the requests of callers. It implements callers.Router.
type Entry struct {
	opts               Options
	claimReads         chan struct{} // semaphore that bounds concurrent claim reads
	snapshot           atomic.Pointer[snapshot]
	outliers           *route.OutlierDetector
	retryBudget        *route.Budget
	baseline           roundRobin // used only if Settings.RoundRobin is set
	organisationLimits *organisationLimiter
	requestLimiter     *requestLimiter
	promptGuard        *promptGuard
	metrics            *entryMetrics
	bodies             *requestbody.Memory
	lifecycle          *lifecycle.Lifecycle
	shuttingDown       atomic.Bool
	warmedUp           atomic.Bool // every upstream is usable, or warmUpTimeout has passed
	goroutines         sync.WaitGroup
}

// New returns an entry. Start must be called before the entry handles requests.
func New(opts Options) *Entry {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.PrefixHashes == nil {
		opts.PrefixHashes = func(string, string, string, []uint32) []uint64 { return nil }
	}
	e := &Entry{
		opts:               opts,
		claimReads:         make(chan struct{}, maxClaimReads),
		outliers:           route.NewOutlierDetector(route.OutlierConfig{}),
		retryBudget:        route.NewRetryBudget(),
		organisationLimits: newOrganisationLimiter(),
		requestLimiter:     newRequestLimiter(opts.Settings.MaxConcurrentRequests),
		promptGuard:        newPromptGuard(opts.Log),
		metrics:            newEntryMetrics(),
		lifecycle:          lifecycle.NewLifecycle(),
	}
	e.bodies = requestbody.NewMemory(int64(opts.Settings.BodyMemoryMB)<<20, e.metrics.set, "plantain_entry")
	e.metrics.addEntryGauges(e)
	return e
}

// Start starts the upstream monitor, which runs until ctx ends, and marks the
// process as ready.
func (e *Entry) Start(ctx context.Context) error {
	m := newUpstreamMonitor(ctx, e)
	e.goroutines.Go(m.run)
	return e.lifecycle.MarkReady()
}

// Handler returns the HTTP handler of the caller API.
func (e *Entry) Handler() http.Handler {
	s := e.opts.Settings
	return callers.NewHandler(callers.Options{
		Router:       e,
		Tokenize:     e.opts.Tokenize,
		Detokenize:   e.opts.Detokenize,
		Deadlines:    s.deadlines(),
		MaxBodyBytes: int64(s.MaxBodyBytes),
		ReadTimeout:  s.ReadTimeout,
		WriteTimeout: s.WriteTimeout,
		Bodies:       e.bodies,
		Track:        e.lifecycle.Track,
		Draining:     e.shuttingDown.Load,
		OnFinished:   e.metrics.countRequest,
		Log:          e.opts.Log.Component("callers"),
		Now:          e.opts.Now,
	})
}

// HealthOptions returns the options of the health, readiness and metrics
// endpoints.
func (e *Entry) HealthOptions() lifecycle.Options {
	return lifecycle.Options{Lifecycle: e.lifecycle, CheckReady: e.Ready, Metrics: e.metrics.set}
}
