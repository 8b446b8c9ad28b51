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
	// maxProxyConnections limits the goroutines of a proxy, five for each
	// connection.
	maxProxyConnections = 256
	proxyDialTimeout    = 5 * time.Second
	proxyChunkBytes     = 32 << 10
	// proxyQueueLength is the number of chunks of one direction that wait for their
	// delay. A full queue blocks the sender, as a full socket buffer does.
	proxyQueueLength = 64
)

// LinkFaults are the faults of the link through a proxy. The zero value forwards
// everything without delay.
type LinkFaults struct {
	BlockToTarget   bool          // no data is forwarded to the target
	BlockFromTarget bool          // no data is forwarded from the target
	Delay           time.Duration // added in each direction
}

// FaultProxy forwards TCP connections to a target and can block or delay their
// data. Blocking is silent: connections stay open, new ones are accepted, and
// held data is delivered once the block is removed.
type FaultProxy struct {
	target          string
	listener        net.Listener
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	connectionSlots chan struct{}

	mu          sync.Mutex
	faults      LinkFaults
	changed     chan struct{} // closed when faults changes
	connections map[*proxiedConnection]struct{}
}

// proxiedConnection is an open connection through a proxy.
type proxiedConnection struct {
	client, server *net.TCPConn
	cancel         context.CancelFunc
	forwarding     context.Context // ends once the connection forwards no more data
	stall          context.CancelFunc
}

// NewFaultProxy starts a proxy that listens on address and forwards connections
// to target.
func NewFaultProxy(address, target string) (*FaultProxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen as proxy of %s", target)
	}
	p := &FaultProxy{target: target, listener: ln, connectionSlots: make(chan struct{}, maxProxyConnections), changed: make(chan struct{}), connections: make(map[*proxiedConnection]struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of the link, also for open connections.
func (p *FaultProxy) SetFaults(f LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// ResetConnections closes the open connections with a TCP reset on both sides.
func (p *FaultProxy) ResetConnections() {
	for _, c := range p.openConnections() {
		_ = c.client.SetLinger(0)
		_ = c.server.SetLinger(0)
		c.cancel()
	}
}

// StallConnections permanently stops forwarding on the open connections without
// closing them. It does not affect new connections.
func (p *FaultProxy) StallConnections() {
	for _, c := range p.openConnections() {
		c.stall()
	}
}

func (p *FaultProxy) openConnections() []*proxiedConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.connections))
}

func (p *FaultProxy) setOpen(c *proxiedConnection, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.connections[c] = struct{}{}
	} else {
		delete(p.connections, c)
	}
}

// Close closes all connections and returns when every goroutine has ended.
func (p *FaultProxy) Close() {
	p.stop()
	_ = p.listener.Close()
	p.goroutines.Wait()
}

func (p *FaultProxy) currentFaults() (LinkFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *FaultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		select {
		case p.connectionSlots <- struct{}{}:
			p.goroutines.Go(func() {
				defer func() { <-p.connectionSlots }()
				p.serve(conn.(*net.TCPConn))
			})
		default:
			_ = conn.Close()
		}
	}
}

// serve forwards one connection until both directions have ended.
func (p *FaultProxy) serve(client *net.TCPConn) {
	defer client.Close()
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	conn, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})()
	c := &proxiedConnection{client: client, server: server, cancel: cancel}
	c.forwarding, c.stall = context.WithCancel(ctx)
	defer c.stall()
	p.setOpen(c, true)
	defer p.setOpen(c, false)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(ctx, c, client, server, func(f LinkFaults) bool { return f.BlockToTarget }) })
	directions.Go(func() { p.forward(ctx, c, server, client, func(f LinkFaults) bool { return f.BlockFromTarget }) })
	directions.Wait()
}

// chunk is data to forward at a given time. A chunk without data marks the end of
// the direction.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction. A failed write ends both directions.
func (p *FaultProxy) forward(ctx context.Context, c *proxiedConnection, from, to *net.TCPConn, blocked func(LinkFaults) bool) {
	queue := make(chan chunk, proxyQueueLength)
	var reader sync.WaitGroup
	reader.Go(func() { p.enqueue(ctx, from, queue) })
	defer reader.Wait()
	for next := range queue {
		if !p.waitToForward(ctx, c, next.due, blocked) {
			continue
		}
		if next.data == nil {
			_ = to.CloseWrite()
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			c.cancel()
		}
	}
}

// enqueue queues the data read from a connection and then its end. It stops when
// ctx ends.
func (p *FaultProxy) enqueue(ctx context.Context, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, proxyChunkBytes)
		n, err := from.Read(data)
		if err != nil {
			data, n = nil, 0
		}
		faults, _ := p.currentFaults()
		select {
		case queue <- chunk{data: data[:n:n], due: time.Now().Add(faults.Delay)}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until data due at the given time may be forwarded. It
// returns false if ctx ends first.
func (p *FaultProxy) waitToForward(ctx context.Context, c *proxiedConnection, due time.Time, blocked func(LinkFaults) bool) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	for {
		if c.forwarding.Err() != nil {
			<-ctx.Done()
			return false
		}
		faults, changed := p.currentFaults()
		if !blocked(faults) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
