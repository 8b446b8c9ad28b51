package snap

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against loading a damaged newest snapshot, against losing the older one with it,
// and against directories that grow without limit.
func TestLoad_FallsBackToOlderSnapshotIfNewestIsDamaged(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(wal.OS{}, dir)
	meta, _, err := s.Load()
	assert.NilError(t, err)
	assert.Assert(t, meta == nil)
	for index := uint64(1); index <= 4; index++ {
		assert.NilError(t, s.Save(&wirepb.SnapshotMeta{Index: index, Term: 2}, []byte{byte(index)}))
	}
	indexes, err := s.list()
	assert.NilError(t, err)
	assert.DeepEqual(t, indexes, []uint64{3, 4})
	damage(t, s.path(4))
	meta, data, err := s.Load()
	assert.NilError(t, err)
	assert.Equal(t, meta.Index, uint64(3))
	assert.DeepEqual(t, data, []byte{3})
	damage(t, s.path(3))
	_, _, err = s.Load()
	assert.Assert(t, fault.Is(err, fault.Corrupt), "%v", err)
	assert.Equal(t, fault.As(err).Field, filepath.Base(s.path(3)))
}

func damage(t *testing.T, name string) {
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	b[len(b)/2] ^= 4
	assert.NilError(t, os.WriteFile(name, b, 0o600))
}

// Guards against panics on arbitrary files, and against data that changes in a round trip.
func FuzzDecode(f *testing.F) {
	b, err := Encode(&wirepb.SnapshotMeta{Index: 9, Term: 2, Voters: []*wirepb.Voter{{Id: 1}}}, []byte("state"))
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		meta, data, err := Decode(b)
		if err != nil {
			return
		}
		encoded, err := Encode(meta, data)
		assert.NilError(t, err)
		_, decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, data)
	})
}
