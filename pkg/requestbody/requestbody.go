// Package requestbody reads the bodies of the requests of callers whole, within a budget of
// memory that all requests of a process share (pkg/core/intake).
package requestbody

import (
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/plantainstair/plantainstair/pkg/core/intake"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	// firstChunkBytes is the size of the first chunk of a body, which is not charged to the
	// budget: ordinary requests fit in it and are read while large bodies use up the budget.
	firstChunkBytes = 4 << 10
	// chunkBytes is the size of further chunks. Each is charged before it is allocated.
	chunkBytes = 16 << 10
	// sweepInterval is the interval at which bodies past their deadline are looked for while
	// any body is unfinished.
	sweepInterval = 250 * time.Millisecond
	// retryAfter is the Retry-After of a refused body: bodies that make no progress may be
	// evicted after half of it.
	retryAfter = 2 * intake.StallTimeout
	// discardTimeout and maxDiscardBytes bound the rest of a refused body that is read so that
	// its caller gets the response: most callers read it only once they have sent the body,
	// and closing a socket with unread bytes resets the connection.
	discardTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 4 << 20
)

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// chunks holds unused chunks of chunkBytes. Reuse keeps the memory of refused bodies from
// waiting for the garbage collector.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Memory is the budget of the bodies that a process receives and holds. It is safe for
// concurrent use.
type Memory struct {
	mu     sync.Mutex
	budget *intake.Budget
	// released is closed once bytes are released or a body is evicted, nil if nobody waits.
	released chan struct{}
	sweeping bool // a sweep is scheduled
	stopping bool // EvictAll was called

	refused map[string]*metrics.Counter // by cause
	evicted map[string]*metrics.Counter // by cause
}

// NewMemory returns a budget of this number of bytes, without a limit if it is zero. Its
// metrics are added to the set under names that begin with the prefix.
func NewMemory(bytes int64, set *metrics.Set, prefix string) *Memory {
	if bytes <= 0 {
		bytes = math.MaxInt64
	}
	m := &Memory{
		budget:  intake.NewBudget(bytes),
		refused: make(map[string]*metrics.Counter), evicted: make(map[string]*metrics.Counter),
	}
	for _, cause := range []string{causeMemory, causeSize} {
		m.refused[cause] = set.NewCounter(prefix + `_bodies_refused_total{cause="` + cause + `"}`)
	}
	for _, cause := range []intake.Cause{intake.OutOfMemory, intake.OutOfConnections, intake.Overdue, intake.Stopping} {
		m.evicted[cause.String()] = set.NewCounter(prefix + `_bodies_evicted_total{cause="` + cause.String() + `"}`)
	}
	set.NewGauge(prefix+"_body_bytes_held", func() float64 { return float64(m.Held()) })
	set.NewGauge(prefix+"_bodies_receiving", func() float64 { return float64(m.receiving()) })
	return m
}

// Causes of a refusal.
const (
	causeMemory = "memory"
	causeSize   = "size"
)

// Held returns the bytes that are charged for all bodies.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held()
}

func (m *Memory) receiving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Receiving()
}

// Body is a whole body. Its receiver must release it. A nil Body is empty.
type Body struct {
	memory *Memory
	charge intake.Body // its Owner is the http.ResponseWriter of the request
	first  []byte
	rest   []*[chunkBytes]byte
	last   int // bytes in the last of rest
	size   int64
}

// Read reads the body of a request to its end, by the deadline if that is not zero. All its
// errors have the outcome NotRun: kind Invalid with the field "body" for a body over limit
// bytes, Overloaded or Deadline for one that was refused or evicted, Cancelled for one that
// its caller cut off. After an error of another kind than Cancelled, the connection must not
// be used for a further request (see EndRefused).
func (m *Memory) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		m.refused[causeSize].Inc()
		return nil, tooLarge(limit)
	}
	b := &Body{memory: m, charge: intake.Body{Owner: w}, first: make([]byte, 0, firstChunkSize(r.ContentLength))}
	if !m.begin(b, deadline) {
		return nil, evictedError(intake.Stopping)
	}
	if err := b.read(r.Body, limit); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// firstChunkSize leaves room for one more byte than a short body has, so that its end is
// found without a further chunk.
func firstChunkSize(length int64) int64 {
	if length < 0 || length > firstChunkBytes {
		return firstChunkBytes + 1
	}
	return length + 1
}

func (b *Body) read(r io.Reader, limit int64) error {
	for {
		free, err := b.free()
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		b.advance(n)
		switch {
		case b.size > limit:
			b.memory.refused[causeSize].Inc()
			return tooLarge(limit)
		case err == io.EOF:
			return b.memory.complete(b)
		case err != nil:
			if e := b.memory.complete(b); e != nil {
				return e // the read was aborted by the eviction
			}
			return fault.Wrap(err, fault.Cancelled, "request body was not received").WithOutcome(fault.NotRun)
		}
		b.memory.recordProgress(b)
	}
}

// free returns the free part of the last chunk, or of a new one if that is full.
func (b *Body) free() ([]byte, error) {
	if len(b.first) < cap(b.first) {
		return b.first[len(b.first):cap(b.first)], nil
	}
	if len(b.rest) == 0 || b.last == chunkBytes {
		if err := b.memory.chargeChunk(b); err != nil {
			return nil, err
		}
		b.rest = append(b.rest, chunks.Get().(*[chunkBytes]byte))
		b.last = 0
	}
	return b.rest[len(b.rest)-1][b.last:], nil
}

func (b *Body) advance(n int) {
	b.size += int64(n)
	if len(b.rest) == 0 {
		b.first = b.first[:len(b.first)+n]
	} else {
		b.last += n
	}
}

// Size returns the length of the body in bytes.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Chunks returns the body in pieces, which must not be used after Release.
func (b *Body) Chunks() [][]byte {
	if b == nil {
		return nil
	}
	out := make([][]byte, 0, 1+len(b.rest))
	out = append(out, b.first)
	for i, c := range b.rest {
		if i < len(b.rest)-1 {
			out = append(out, c[:])
		} else if b.last > 0 {
			out = append(out, c[:b.last])
		}
	}
	return out
}

// Join returns the body in one piece, which may be used after Release. The chunks are freed,
// while the charge for them stays until Release.
func (b *Body) Join() []byte {
	if b == nil {
		return nil
	}
	if len(b.rest) > 0 {
		out := make([]byte, 0, b.size)
		for _, c := range b.Chunks() {
			out = append(out, c...)
		}
		b.recycle()
		b.first = out
	}
	return b.first
}

// Release returns the memory of the body to the budget. A second call has no effect.
func (b *Body) Release() {
	if b == nil || b.memory == nil {
		return
	}
	b.memory.release(b)
	b.recycle()
	b.memory, b.first = nil, nil
}

func (b *Body) recycle() {
	for _, c := range b.rest {
		chunks.Put(c)
	}
	b.rest, b.last = nil, 0
}

// begin begins the receipt of a body. It returns false once EvictAll was called.
func (m *Memory) begin(b *Body, deadline time.Time) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return false
	}
	m.budget.Begin(&b.charge, now, deadline)
	if !deadline.IsZero() && !m.sweeping {
		m.sweeping = true
		time.AfterFunc(sweepInterval, m.sweep)
	}
	return true
}

func (m *Memory) recordProgress(b *Body) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Progress(&b.charge, now)
}

// chargeChunk charges a chunk for the body. It waits while bodies that were evicted for it
// release their bytes.
func (m *Memory) chargeChunk(b *Body) error {
	for {
		m.mu.Lock()
		decision, victims := m.budget.Charge(&b.charge, chunkBytes, time.Now())
		m.abort(victims)
		var released chan struct{}
		if decision == intake.Wait {
			if m.released == nil {
				m.released = make(chan struct{})
			}
			released = m.released
		}
		cause := b.charge.Cause()
		m.mu.Unlock()
		switch {
		case decision == intake.Granted:
			return nil
		case decision == intake.Wait:
			<-released
		case cause != intake.NotEvicted:
			return evictedError(cause)
		default:
			m.refused[causeMemory].Inc()
			return fault.New(fault.Overloaded, "no memory is left for the request body").WithOutcome(fault.NotRun).WithRetryAfter(retryAfter)
		}
	}
}

// complete ends the receipt of a body. It returns an error if the body was evicted.
func (m *Memory) complete(b *Body) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Complete(&b.charge) {
		return nil
	}
	return evictedError(b.charge.Cause())
}

func (m *Memory) release(b *Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(&b.charge)
	m.wakeWaiters()
}

func (m *Memory) wakeWaiters() {
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}

// abort ends the reads of evicted bodies. It must be called with the lock held: after complete,
// the connection may already serve another request.
func (m *Memory) abort(victims []*intake.Body) {
	for _, v := range victims {
		m.evicted[v.Cause().String()].Inc()
		_ = http.NewResponseController(v.Owner.(http.ResponseWriter)).SetReadDeadline(past)
	}
	if len(victims) > 0 {
		m.wakeWaiters() // a victim may wait for bytes itself
	}
}

// EvictStalled aborts the unfinished body that has made no progress for longest, so that its
// connection is closed. It reports whether there is one that has made none for
// intake.StallTimeout.
func (m *Memory) EvictStalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.budget.EvictStalled(time.Now())
	if v == nil {
		return false
	}
	m.abort([]*intake.Body{v})
	return true
}

// EvictAll aborts all unfinished bodies, because the process stops.
func (m *Memory) EvictAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	m.abort(m.budget.EvictAll())
}

// sweep aborts the bodies past their deadline. One shared timer replaces a deadline for each
// read, since ordinary bodies are complete after the first read.
func (m *Memory) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abort(m.budget.EvictOverdue(time.Now()))
	m.sweeping = m.budget.Receiving() > 0
	if m.sweeping {
		time.AfterFunc(sweepInterval, m.sweep)
	}
}

func evictedError(cause intake.Cause) error {
	var e *fault.Error
	switch cause {
	case intake.Overdue:
		e = fault.New(fault.Deadline, "request body did not arrive in time")
	case intake.Stopping:
		e = fault.New(fault.Draining, "the process has stopped before the request body arrived")
	default:
		e = fault.New(fault.Overloaded, "request body made no progress and its %s is needed for others", cause)
	}
	return evicted{e.WithOutcome(fault.NotRun).WithRetryAfter(retryAfter)}
}

// evicted marks the error of a body whose read was aborted.
type evicted struct{ error }

// Unwrap returns the typed error.
func (e evicted) Unwrap() error { return e.error }

func tooLarge(limit int64) *fault.Error {
	return fault.New(fault.Invalid, "body exceeds the limit of %d bytes", limit).WithField("body").WithOutcome(fault.NotRun)
}

// LimitUnread bounds the time for which the server reads a body that the handler has not read,
// before or after it sends the response: a caller may never send it.
func LimitUnread(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// EndRefused ends a request whose body was refused with err, after the whole response with its
// length and "Connection: close" was written. It reads the rest of the body for at most
// discardTimeout, and reports whether the body has ended. Otherwise the connection should be
// closed at once: net/http would leave it open for 500 ms more without reading it.
func EndRefused(w http.ResponseWriter, r *http.Request, err error) (ended bool) {
	LimitUnread(w, r)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	e := evicted{}
	// Nothing has arrived from an evicted caller for a while.
	ended = !errors.As(err, &e) && discardRest(r)
	if !ended {
		_ = controller.SetReadDeadline(past) // net/http reads on before it closes a connection
	}
	return ended
}

func discardRest(r *http.Request) (ended bool) {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return true // the caller may wait for the response before it sends anything
	}
	buffer := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(buffer)
	for read := 0; read < maxDiscardBytes; {
		n, err := r.Body.Read(buffer[:])
		read += n
		if err != nil {
			return err == io.EOF
		}
	}
	return false
}
