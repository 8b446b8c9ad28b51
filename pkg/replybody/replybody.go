// Package replybody reads the bodies of replies of upstreams whole. The replies of a process
// share a budget of memory, since upstreams in trouble may send bodies without end on many
// connections at once.
package replybody

import (
	"io"

	"golang.org/x/sync/semaphore"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	// firstChunkBytes is the size of the first chunk of a body of unknown length.
	firstChunkBytes = 4 << 10
	// chunkBytes is the size of further chunks. Those after the first chunkBytes of a body are
	// taken from the budget, so that endless bodies do not keep out short ones.
	chunkBytes = 64 << 10
)

// Memory is a budget of memory.
type Memory struct{ free *semaphore.Weighted }

// NewMemory returns a budget of this number of bytes.
func NewMemory(bytes int64) *Memory {
	return &Memory{free: semaphore.NewWeighted(max(0, bytes))}
}

// Body is a whole body. Its receiver must release it.
type Body struct {
	chunks   [][]byte
	size     int64
	memory   *Memory
	reserved int64
}

// Read reads a body of the given length, -1 if unknown, to its end. It returns an error of kind
// Upstream if the body is truncated, longer than limit bytes, or too long for the memory that
// other bodies leave.
func (m *Memory) Read(r io.Reader, length, limit int64) (*Body, error) {
	b := &Body{memory: m}
	chunk := make([]byte, 0, firstChunkSize(length))
	for {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.size += int64(n)
		switch {
		case b.size > limit:
			b.Release()
			return nil, fault.New(fault.Upstream, "body is over the limit of %d bytes", limit).WithField("body").WithOutcome(fault.MayHaveRun)
		case err == io.EOF:
			b.chunks = append(b.chunks, chunk)
			return b, nil
		case err != nil:
			b.Release()
			return nil, fault.Wrap(err, fault.Upstream, "body is truncated").WithOutcome(fault.MayHaveRun)
		case len(chunk) < cap(chunk):
			continue
		}
		b.chunks = append(b.chunks, chunk)
		if b.size >= chunkBytes && !b.reserve(chunkBytes) {
			b.Release()
			return nil, fault.New(fault.Upstream, "no memory is left for the body after %d bytes", b.size).WithOutcome(fault.MayHaveRun)
		}
		chunk = make([]byte, 0, chunkBytes)
	}
}

// firstChunkSize leaves room for one more byte than the body has, so that its end is found
// without a further chunk.
func firstChunkSize(length int64) int64 {
	if length < 0 {
		return firstChunkBytes
	}
	return min(length+1, chunkBytes)
}

func (b *Body) reserve(bytes int64) bool {
	if !b.memory.free.TryAcquire(bytes) {
		return false
	}
	b.reserved += bytes
	return true
}

// Release returns the memory of the body to the budget. The body must not be used afterwards.
func (b *Body) Release() {
	b.memory.free.Release(b.reserved)
	b.reserved, b.chunks = 0, nil
}

// Bytes returns a copy of the body.
func (b *Body) Bytes() []byte {
	out := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		out = append(out, chunk...)
	}
	return out
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
