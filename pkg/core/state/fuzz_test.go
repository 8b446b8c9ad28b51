package state

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a corrupt snapshot that causes a panic in Restore or in a later
// Snapshot, or that changes the state although Restore fails. The last seed has audit
// records that do not match the sequence number, which caused a panic in the next
// Snapshot.
func FuzzRestore(f *testing.F) {
	saved, err := newFilledStore(3, 2).Snapshot()
	assert.NilError(f, err)
	f.Add(saved)
	f.Add([]byte{})
	f.Add([]byte("R\x1e2\f0000000000002\x0e00000000000000X0"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newFilledStore(1, 1)
		before, err := s.Snapshot()
		assert.NilError(t, err)
		if s.Restore(data) == nil {
			_, err := s.Snapshot()
			assert.NilError(t, err)
			return
		}
		after, err := s.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(before, after))
	})
}
