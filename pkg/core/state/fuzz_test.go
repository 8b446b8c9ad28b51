package state

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a damaged snapshot that crashes the restore, or that changes
// the state although it is refused.
func FuzzRestore(f *testing.F) {
	saved, err := filled(3, 2).Snapshot()
	assert.NilError(f, err)
	f.Add(saved)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := filled(1, 1)
		before, err := s.Snapshot()
		assert.NilError(t, err)
		if s.Restore(data) == nil {
			return
		}
		after, err := s.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(before, after))
	})
}
