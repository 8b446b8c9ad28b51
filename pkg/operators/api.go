package operators

import (
	"net/http"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/logs"
)

// Bounds of requests.
const (
	maxChangeBody = 1 << 20
	maxOtherBody  = 64 << 10
	maxHeader     = 16 << 10

	readTimeout     = 10 * time.Second
	idleTimeout     = time.Minute
	requestTimeout  = 10 * time.Second
	orderTimeout    = 10 * time.Minute
	voterTimeout    = 2 * time.Minute
	writeAllowance  = 5 * time.Second
	changeTimeout   = 5 * time.Second
	maxWait         = 30 * time.Second
	defaultWait     = 5 * time.Second
	defaultOrderMax = 30 * time.Second
)

// Options configure the API.
type Options struct {
	Service Service
	// Operators names the operator of each admin token, by the lower-case
	// hexadecimal SHA-256 of the token.
	Operators map[string]string
	// HealthAndMetrics serves health, readiness and metrics without a token.
	HealthAndMetrics http.Handler
	Log              logs.Logger
}

// api holds what the handlers share.
type api struct {
	service Service
	auth    authenticator
	log     logs.Logger
	leader  *http.Client // forwards requests to the leader
}

// NewHandler returns the admin API.
func NewHandler(opts Options) http.Handler {
	a := &api{
		service: opts.Service,
		auth:    newAuthenticator(opts.Operators),
		log:     opts.Log,
		leader:  newHTTPClient(),
	}
	mux := http.NewServeMux()
	a.route(mux, "POST /v1/changes", maxChangeBody, changeTimeout+maxWait, a.changes)
	a.route(mux, "GET /v1/catalogue", 0, requestTimeout, a.catalogue)
	a.route(mux, "GET /v1/history", 0, requestTimeout, a.history)
	a.route(mux, "GET /v1/audit", 0, requestTimeout, a.audit)
	a.route(mux, "GET /v1/status", 0, requestTimeout, a.status)
	a.route(mux, "GET /v1/voters", 0, requestTimeout, a.voters)
	a.route(mux, "POST /v1/voters", maxOtherBody, voterTimeout, a.atLeader(a.changeVoter))
	a.route(mux, "POST /v1/orders", maxOtherBody, orderTimeout, a.atLeader(a.orders))
	a.route(mux, "POST /v1/upstreams/{host}/drain", maxOtherBody, orderTimeout, a.atLeader(a.drain))
	a.route(mux, "GET /v1/claims", 0, requestTimeout, a.claims)
	a.route(mux, "POST /v1/claims/settle", maxOtherBody, changeTimeout, a.settleClaim)
	a.route(mux, "POST /v1/snapshot", maxOtherBody, requestTimeout, a.snapshot)
	if opts.HealthAndMetrics != nil {
		for _, path := range []string{"GET /healthz", "GET /readyz", "GET /metrics"} {
			mux.Handle(path, opts.HealthAndMetrics)
		}
	}
	mux.HandleFunc("/", notFound)
	return alice.New(a.recoverPanics, noStore).Then(mux)
}

// route adds a handler behind authentication, a bounded body and a time limit.
func (a *api) route(mux *http.ServeMux, pattern string, maxBody int64, limit time.Duration, h endpoint) {
	chain := alice.New(bounded(limit), a.auth.require, readBody(maxBody))
	mux.Handle(pattern, chain.Then(a.answer(h)))
}

// NewServer returns an HTTP server with bounded times for the handler. Write
// times are bounded for each request.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}
