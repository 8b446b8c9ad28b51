package wal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func entry(index, term uint64) *wirepb.LogEntry {
	return &wirepb.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func batchOf(term uint64, indexes ...uint64) Batch {
	var b Batch
	for _, index := range indexes {
		b.Entries = append(b.Entries, entry(index, term))
	}
	return b
}

const activeSegment = "d/0000000000000001.wal"

// sampleLog writes batches to one segment and returns the size of the segment after each
// batch. The batch at index hardStateBatch includes the hard state.
func sampleLog(t testing.TB, hardStateBatch int) (*memFS, []int) {
	m := newMemFS()
	l, err := Create(Options{Dir: "d", FS: m}, HardState{ID: 1})
	assert.NilError(t, err)
	var ends []int
	for i, b := range []Batch{batchOf(1, 1, 2), batchOf(1, 3), batchOf(2, 3, 4), batchOf(2, 5, 6)} {
		if i == hardStateBatch {
			b.HardState = &HardState{ID: 1, Term: 2, Vote: 1}
		}
		assert.NilError(t, l.Write(b))
		ends = append(ends, len(m.names[activeSegment].data))
	}
	return m, ends
}

// terms formats a log as index/term pairs.
func terms(entries []*wirepb.LogEntry) string {
	s := ""
	for _, e := range entries {
		s += fmt.Sprintf("%d/%d ", e.Index, e.Term)
	}
	return s
}

// validPrefixes are the logs that can remain after the sample log is truncated.
var validPrefixes = map[string]bool{
	"": true, "1/1 ": true, "1/1 2/1 ": true, "1/1 2/1 3/1 ": true, "1/1 2/1 3/2 ": true,
	"1/1 2/1 3/2 4/2 ": true, "1/1 2/1 3/2 4/2 5/2 ": true, "1/1 2/1 3/2 4/2 5/2 6/2 ": true,
}

// Guards against a log that, after an interrupted write, does not open, contains invented
// entries, can't be appended to, or hides the loss of synced records.
func TestOpen_LogTruncatedAtAnyOffset(t *testing.T) {
	const hardStateBatch = 1
	_, ends := sampleLog(t, hardStateBatch)
	for size := 0; size < ends[len(ends)-1]; size++ {
		m, _ := sampleLog(t, hardStateBatch)
		f := m.names[activeSegment]
		f.data = f.data[:size]
		l, state, err := Open(Options{Dir: "d", FS: m})
		if size < ends[hardStateBatch] {
			assert.Assert(t, fault.Is(err, fault.Corrupt), "truncated to %d bytes: %v", size, err)
			continue
		}
		assert.NilError(t, err, "truncated to %d bytes", size)
		assert.Assert(t, validPrefixes[terms(state.Entries)], "truncated to %d bytes: %s", size, terms(state.Entries))
		assert.Equal(t, state.HardState.Term, uint64(2))
		next := uint64(len(state.Entries)) + 1
		assert.NilError(t, l.Write(batchOf(3, next)))
		_, state, err = Open(Options{Dir: "d", FS: m})
		assert.NilError(t, err)
		assert.Equal(t, state.Entries[next-1].Term, uint64(3))
	}
}

// Guards against damaged records that are accepted as valid or as an interrupted write.
// Only the last batch can be an interrupted write, because each later record states that
// the records before it were synced.
func TestOpen_BitFlipsAreDetected(t *testing.T) {
	_, ends := sampleLog(t, 0)
	lastBatch := ends[len(ends)-2]
	for at := 0; at < ends[len(ends)-1]; at++ {
		m, _ := sampleLog(t, 0)
		m.names[activeSegment].data[at] ^= 1 << (at % 8)
		_, state, err := Open(Options{Dir: "d", FS: m})
		if at < lastBatch {
			assert.Assert(t, fault.Is(err, fault.Corrupt), "flip at %d: %v", at, err)
			assert.Assert(t, fault.As(err).Field != "")
			continue
		}
		assert.NilError(t, err, "flip at %d", at)
		assert.Assert(t, len(state.Entries) >= 4 && validPrefixes[terms(state.Entries)], "flip at %d", at)
	}
	for at := range len(mustEncode(t)) {
		b := mustEncode(t)
		b[at] ^= 1 << (at % 8)
		_, ok := decodeHardState(b)
		assert.Assert(t, !ok, "flip at %d of the hard state", at)
	}
}

func mustEncode(t testing.TB) []byte {
	b, err := (&HardState{ID: 1, Member: 2, InitialVoters: []*wirepb.Voter{{Id: 1}}}).encode()
	assert.NilError(t, err)
	return b
}

// compactedIndex is the index that runRandomWrites passes to Compact.
const compactedIndex = 1

// writeResults holds the acknowledged entries, in order of their index, and the term of
// the hard state after random writes, which end at the first failure.
type writeResults struct {
	acked     []*wirepb.LogEntry
	attempted []*wirepb.LogEntry // last batch, acknowledged or not
	term      uint64
	err       error
}

func runRandomWrites(m *memFS, rng *rand.Rand) *writeResults {
	s := &writeResults{}
	l, err := Create(Options{Dir: "d", FS: m, SegmentBytes: 300}, HardState{ID: 1})
	if err != nil {
		s.err = err
		return s
	}
	for range 30 {
		first := 1 + uint64(rng.IntN(len(s.acked)+1))
		b := batchOf(s.term+1, first, first+1)
		if rng.IntN(3) == 0 {
			b.HardState = &HardState{ID: 1, Term: s.term + 1}
		}
		s.attempted = b.Entries
		if s.err = l.Write(b); s.err != nil {
			return s
		}
		s.acked = append(s.acked[:first-1], b.Entries...)
		if b.HardState != nil {
			s.term++
		}
		if rng.IntN(4) > 0 || len(s.acked) < 2 {
			continue
		}
		if s.err = l.Compact(compactedIndex); s.err != nil {
			return s
		}
	}
	return s
}

// Guards against the loss of acknowledged data after a crash or a disk failure, and
// against a log that accepts writes after a failure. The operation that fails and the
// unsynced data that survives the crash are random.
func TestWrite_AcknowledgedDataSurvivesFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := newMemFS()
		m.failAt = rapid.IntRange(0, 250).Draw(t, "failing operation")
		m.failure = rapid.SampledFrom(failures).Draw(t, "failure")
		s := runRandomWrites(m, rng)
		if s.err != nil {
			assert.Assert(t, fault.Is(s.err, fault.Disk), "%v", s.err)
		}
		after := m.crash(rng)
		exists, err := Exists(after, "d")
		assert.NilError(t, err)
		if !exists {
			assert.Assert(t, len(s.acked) == 0 && s.term == 0)
			_, err := Create(Options{Dir: "d", FS: after}, HardState{ID: 1})
			assert.NilError(t, err)
			return
		}
		_, state, err := Open(Options{Dir: "d", FS: after, SegmentBytes: 300})
		assert.NilError(t, err)
		checkRecovered(t, s, state)
	})
}

// checkRecovered checks that the acknowledged entries were recovered, except those that
// the failed batch replaced.
func checkRecovered(t *rapid.T, s *writeResults, state *State) {
	assert.Assert(t, state.HardState.Term >= s.term)
	have := map[uint64]uint64{}
	for _, e := range state.Entries {
		have[e.Index] = e.Term
	}
	replaced := uint64(1 << 62)
	if s.err != nil && len(s.attempted) > 0 && have[s.attempted[0].Index] == s.attempted[0].Term {
		replaced = s.attempted[0].Index
	}
	for _, e := range s.acked {
		if e.Index <= compactedIndex || e.Index >= replaced {
			continue
		}
		assert.Equal(t, have[e.Index], e.Term, "entry %d", e.Index)
	}
}

// Guards against a log that accepts writes after a failed sync and could then report
// success for data that was lost.
func TestWrite_FailsAfterFirstFailure(t *testing.T) {
	m := newMemFS()
	l, err := Create(Options{Dir: "d", FS: m}, HardState{ID: 1})
	assert.NilError(t, err)
	m.failAt, m.failure = m.ops+2, failures[1]
	for range 3 {
		err := l.Write(batchOf(1, 1))
		assert.Assert(t, fault.Is(err, fault.Disk), "%v", err)
	}
}

// Guards against panics and endless loops on arbitrary segment files.
func FuzzSegment(f *testing.F) {
	m, _ := sampleLog(f, 0)
	f.Add(m.names[activeSegment].data)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &replayState{}
		s, err := r.readSegment(activeSegment, b, true)
		if err == nil && s.size > uint64(len(b)) {
			t.Fatalf("segment of %d bytes has %d valid bytes", len(b), s.size)
		}
	})
}

// Guards against panics on arbitrary hard state files.
func FuzzHardState(f *testing.F) {
	f.Add(mustEncode(f))
	f.Fuzz(func(_ *testing.T, b []byte) { decodeHardState(b) })
}
