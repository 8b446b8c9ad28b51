package link

import (
	"net"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
)

const acceptRetryDelay = 50 * time.Millisecond

// Handler serves one stream. It owns the stream and closes it.
type Handler func(peer Identity, s *wire.Stream)

// Server accepts sessions and runs the handler in a goroutine for each stream.
type Server struct {
	ln      net.Listener
	opts    Options
	handler Handler
	onError func(error)

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sessions map[*Session]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer starts a server that accepts sessions on ln until Close. It passes
// failed handshakes and accept errors to onError, which may be nil.
func NewServer(ln net.Listener, opts Options, handler Handler, onError func(error)) *Server {
	if onError == nil {
		onError = func(error) {}
	}
	s := &Server{
		ln:       ln,
		opts:     opts.withDefaults(),
		handler:  handler,
		onError:  onError,
		conns:    make(map[net.Conn]struct{}),
		sessions: make(map[*Session]struct{}),
	}
	s.wg.Add(1)
	go s.acceptLoop()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			s.onError(fault.Wrap(err, fault.Unavailable, "accept connection"))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track registers an open connection, or returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	session, err := serverSession(conn, s.opts)
	if err != nil {
		s.onError(err)
		return
	}
	s.addSession(session)
	defer s.removeSession(session)
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.handler(session.Peer(), stream)
		}()
	}
}

func (s *Server) addSession(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Server) removeSession(session *Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// Close stops accepting, closes every session and waits for the handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	err := s.ln.Close()
	s.wg.Wait()
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "close listener")
	}
	return nil
}
