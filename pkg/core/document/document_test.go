package document

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func encode(t testing.TB, change *wirepb.DocumentChange) []byte {
	t.Helper()
	data, err := proto.Marshal(change)
	assert.NilError(t, err)
	return data
}

func departure(t testing.TB, id string, bornUnixMs, timeUnixMs int64) []byte {
	t.Helper()
	return encode(t, &wirepb.DocumentChange{Departure: &wirepb.Departure{InstanceId: id, BornUnixMs: bornUnixMs, TimeUnixMs: timeUnixMs}})
}

// Guards against a departure that a later one or a configuration removes, and against one that
// keeps out the next process under the id.
func TestApply_KeepsDepartures(t *testing.T) {
	s := New()
	assert.Equal(t, s.Apply(departure(t, "a", 10, 1000)), DepartureRecorded)
	assert.Equal(t, s.Apply(encode(t, &wirepb.DocumentChange{Version: 3, Document: []byte("x")})), DocumentStored)
	assert.Equal(t, s.Apply(departure(t, "b", 20, 900)), DepartureRecorded, "the clocks of leaders differ")
	assert.Equal(t, s.Apply(departure(t, "a", 9, 1001)), NoEffect, "a later process has departed already")
	assert.Equal(t, s.Version(), uint64(3))
	assert.Assert(t, s.HasDeparted("a", 10) && s.HasDeparted("a", 9) && s.HasDeparted("b", 20))
	assert.Assert(t, !s.HasDeparted("a", 11) && !s.HasDeparted("c", 0))
	assert.Equal(t, s.Apply(departure(t, "a", 30, 1002)), DepartureRecorded)
	assert.Equal(t, len(s.Departures()), 2)
	assert.Equal(t, len(s.AuditRecords()), 1, "departures are not part of the audit trail")
}

// Guards against departures that fill the memory and the disks of all replicas.
func TestApply_BoundsDepartures(t *testing.T) {
	s := New()
	for i := range maxDepartures + 10 {
		s.Apply(departure(t, fmt.Sprint("i", i), 1, 1000))
	}
	assert.Equal(t, len(s.Departures()), maxDepartures)
	assert.Assert(t, s.HasDeparted(fmt.Sprint("i", maxDepartures+9), 1) && !s.HasDeparted("i0", 1))
	s.Apply(departure(t, "late", 1, 1001+departureAge.Milliseconds()))
	assert.Equal(t, len(s.Departures()), 1)
}

// Guards against replicas that differ after a snapshot, and against changes that change what
// Departures has returned before.
func TestStore_SnapshotHoldsDepartures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := New(), New()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			change := &wirepb.DocumentChange{Version: uint64(rapid.IntRange(0, 5).Draw(t, "version")), Document: []byte{byte(i)}}
			if change.Version == 0 {
				change.Departure = &wirepb.Departure{
					InstanceId: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
					BornUnixMs: rapid.Int64Range(0, 3).Draw(t, "born"),
					TimeUnixMs: rapid.Int64Range(0, 3).Draw(t, "time") * departureAge.Milliseconds(),
				}
			}
			data, err := proto.Marshal(change)
			assert.NilError(t, err)
			before := direct.Departures()
			held := append([]*wirepb.Departure(nil), before...)
			assert.Equal(t, direct.Apply(data), restored.Apply(data))
			for n := range held {
				assert.Assert(t, before[n] == held[n])
			}
			if rapid.Bool().Draw(t, "restart") {
				snapshot, err := restored.Snapshot()
				assert.NilError(t, err)
				restored = New()
				assert.NilError(t, restored.Restore(snapshot))
			}
		}
		a, err := direct.Snapshot()
		assert.NilError(t, err)
		b, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, a, b)
	})
}

// Guards against a log of an earlier version that does not open, and against a change that is
// not valid and stops the replica.
func TestApply_IgnoresInvalidChanges(t *testing.T) {
	s := New()
	for _, data := range [][]byte{nil, {0xff}, encode(t, &wirepb.DocumentChange{Host: "h", TimeUnixMs: time.Now().UnixMilli()})} {
		assert.Equal(t, s.Apply(data), NoEffect)
	}
	assert.NilError(t, s.Restore(nil))
	assert.Equal(t, len(s.Departures()), 0)
}
