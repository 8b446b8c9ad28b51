package operators

import (
	"net/http"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/logs"
)

// Limits on the size and duration of requests.
const (
	maxChangeBodyBytes = 1 << 20
	maxBodyBytes       = 64 << 10
	maxHeaderBytes     = 16 << 10

	readTimeout             = 10 * time.Second
	idleTimeout             = time.Minute
	requestTimeout          = 10 * time.Second
	maxOrderTimeout         = 10 * time.Minute
	voterTimeout            = 2 * time.Minute
	writeGrace              = 5 * time.Second
	changeTimeout           = 5 * time.Second
	maxConfirmationWait     = 30 * time.Second
	defaultConfirmationWait = 5 * time.Second
	defaultOrderTimeout     = 30 * time.Second
)

// Options configures the admin API.
type Options struct {
	Backend Backend
	// Operators maps the lower-case hexadecimal SHA-256 of each admin token to
	// the name of its operator.
	Operators map[string]string
	// HealthAndMetrics serves /healthz, /readyz and /metrics without
	// authentication; nil leaves these paths out.
	HealthAndMetrics http.Handler
	Log              logs.Logger
}

// api holds the state that the handlers share.
type api struct {
	service      Backend
	auth         authenticator
	log          logs.Logger
	leaderClient *http.Client // forwards requests to the Raft leader
}

// NewHandler returns the HTTP handler of the admin API.
func NewHandler(opts Options) http.Handler {
	a := &api{
		service:      opts.Backend,
		auth:         newAuthenticator(opts.Operators),
		log:          opts.Log,
		leaderClient: newHTTPClient(),
	}
	mux := http.NewServeMux()
	a.addEndpoint(mux, "POST /v1/changes", maxChangeBodyBytes, changeTimeout+maxConfirmationWait, a.changes)
	a.addEndpoint(mux, "GET /v1/catalogue", 0, requestTimeout, a.catalogue)
	a.addEndpoint(mux, "GET /v1/history", 0, requestTimeout, a.history)
	a.addEndpoint(mux, "GET /v1/audit", 0, requestTimeout, a.audit)
	a.addEndpoint(mux, "GET /v1/status", 0, requestTimeout, a.status)
	a.addEndpoint(mux, "GET /v1/voters", 0, requestTimeout, a.voters)
	a.addEndpoint(mux, "POST /v1/voters", maxBodyBytes, voterTimeout, a.onLeader(a.changeVoter))
	a.addEndpoint(mux, "POST /v1/orders", maxBodyBytes, maxOrderTimeout, a.onLeader(a.orders))
	a.addEndpoint(mux, "POST /v1/upstreams/{host}/drain", maxBodyBytes, maxOrderTimeout, a.onLeader(a.drain))
	a.addEndpoint(mux, "GET /v1/claims", 0, requestTimeout, a.claims)
	a.addEndpoint(mux, "POST /v1/claims/settle", maxBodyBytes, changeTimeout, a.settleClaim)
	a.addEndpoint(mux, "POST /v1/snapshot", maxBodyBytes, requestTimeout, a.snapshot)
	if opts.HealthAndMetrics != nil {
		for _, path := range []string{"GET /healthz", "GET /readyz", "GET /metrics"} {
			mux.Handle(path, opts.HealthAndMetrics)
		}
	}
	mux.HandleFunc("/", notFound)
	return alice.New(a.recoverPanics, noStore).Then(mux)
}

// addEndpoint registers an endpoint behind a time limit, authentication and a body
// size limit, applied in that order.
func (a *api) addEndpoint(mux *http.ServeMux, pattern string, maxBody int64, limit time.Duration, h endpoint) {
	chain := alice.New(withTimeout(limit), a.auth.requireToken, withBody(maxBody))
	mux.Handle(pattern, chain.Then(a.serveEndpoint(h)))
}

// NewServer returns an HTTP server with read and idle timeouts and a header
// size limit. It sets no write timeout, because withTimeout sets a write
// deadline for each request.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
