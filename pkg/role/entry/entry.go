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
)

// Options configure an entry.
type Options struct {
	Settings Settings
	Control  Control
	Agents   Agents
	Log      logs.Logger
	Now      func() time.Time
	// Tokenize, Detokenize and PrefixHashes are those of the engine protocol.
	Tokenize     func(text string) []uint32
	Detokenize   func(token uint32) string
	PrefixHashes func(model, version, adapter string, tokens []uint32) []uint64
}

// Entry performs the requests of callers. It implements callers.Router.
type Entry struct {
	opts       Options
	claimReads chan struct{} // bounds concurrent reads of claims
	snapshot   atomic.Pointer[snapshot]
	tracker    *route.OutlierDetector
	budget     *route.RetryBudget
	baseline   roundRobin // used only when the settings ask for it
	limits     *limiter
	gate       *gate
	metrics    *meters
	lifecycle  *lifecycle.Lifecycle
	leaving    atomic.Bool
	warm       atomic.Bool // the first load reports have arrived
	owner      sync.WaitGroup
}

// New returns an entry. Start must be called before it takes requests.
func New(opts Options) *Entry {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.PrefixHashes == nil {
		opts.PrefixHashes = func(string, string, string, []uint32) []uint64 { return nil }
	}
	e := &Entry{
		opts:       opts,
		claimReads: make(chan struct{}, maxClaimReads),
		tracker:    route.NewOutlierDetector(route.OutlierConfig{}),
		budget:     route.NewRetryBudget(),
		limits:     newLimiter(),
		gate:       newGate(opts.Settings.MaxRequests),
		metrics:    newMeters(),
		lifecycle:  lifecycle.NewLifecycle(),
	}
	e.metrics.watch(e)
	return e
}

// Start runs the control goroutine until ctx ends.
func (e *Entry) Start(ctx context.Context) error {
	o := newOwner(ctx, e)
	e.owner.Go(o.run)
	return e.lifecycle.MarkReady()
}

// Handler returns the API towards callers.
func (e *Entry) Handler() http.Handler {
	s := e.opts.Settings
	return callers.NewHandler(callers.Options{
		Router:     e,
		Tokenize:   e.opts.Tokenize,
		Detokenize: e.opts.Detokenize,
		Deadlines:  s.deadlines(),
		MaxBody:    int64(s.MaxBody),
		ReadTime:   s.ReadTime,
		WriteTime:  s.WriteTime,
		Track:      e.lifecycle.Track,
		Draining:   e.leaving.Load,
		Finished:   e.metrics.finished,
		Log:        e.opts.Log.Component("callers"),
		Now:        e.opts.Now,
	})
}

// PlatformOptions returns the options of the platform endpoints.
func (e *Entry) PlatformOptions() lifecycle.Options {
	return lifecycle.Options{Lifecycle: e.lifecycle, CheckReady: e.Ready, Metrics: e.metrics.set}
}
