// Package link connects the processes of plantainstair. Each pair of processes
// shares one yamux session. A handshake negotiates the protocol version and
// authenticates both sides, and each call uses a stream of its own.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Range of protocol versions that this build supports.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Default values of Options.
const (
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultKeepAliveInterval = time.Second
	DefaultWriteTimeout      = 2 * time.Second
)

// Identity is what a process tells its peer about itself in the handshake.
type Identity struct {
	Role        string
	Host        string
	DataCentre  string
	Incarnation uint64
}

// Options configure a session. TLS and Keys may be combined.
type Options struct {
	Identity          Identity
	Keys              *Keyring    // shared keys that authenticate both sides; nil disables the check
	TLS               *tls.Config // mutual TLS; nil means plain TCP
	MaxFrameBytes     int         // zero means wire.DefaultMaxFrameBytes
	HandshakeTimeout  time.Duration
	KeepAliveInterval time.Duration
	WriteTimeout      time.Duration
}

func (o Options) withDefaults() Options {
	if o.HandshakeTimeout <= 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if o.KeepAliveInterval <= 0 {
		o.KeepAliveInterval = DefaultKeepAliveInterval
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	return o
}

func (o Options) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = o.KeepAliveInterval
	c.ConnectionWriteTimeout = o.WriteTimeout
	c.StreamOpenTimeout = o.WriteTimeout
	c.LogOutput = io.Discard
	c.Logger = nil
	return c
}

// Session is an authenticated connection to one peer.
type Session struct {
	mux     *yamux.Session
	peer    Identity
	version uint32
	opts    Options
}

// Dial connects to addr, performs the handshake within HandshakeTimeout and
// returns the session.
func Dial(ctx context.Context, addr string, opts Options) (*Session, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, opts.HandshakeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to %s", addr)
	}
	s, err := clientSession(ctx, conn, opts)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

func clientSession(ctx context.Context, conn net.Conn, opts Options) (*Session, error) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if opts.TLS != nil {
		tc := tls.Client(conn, opts.TLS)
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, fault.Wrap(err, fault.Unauthenticated, "TLS handshake")
		}
		conn = tc
	}
	peer, version, err := clientHandshake(wire.NewUnbufferedStream(conn, handshakeMaxFrameBytes), opts)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	mux, err := yamux.Client(&coalescingConn{Conn: conn}, opts.yamuxConfig())
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "start yamux session")
	}
	return &Session{mux: mux, peer: peer, version: version, opts: opts}, nil
}

func serverSession(conn net.Conn, opts Options) (*Session, error) {
	_ = conn.SetDeadline(time.Now().Add(opts.HandshakeTimeout))
	if opts.TLS != nil {
		tc := tls.Server(conn, opts.TLS)
		if err := tc.Handshake(); err != nil {
			return nil, fault.Wrap(err, fault.Unauthenticated, "TLS handshake")
		}
		conn = tc
	}
	peer, version, err := serverHandshake(wire.NewUnbufferedStream(conn, handshakeMaxFrameBytes), opts)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	mux, err := yamux.Server(&coalescingConn{Conn: conn}, opts.yamuxConfig())
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "start yamux session")
	}
	return &Session{mux: mux, peer: peer, version: version, opts: opts}, nil
}

// Peer returns the identity that the peer sent in the handshake. The handshake
// authenticates it if Keys is set.
func (s *Session) Peer() Identity { return s.peer }

// Open opens a stream to the peer.
func (s *Session) Open() (*wire.Stream, error) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "open stream to %s", s.peer.Host)
	}
	return wire.NewStream(st, s.opts.MaxFrameBytes), nil
}

// Exchange sends req on a new stream and returns the reply. It returns an error when ctx
// ends. A reply with an error frame is returned as that error. If the stream cannot be
// opened, the error has the outcome fault.NotRun.
func (s *Session) Exchange(ctx context.Context, req *wirepb.Frame) (*wirepb.Frame, error) {
	st, err := s.Open()
	if err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	defer st.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = st.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) }) // a past deadline interrupts I/O
	defer stop()
	if err := st.Write(req); err != nil {
		return nil, err
	}
	f, err := st.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read reply from %s", s.peer.Host)
	}
	if e := f.GetError(); e != nil {
		return nil, fault.FromWire(e)
	}
	return f, nil
}

// Accept waits for the peer to open a stream and returns it.
func (s *Session) Accept() (*wire.Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "accept stream from %s", s.peer.Host)
	}
	return wire.NewStream(st, s.opts.MaxFrameBytes), nil
}

// MeasureRTT pings the peer and returns the round-trip time.
func (s *Session) MeasureRTT() (time.Duration, error) {
	d, err := s.mux.Ping()
	if err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, "ping %s", s.peer.Host)
	}
	return d, nil
}

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Closed reports whether the session has ended.
func (s *Session) Closed() bool { return s.mux.IsClosed() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

func errPoolClosed() error { return fault.New(fault.Unavailable, "session pool is closed") }
