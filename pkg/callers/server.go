package callers

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/httpconn"
)

// Limits on connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute // longer than load balancers usually keep idle connections
	maxHeaderBytes = 32 << 10
)

// Server serves the API on a listener.
type Server struct {
	ln    net.Listener
	conns *httpconn.Tracker
	http  *http.Server
}

// NewServer listens on addr, an IP address and port, and serves handler in the
// background.
func NewServer(addr string, handler http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen for callers").WithField(addr)
	}
	conns := httpconn.NewTracker()
	s := &Server{ln: conns.Listener(ln), conns: conns, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         conns.OnStateChange,
	}}
	go func() { _ = s.http.Serve(s.ln) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Shutdown stops accepting connections and waits for requests in progress, those that
// are being read included. When ctx ends first, it closes the remaining connections and
// returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.ln.Close() // Serve returns an error, which its goroutine ignores
	s.conns.Drain(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fault.Wrap(err, fault.Deadline, "stop the caller server")
	}
	return nil
}
