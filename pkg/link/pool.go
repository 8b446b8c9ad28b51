package link

import (
	"context"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Pool keeps one session for each address and dials again after a session has
// ended. Concurrent callers for the same address share one session.
type Pool struct {
	opts Options

	mu      sync.Mutex
	entries map[string]*poolEntry
	closed  bool
}

type poolEntry struct {
	mu      sync.Mutex
	session *Session
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, entries: make(map[string]*poolEntry)}
}

// Session returns the open session to addr, or dials if there is none.
func (p *Pool) Session(ctx context.Context, addr string) (*Session, error) {
	e := p.entry(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil && !e.session.Closed() {
		return e.session, nil
	}
	s, err := Dial(ctx, addr, p.opts)
	if err != nil {
		return nil, err
	}
	if p.isClosed() {
		_ = s.Close()
		return nil, errPoolClosed()
	}
	e.session = s
	return s, nil
}

// Open opens a stream to addr, dialling if there is no open session.
func (p *Pool) Open(ctx context.Context, addr string) (*wire.Stream, error) {
	s, err := p.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	return s.Open()
}

// Exchange sends req on a new stream to addr and returns the reply. It returns
// an error when ctx ends. A reply with an error frame is returned as that error.
// If the stream cannot be opened, the error has the outcome fault.NotRun.
func (p *Pool) Exchange(ctx context.Context, addr string, req *wirepb.Frame) (*wirepb.Frame, error) {
	s, err := p.Session(ctx, addr)
	if err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	return s.Exchange(ctx, req)
}

// CloseSession closes the session to addr and removes it from the pool. It is
// meant for a peer that is known to be gone.
func (p *Pool) CloseSession(addr string) {
	p.mu.Lock()
	e, ok := p.entries[addr]
	delete(p.entries, addr)
	p.mu.Unlock()
	if ok {
		e.close()
	}
}

// Close closes all sessions. Later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	entries := p.entries
	p.entries = make(map[string]*poolEntry)
	p.mu.Unlock()
	for _, e := range entries {
		e.close()
	}
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Pool) entry(addr string) *poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[addr]
	if !ok {
		e = &poolEntry{}
		p.entries[addr] = e
	}
	return e
}

func (e *poolEntry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil {
		_ = e.session.Close()
	}
}
