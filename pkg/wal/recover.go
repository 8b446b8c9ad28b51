package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const segmentSuffix = ".wal"

// segment describes a segment file.
type segment struct {
	header    segmentHeader
	lastIndex uint64 // highest index among its entries and snapshot records
	size      uint64 // header and valid records, in bytes
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

func parseSegmentName(name string) (uint64, bool) {
	base, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseUint(base, 16, 64)
	return sequence, err == nil
}

func corruptError(name string, offset uint64, format string, args ...any) error {
	file := filepath.Base(name)
	return fault.New(fault.Corrupt, format, args...).WithField(fmt.Sprintf("%s offset %d", file, offset))
}

// replayState is the log as rebuilt from the segments read so far.
type replayState struct {
	baseSnapshot *wirepb.SnapshotMeta
	entries      []*wirepb.LogEntry
}

// last returns the last index, or false if the log has neither entries nor a snapshot.
func (r *replayState) last() (uint64, bool) {
	switch {
	case len(r.entries) > 0:
		return r.entries[len(r.entries)-1].Index, true
	case r.baseSnapshot != nil:
		return r.baseSnapshot.Index, true
	default:
		return 0, false
	}
}

// add applies a record and returns its index.
func (r *replayState) add(rec record) (uint64, error) {
	switch rec.kind {
	case recordEntry:
		e, err := decodeEntry(rec.payload)
		if err != nil {
			return 0, err
		}
		return e.Index, r.addEntry(e)
	case recordSnapshot:
		m, err := decodeSnapshot(rec.payload)
		if err != nil {
			return 0, err
		}
		r.baseSnapshot, r.entries = m, nil
		return m.Index, nil
	default:
		return 0, fault.New(fault.Corrupt, "record type %d is unknown", rec.kind)
	}
}

// addEntry appends an entry. It replaces the entries from its index on.
func (r *replayState) addEntry(e *wirepb.LogEntry) error {
	last, known := r.last()
	if known && e.Index > last+1 {
		return fault.New(fault.Corrupt, "entry %d follows entry %d", e.Index, last)
	}
	if r.baseSnapshot != nil && e.Index <= r.baseSnapshot.Index {
		return fault.New(fault.Corrupt, "entry %d precedes the snapshot at %d", e.Index, r.baseSnapshot.Index)
	}
	if len(r.entries) > 0 {
		first := r.entries[0].Index
		if e.Index < first {
			r.entries = r.entries[:0]
		} else {
			r.entries = r.entries[:e.Index-first]
		}
	}
	r.entries = append(r.entries, e)
	return nil
}

// readSegment replays a segment. Only the last segment may end in an incomplete record.
func (r *replayState) readSegment(name string, content []byte, isLast bool) (segment, error) {
	h, ok := decodeSegmentHeader(content)
	if !ok {
		return segment{}, corruptError(name, 0, "segment header is damaged")
	}
	if sequence, _ := parseSegmentName(filepath.Base(name)); sequence != h.sequence {
		return segment{}, corruptError(name, 0, "segment header has sequence number %d", h.sequence)
	}
	s := segment{header: h, size: segmentHeaderSize}
	for s.size < uint64(len(content)) {
		rec, ok := h.decodeRecord(content[s.size:])
		if !ok {
			return s, checkInterruptedWrite(name, h, content, s.size, isLast)
		}
		index, err := r.add(rec)
		if err != nil {
			return s, corruptError(name, s.size, "record does not continue the log: %v", err)
		}
		s.lastIndex = max(s.lastIndex, index)
		s.size += uint64(rec.size)
	}
	return s, nil
}

// checkInterruptedWrite returns an error if the invalid record at offset cannot come from
// an interrupted write, because the segment is sealed or a later record states that the
// segment was synced beyond offset.
func checkInterruptedWrite(name string, h segmentHeader, content []byte, offset uint64, isLast bool) error {
	if !isLast {
		return corruptError(name, offset, "invalid record in a sealed segment")
	}
	for i := offset + 1; i+recordHeaderSize <= uint64(len(content)); i++ {
		if rec, ok := h.decodeRecord(content[i:]); ok && rec.syncedOffset > offset {
			return corruptError(name, offset, "invalid record before offset %d, up to which the segment was synced", rec.syncedOffset)
		}
	}
	return nil
}

// State is the state that Open recovered.
type State struct {
	HardState HardState
	// Snapshot is the index and term of the snapshot after which the log restarted, or
	// nil.
	Snapshot *wirepb.SnapshotMeta
	Entries  []*wirepb.LogEntry
	// TruncatedBytes is the size of an interrupted write that was removed from the end of
	// the log.
	TruncatedBytes int
}

// Open locks a directory and recovers its log.
func Open(o Options) (*Log, *State, error) {
	l := newLog(o)
	if err := l.lockDir(); err != nil {
		return nil, nil, err
	}
	state, err := l.recover()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, state, nil
}

func (l *Log) recover() (*State, error) {
	hardState, err := readHardState(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	l.hardState = *hardState
	state := &State{HardState: *hardState}
	return state, l.recoverSegments(state)
}

func (l *Log) recoverSegments(state *State) error {
	sequences, err := l.listSegments()
	if err != nil {
		return err
	}
	if len(sequences) == 0 {
		return corruptError(l.path(hardStateFile), 0, "hard state exists without any log segment")
	}
	r := &replayState{}
	for i, sequence := range sequences {
		if sequence != sequences[0]+uint64(i) {
			return corruptError(l.path(segmentName(sequence)), 0, "segment %d is missing", sequences[0]+uint64(i))
		}
		isLast := i == len(sequences)-1
		truncated, err := l.recoverSegment(r, sequence, isLast)
		if err != nil {
			return err
		}
		state.TruncatedBytes = truncated
	}
	state.Snapshot, state.Entries = r.baseSnapshot, r.entries
	return nil
}

// listSegments returns the sorted sequence numbers of the segments. It removes
// temporary files.
func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, diskError(err, "list", l.dir)
	}
	var sequences []uint64
	for _, name := range names {
		if IsTemp(name) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return nil, diskError(err, "remove", name)
			}
		}
		if sequence, ok := parseSegmentName(name); ok {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	return sequences, nil
}

func (l *Log) recoverSegment(r *replayState, sequence uint64, isLast bool) (truncated int, err error) {
	name := l.path(segmentName(sequence))
	content, err := l.fs.Read(name)
	if err != nil {
		return 0, diskError(err, "read", name)
	}
	s, err := r.readSegment(name, content, isLast)
	if err != nil {
		return 0, err
	}
	if !isLast {
		l.sealedSegments = append(l.sealedSegments, s)
		return 0, nil
	}
	if sequence < l.hardState.SyncedSegment || (sequence == l.hardState.SyncedSegment && s.size < l.hardState.SyncedOffset) {
		return 0, corruptError(name, s.size, "log ends before offset %d of segment %d, up to which it was synced", l.hardState.SyncedOffset, l.hardState.SyncedSegment)
	}
	l.activeSegment = s
	truncated = len(content) - int(s.size)
	return truncated, l.reopen(name, truncated > 0)
}

func (l *Log) reopen(name string, truncate bool) error {
	f, err := l.fs.Append(name)
	if err != nil {
		return diskError(err, "open", name)
	}
	l.file = f
	if truncate {
		if err := f.Truncate(int64(l.activeSegment.size)); err != nil {
			return diskError(err, "truncate", name)
		}
	}
	// Recovered records that were not synced before a crash are durable from here on.
	if err := f.Sync(); err != nil {
		return diskError(err, "sync", name)
	}
	return nil
}
