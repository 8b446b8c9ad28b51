package callers

import (
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes = 1 << 20 // bytes
	DefaultReadTimeout  = 10 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	DefaultMaxTokens    = 256
)

// Deadlines holds the default deadline of each rank.
type Deadlines struct {
	Urgent, Standard, Batch time.Duration
}

// DefaultDeadlines are used for ranks without a configured deadline.
var DefaultDeadlines = Deadlines{Urgent: 15 * time.Second, Standard: time.Minute, Batch: 10 * time.Minute}

// Options configure the API.
type Options struct {
	Router       Router
	Tokenize     func(string) []uint32
	Detokenize   func(uint32) string
	Deadlines    Deadlines
	MaxBodyBytes int64         // bytes; an organisation's limit takes precedence
	ReadTimeout  time.Duration // for the whole body of a request
	WriteTimeout time.Duration // for each write of an answer
	// Track registers a request in progress. It returns false while the
	// process shuts down.
	Track func() (done func(), ok bool)
	// Draining reports that connections are to be closed after their answer.
	Draining func() bool
	// OnFinished receives a record of every answered request; it may be nil.
	OnFinished func(RequestRecord)
	Log        logs.Logger
	Now        func() time.Time
}

// RequestRecord describes a finished request.
type RequestRecord struct {
	Operation    string // "chat", "models", "service" or "other"
	Organisation string // empty if the caller was not authenticated
	Rank         wirepb.Rank
	Outcome      fault.Outcome
	Kind         fault.Kind // empty if the request was answered
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
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// api holds what the handlers share.
type api struct {
	opts Options
}

// NewHandler returns the API.
func NewHandler(opts Options) http.Handler {
	a := &api{opts: opts.withDefaults()}
	return alice.New(a.begin, a.recoverPanic, a.track, a.authenticate).ThenFunc(a.route)
}

// route selects the handler. Service paths are taken as they are, because
// http.ServeMux would redirect those that it considers unclean.
func (a *api) route(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	switch {
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		x.operation = "service"
		a.serveService(x, r)
	case r.URL.Path == "/v1/chat/completions":
		x.operation = "chat"
		x.only(http.MethodPost, r, a.serveChat)
	case r.URL.Path == "/v1/models":
		x.operation = "models"
		x.only(http.MethodGet, r, a.serveModels)
	default:
		x.fail(fault.New(fault.NotFound, "no such path").WithField("path").WithOutcome(fault.NotRun))
	}
}

func (x *exchange) only(method string, r *http.Request, serve func(*exchange, *http.Request)) {
	if r.Method != method {
		x.fail(fault.New(fault.Invalid, "method %s is not allowed, use %s", r.Method, method).
			WithField("method").WithOutcome(fault.NotRun))
		return
	}
	serve(x, r)
}
