package lifecycle

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// Options configures the endpoints /healthz, /readyz and /metrics.
type Options struct {
	Lifecycle *Lifecycle
	// CheckReady returns an error while the process cannot accept requests for a
	// reason other than the state of Lifecycle; nil means no further check.
	CheckReady func() error
	// Metrics is written to /metrics in addition to the default set of the metrics
	// package, which all servers of one program share; tests run several. nil
	// means the default set only.
	Metrics *metrics.Set
	// Handlers are served in addition, by their patterns for http.ServeMux.
	Handlers map[string]http.Handler
}

// Server serves /healthz, /readyz and /metrics on a listener of its own.
type Server struct {
	ln   net.Listener
	http *http.Server
}

type statusBody struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// NewServer starts a server on addr, an IP address and port.
func NewServer(addr string, opts Options) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen for health and metrics").WithField(addr)
	}
	s := &Server{ln: ln}
	s.http = &http.Server{
		Handler:           Handler(opts),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Handler returns a handler for /healthz, /readyz and /metrics, for a process
// that serves them on another listener.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, http.StatusOK, statusBody{State: opts.Lifecycle.State()})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		code, body := readiness(opts)
		writeStatus(w, code, body)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		writeMetrics(w, opts.Metrics)
	})
	for pattern, h := range opts.Handlers {
		mux.Handle(pattern, h)
	}
	return alice.New(noStore).Then(mux)
}

func readiness(opts Options) (int, statusBody) {
	state := opts.Lifecycle.State()
	if state != Ready {
		return http.StatusServiceUnavailable, statusBody{State: state, Reason: "process is " + state}
	}
	if opts.CheckReady == nil {
		return http.StatusOK, statusBody{State: state}
	}
	if err := opts.CheckReady(); err != nil {
		return http.StatusServiceUnavailable, statusBody{State: state, Reason: err.Error()}
	}
	return http.StatusOK, statusBody{State: state}
}

func writeStatus(w http.ResponseWriter, code int, body statusBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func writeMetrics(w http.ResponseWriter, set *metrics.Set) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if set != nil {
		set.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Close stops the listener and waits for requests in progress until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fault.Wrap(err, fault.Internal, "stop the health and metrics server")
	}
	return nil
}
