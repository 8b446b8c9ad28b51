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

// sampleLog writes batches into one segment and returns its size after each.
// The hard state is written with the batch hardAt.
func sampleLog(t testing.TB, hardAt int) (*memFS, []int) {
	m := newMemFS()
	l, err := Create(Options{Dir: "d", FS: m}, HardState{ID: 1})
	assert.NilError(t, err)
	var ends []int
	for i, b := range []Batch{batchOf(1, 1, 2), batchOf(1, 3), batchOf(2, 3, 4), batchOf(2, 5, 6)} {
		if i == hardAt {
			b.HardState = &HardState{ID: 1, Term: 2, Vote: 1}
		}
		assert.NilError(t, l.Write(b))
		ends = append(ends, len(m.names[activeSegment].data))
	}
	return m, ends
}

// terms describes a log as index/term pairs.
func terms(entries []*wirepb.LogEntry) string {
	s := ""
	for _, e := range entries {
		s += fmt.Sprintf("%d/%d ", e.Index, e.Term)
	}
	return s
}

// validPrefixes are the logs that a cut of the sample may leave.
var validPrefixes = map[string]bool{
	"": true, "1/1 ": true, "1/1 2/1 ": true, "1/1 2/1 3/1 ": true, "1/1 2/1 3/2 ": true,
	"1/1 2/1 3/2 4/2 ": true, "1/1 2/1 3/2 4/2 5/2 ": true, "1/1 2/1 3/2 4/2 5/2 6/2 ": true,
}

// Guards against a log that does not open after an interrupted write, that
// invents entries, that can't be continued, or that hides the loss of synced
// records.
func TestTornTailAtEveryOffset(t *testing.T) {
	const hardAt = 1
	_, ends := sampleLog(t, hardAt)
	for cut := 0; cut < ends[len(ends)-1]; cut++ {
		m, _ := sampleLog(t, hardAt)
		f := m.names[activeSegment]
		f.data = f.data[:cut]
		l, state, err := Open(Options{Dir: "d", FS: m})
		if cut < ends[hardAt] {
			assert.Assert(t, fault.Is(err, fault.Corrupt), "cut at %d: %v", cut, err)
			continue
		}
		assert.NilError(t, err, "cut at %d", cut)
		assert.Assert(t, validPrefixes[terms(state.Entries)], "cut at %d: %s", cut, terms(state.Entries))
		assert.Equal(t, state.HardState.Term, uint64(2))
		next := uint64(len(state.Entries)) + 1
		assert.NilError(t, l.Write(batchOf(3, next)))
		_, state, err = Open(Options{Dir: "d", FS: m})
		assert.NilError(t, err)
		assert.Equal(t, state.Entries[next-1].Term, uint64(3))
	}
}

// Guards against damaged records that are taken for good ones or for the
// trace of an interrupted write. Only the last batch can be such a trace,
// because each later record tells that the ones before it were synced.
func TestBitFlips(t *testing.T) {
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

// compacted is the index up to which the scenario lets segments go.
const compacted = 1

// scenario writes random batches until a failure and returns what was
// acknowledged: the entries by index and the term of the hard state.
type scenario struct {
	acked []*wirepb.LogEntry
	tried []*wirepb.LogEntry // last batch, acknowledged or not
	term  uint64
	err   error
}

func runScenario(m *memFS, rng *rand.Rand) *scenario {
	s := &scenario{}
	l, err := Create(Options{Dir: "d", FS: m, SegmentSize: 300}, HardState{ID: 1})
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
		s.tried = b.Entries
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
		if s.err = l.Compact(compacted); s.err != nil {
			return s
		}
	}
	return s
}

// Guards against acknowledged data that a crash or a failing disk takes away,
// and against a log that goes on after a failure. The failing operation and
// what the crash leaves of unsynced data are random.
func TestAcknowledgedSurvivesFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := newMemFS()
		m.failAt = rapid.IntRange(0, 250).Draw(t, "failing operation")
		m.failure = rapid.SampledFrom(failures).Draw(t, "failure")
		s := runScenario(m, rng)
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
		_, state, err := Open(Options{Dir: "d", FS: after, SegmentSize: 300})
		assert.NilError(t, err)
		checkRecovered(t, s, state)
	})
}

// checkRecovered expects the acknowledged entries, except that the batch that
// failed may have taken the place of some.
func checkRecovered(t *rapid.T, s *scenario, state *State) {
	assert.Assert(t, state.HardState.Term >= s.term)
	have := map[uint64]uint64{}
	for _, e := range state.Entries {
		have[e.Index] = e.Term
	}
	replaced := uint64(1 << 62)
	if s.err != nil && len(s.tried) > 0 && have[s.tried[0].Index] == s.tried[0].Term {
		replaced = s.tried[0].Index
	}
	for _, e := range s.acked {
		if e.Index <= compacted || e.Index >= replaced {
			continue
		}
		assert.Equal(t, have[e.Index], e.Term, "entry %d", e.Index)
	}
}

// Guards against a log that accepts writes after a failed sync, which could
// then report success for data that the failed one lost.
func TestStopsAfterFailure(t *testing.T) {
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
		r := &replay{}
		s, err := r.readSegment(activeSegment, b, true)
		if err == nil && s.size > uint64(len(b)) {
			t.Fatalf("segment of %d bytes has %d good ones", len(b), s.size)
		}
	})
}

// Guards against panics on arbitrary hard state files.
func FuzzHardState(f *testing.F) {
	f.Add(mustEncode(f))
	f.Fuzz(func(_ *testing.T, b []byte) { decodeHardState(b) })
}
