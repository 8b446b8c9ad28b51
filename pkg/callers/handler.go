package callers

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes = 1 << 20 // bytes
	DefaultReadTimeout  = 10 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	DefaultMaxTokens    = 256
)

// Deadlines holds the default deadline for each rank.
type Deadlines struct {
	Urgent, Standard, Batch time.Duration
}

// DefaultDeadlines are used if Options.Deadlines is zero.
var DefaultDeadlines = Deadlines{Urgent: 15 * time.Second, Standard: time.Minute, Batch: 10 * time.Minute}

// Options configure the API.
type Options struct {
	Router       Router
	Tokenize     func(string) []uint32
	Detokenize   func(uint32) string
	Deadlines    Deadlines
	MaxBodyBytes int64         // of a request; an organisation's limit takes precedence
	ReadTimeout  time.Duration // for the whole request body
	WriteTimeout time.Duration // for each write of a response
	// Bodies is the memory of the request bodies that are being received or held, without a
	// limit if it is nil.
	Bodies *requestbody.Memory
	// Track registers a request in progress and returns a function that ends the
	// registration. It returns false while the process shuts down.
	Track func() (done func(), ok bool)
	// Draining reports whether connections should close after their response.
	Draining func() bool
	// OnFinished is called with a record of every finished request. It may be nil.
	OnFinished func(RequestRecord)
	Log        logs.Logger
	Now        func() time.Time
}

// RequestRecord describes a finished request for metrics.
type RequestRecord struct {
	Operation    string // "chat", "models", "service" or "other"
	Organisation string // empty if the caller was not authenticated
	Rank         wirepb.Rank
	Outcome      fault.Outcome
	Kind         fault.Kind // empty if the request succeeded
	Duration     time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&o.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&o.WriteTimeout, DefaultWriteTimeout)
	if o.Deadlines == (Deadlines{}) {
		o.Deadlines = DefaultDeadlines
	}
	if o.Track == nil {
		o.Track = func() (func(), bool) { return func() {}, true }
	}
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	if o.OnFinished == nil {
		o.OnFinished = func(RequestRecord) {}
	}
	if o.Bodies == nil {
		o.Bodies = requestbody.NewMemory(0, metrics.NewSet(), "callers")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// api holds the options shared by the handlers.
type api struct {
	opts Options
}

// NewHandler returns the HTTP handler of the API.
func NewHandler(opts Options) http.Handler {
	a := &api{opts: opts.withDefaults()}
	return alice.New(a.startExchange, a.recoverPanic, a.track, a.authenticate).ThenFunc(a.route)
}

// route dispatches by path. It does not use http.ServeMux, which redirects paths
// that are not in clean form; service paths must be forwarded unchanged.
func (a *api) route(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	switch {
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		x.operation = "service"
		a.serveService(x, r)
	case r.URL.Path == "/v1/chat/completions":
		x.operation = "chat"
		x.requireMethod(http.MethodPost, r, a.serveChat)
	case r.URL.Path == "/v1/models":
		x.operation = "models"
		x.requireMethod(http.MethodGet, r, a.serveModels)
	default:
		x.sendError(fault.New(fault.NotFound, "no such path").WithField("path").WithOutcome(fault.NotRun))
	}
}

func (x *exchange) requireMethod(method string, r *http.Request, serve func(*exchange, *http.Request)) {
	if r.Method != method {
		x.sendError(fault.New(fault.Invalid, "method %s is not allowed, use %s", r.Method, method).
			WithField("method").WithOutcome(fault.NotRun))
		return
	}
	serve(x, r)
}
