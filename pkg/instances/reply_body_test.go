package instances

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

func replyOf(body io.Reader, length int64) *Reply {
	return &Reply{Body: body, Length: length, conn: &conn{address: "x"}, resp: &http.Response{}}
}

// Guards against a body that loses, repeats or reorders bytes, one that is truncated and taken
// for whole, and memory of the budget that is not returned.
func TestReadBody_ReturnsWholeBodyWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, budget = 5 * chunkBytes, 3 * chunkBytes
		memory := NewReplyMemory(budget)
		size := rapid.OneOf(rapid.IntRange(0, 200), rapid.IntRange(chunkBytes-2, chunkBytes+2), rapid.IntRange(0, 6*chunkBytes)).Draw(t, "size")
		want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		length := rapid.SampledFrom([]int64{-1, int64(size)}).Draw(t, "length")
		truncated := rapid.Bool().Draw(t, "truncated")
		var source io.Reader = bytes.NewReader(want)
		if truncated {
			source = io.MultiReader(source, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		if rapid.Bool().Draw(t, "small reads") {
			source = iotest.HalfReader(source)
		}
		r := replyOf(source, length)
		body, err := r.ReadBody(limit, memory)
		switch {
		case truncated || size > limit:
			assert.Assert(t, fault.Is(err, fault.Upstream) && fault.As(err).Outcome == fault.MayHaveRun, "%v", err)
		case err != nil:
			assert.Assert(t, size >= budget, "a body of %d bytes does not fit: %v", size, err)
		default:
			var got bytes.Buffer
			n, err := body.WriteTo(&got)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			assert.Assert(t, bytes.Equal(got.Bytes(), want) && r.bodyRead)
			assert.Assert(t, body.reserved <= budget && body.reserved+chunkBytes+firstChunkBytes >= int64(size))
			body.Release()
		}
		assert.Assert(t, memory.free.TryAcquire(budget), "the budget is not whole again")
	})
}

// Guards against long bodies that keep out short ones, and against a long one that fails while
// there is room.
func TestReadBody_ShortBodiesNeedNoBudget(t *testing.T) {
	memory := NewReplyMemory(2 * chunkBytes)
	long, err := replyOf(strings.NewReader(strings.Repeat("x", 5*chunkBytes/2)), -1).ReadBody(8*chunkBytes, memory)
	assert.NilError(t, err)
	_, err = replyOf(strings.NewReader(strings.Repeat("x", 2*chunkBytes)), -1).ReadBody(8*chunkBytes, memory)
	assert.ErrorContains(t, err, "no memory is left")
	short, err := replyOf(strings.NewReader(strings.Repeat("x", chunkBytes-1)), chunkBytes-1).ReadBody(8*chunkBytes, memory)
	assert.NilError(t, err)
	short.Release()
	long.Release()
	_, err = replyOf(strings.NewReader(strings.Repeat("x", 2*chunkBytes)), -1).ReadBody(8*chunkBytes, memory)
	assert.NilError(t, err)
}
