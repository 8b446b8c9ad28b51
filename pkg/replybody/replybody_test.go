package replybody

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against a body that loses, repeats or reorders bytes, one that is truncated and taken
// for whole, and memory of the budget that is not returned.
func TestRead_ReturnsWholeBodyWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, budget = 5 * chunkBytes, 3 * chunkBytes
		memory := NewMemory(budget)
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
		body, err := memory.Read(source, length, limit)
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
			assert.Assert(t, bytes.Equal(got.Bytes(), want) && bytes.Equal(body.Bytes(), want))
			assert.Assert(t, body.reserved <= budget && body.reserved+chunkBytes+firstChunkBytes >= int64(size))
			body.Release()
		}
		assert.Assert(t, memory.free.TryAcquire(budget), "the budget is not whole again")
	})
}

// Guards against long bodies that keep out short ones, and against a long one that fails while
// there is room.
func TestRead_ShortBodiesNeedNoBudget(t *testing.T) {
	memory := NewMemory(2 * chunkBytes)
	long, err := memory.Read(strings.NewReader(strings.Repeat("x", 5*chunkBytes/2)), -1, 8*chunkBytes)
	assert.NilError(t, err)
	_, err = memory.Read(strings.NewReader(strings.Repeat("x", 2*chunkBytes)), -1, 8*chunkBytes)
	assert.ErrorContains(t, err, "no memory is left")
	short, err := memory.Read(strings.NewReader(strings.Repeat("x", chunkBytes-1)), chunkBytes-1, 8*chunkBytes)
	assert.NilError(t, err)
	short.Release()
	long.Release()
	_, err = memory.Read(strings.NewReader(strings.Repeat("x", 2*chunkBytes)), -1, 8*chunkBytes)
	assert.NilError(t, err)
}
