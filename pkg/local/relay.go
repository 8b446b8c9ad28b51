package local

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	// relayMaxConnections bounds the goroutines of a relay, four for each.
	relayMaxConnections = 256
	relayDialTimeout    = 5 * time.Second
	relayChunk          = 32 << 10
	// relayQueue is the number of chunks of one direction that wait for their
	// delay. A full queue holds the sender back, as a full socket buffer does.
	relayQueue = 64
)

// LinkFaults is the state of a relayed link. The zero value passes everything.
type LinkFaults struct {
	BlockToTarget   bool          // nothing reaches the target
	BlockFromTarget bool          // nothing comes back from it
	Delay           time.Duration // added in each direction
}

// FaultProxy passes TCP connections on to a target and can cut or delay them. A cut
// is silent: connections stay open, new ones are accepted, and what waits is
// delivered once the cut is healed.
type FaultProxy struct {
	target   string
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	free     chan struct{}

	mu        sync.Mutex
	condition LinkFaults
	changed   chan struct{} // closed when the condition changes
	links     map[*relayed]struct{}
}

// relayed is an open connection through a relay.
type relayed struct {
	client, server *net.TCPConn
	cancel         context.CancelFunc
	silent         context.Context // ends when it passes nothing any more
	silence        context.CancelFunc
}

// NewFaultProxy listens on address and passes connections on to target.
func NewFaultProxy(address, target string) (*FaultProxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen as relay of %s", target)
	}
	r := &FaultProxy{target: target, listener: ln, free: make(chan struct{}, relayMaxConnections), changed: make(chan struct{}), links: make(map[*relayed]struct{})}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *FaultProxy) Address() string { return r.listener.Addr().String() }

// SetFaults changes the state of the link, for existing connections as well.
func (r *FaultProxy) SetFaults(c LinkFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition = c
	close(r.changed)
	r.changed = make(chan struct{})
}

// ResetConnections ends the open connections with a reset on both sides.
func (r *FaultProxy) ResetConnections() {
	for _, l := range r.open() {
		_ = l.client.SetLinger(0)
		_ = l.server.SetLinger(0)
		l.cancel()
	}
}

// StallConnections makes the open connections pass nothing any more, for good. New ones work.
func (r *FaultProxy) StallConnections() {
	for _, l := range r.open() {
		l.silence()
	}
}

func (r *FaultProxy) open() []*relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.links))
}

func (r *FaultProxy) track(l *relayed, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.links[l] = struct{}{}
	} else {
		delete(r.links, l)
	}
}

// Close ends all connections and returns when every goroutine has ended.
func (r *FaultProxy) Close() {
	r.stop()
	_ = r.listener.Close()
	r.running.Wait()
}

func (r *FaultProxy) current() (LinkFaults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condition, r.changed
}

func (r *FaultProxy) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		select {
		case r.free <- struct{}{}:
			r.running.Go(func() {
				defer func() { <-r.free }()
				r.serve(conn.(*net.TCPConn))
			})
		default:
			_ = conn.Close()
		}
	}
}

// serve relays one connection until both directions have ended.
func (r *FaultProxy) serve(client *net.TCPConn) {
	defer client.Close()
	dialer := net.Dialer{Timeout: relayDialTimeout}
	conn, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})()
	l := &relayed{client: client, server: server, cancel: cancel}
	l.silent, l.silence = context.WithCancel(ctx)
	defer l.silence()
	r.track(l, true)
	defer r.track(l, false)
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(ctx, l, client, server, func(c LinkFaults) bool { return c.BlockToTarget }) })
	directions.Go(func() { r.pass(ctx, l, server, client, func(c LinkFaults) bool { return c.BlockFromTarget }) })
	directions.Wait()
}

// chunk is data that is due at a time. The last one has no data.
type chunk struct {
	data []byte
	due  time.Time
}

// pass copies one direction. A failed write ends both.
func (r *FaultProxy) pass(ctx context.Context, l *relayed, from, to *net.TCPConn, cut func(LinkFaults) bool) {
	queue := make(chan chunk, relayQueue)
	var reader sync.WaitGroup
	reader.Go(func() { r.read(ctx, from, queue) })
	defer reader.Wait()
	for c := range queue {
		if !r.wait(ctx, l, c.due, cut) {
			continue
		}
		if c.data == nil {
			_ = to.CloseWrite()
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			l.cancel()
		}
	}
}

// read queues what arrives, and its end, until ctx ends.
func (r *FaultProxy) read(ctx context.Context, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, relayChunk)
		n, err := from.Read(data)
		if err != nil {
			data, n = nil, 0
		}
		state, _ := r.current()
		select {
		case queue <- chunk{data: data[:n:n], due: time.Now().Add(state.Delay)}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// wait returns once data due at a time may pass, or false when ctx ended.
func (r *FaultProxy) wait(ctx context.Context, l *relayed, due time.Time, cut func(LinkFaults) bool) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	for {
		if l.silent.Err() != nil {
			<-ctx.Done()
			return false
		}
		state, changed := r.current()
		if !cut(state) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
