package instances

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

// ReplyMemory is a budget of memory for bodies that are read whole. The calls of a process
// share it, since upstreams in trouble may send bodies without end on many connections.
type ReplyMemory struct{ free *semaphore.Weighted }

// NewReplyMemory returns a budget of this number of bytes.
func NewReplyMemory(bytes int64) *ReplyMemory {
	return &ReplyMemory{free: semaphore.NewWeighted(max(0, bytes))}
}

// ReplyBody is a whole body. Its receiver must release it.
type ReplyBody struct {
	chunks   [][]byte
	memory   *ReplyMemory
	reserved int64
}

// ReadBody reads the rest of the body. It returns an error if the body is truncated, longer
// than limit bytes, or too long for the memory that other bodies leave.
func (r *Reply) ReadBody(limit int64, memory *ReplyMemory) (*ReplyBody, error) {
	b := &ReplyBody{memory: memory}
	chunk := make([]byte, 0, firstChunkSize(r.Length))
	for total := int64(0); ; {
		n, err := r.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		total += int64(n)
		switch {
		case err == io.EOF:
			b.chunks = append(b.chunks, chunk)
			r.bodyRead = true
			return b, nil
		case err != nil:
			b.Release()
			return nil, fault.Wrap(err, fault.Upstream, "reply of %s is truncated", r.conn.address).WithOutcome(fault.MayHaveRun)
		case total > limit:
			b.Release()
			return nil, fault.New(fault.Upstream, "reply of %s exceeds the limit of %d bytes", r.conn.address, limit).WithOutcome(fault.MayHaveRun)
		case len(chunk) < cap(chunk):
			continue
		}
		b.chunks = append(b.chunks, chunk)
		if total >= chunkBytes && !b.reserve(chunkBytes) {
			b.Release()
			return nil, fault.New(fault.Upstream, "no memory is left for the reply of %s after %d bytes", r.conn.address, total).WithOutcome(fault.MayHaveRun)
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

func (b *ReplyBody) reserve(bytes int64) bool {
	if !b.memory.free.TryAcquire(bytes) {
		return false
	}
	b.reserved += bytes
	return true
}

// Release returns the memory of the body to the budget. The body must not be used afterwards.
func (b *ReplyBody) Release() {
	b.memory.free.Release(b.reserved)
	b.reserved, b.chunks = 0, nil
}

// WriteTo implements io.WriterTo.
func (b *ReplyBody) WriteTo(w io.Writer) (int64, error) {
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
