package state

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a damaged snapshot that crashes the restore or a later
// snapshot, or that changes the state although it is refused. The last seed has
// audit records that do not fit the sequence number, which crashed the next
// snapshot.
func FuzzRestore(f *testing.F) {
	saved, err := filled(3, 2).Snapshot()
	assert.NilError(f, err)
	f.Add(saved)
	f.Add([]byte{})
	f.Add([]byte("R\x1e2\f0000000000002\x0e00000000000000X0"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := filled(1, 1)
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
