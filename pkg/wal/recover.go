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

// segment is what is known about one segment file.
type segment struct {
	header segmentHeader
	last   uint64 // highest index among its entries and marks
	size   uint64 // bytes of good records, header included
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

func corrupt(name string, offset uint64, format string, args ...any) error {
	file := filepath.Base(name)
	return fault.New(fault.Corrupt, format, args...).WithField(fmt.Sprintf("%s offset %d", file, offset))
}

// replay rebuilds the log from the segments.
type replay struct {
	mark    *wirepb.SnapshotMeta
	entries []*wirepb.LogEntry
}

// last returns the last index, or false when the log holds nothing at all.
func (r *replay) last() (uint64, bool) {
	switch {
	case len(r.entries) > 0:
		return r.entries[len(r.entries)-1].Index, true
	case r.mark != nil:
		return r.mark.Index, true
	default:
		return 0, false
	}
}

func (r *replay) add(rec record) (uint64, error) {
	switch rec.kind {
	case recordEntry:
		e, err := decodeEntry(rec.payload)
		if err != nil {
			return 0, err
		}
		return e.Index, r.addEntry(e)
	case recordMark:
		m, err := decodeMark(rec.payload)
		if err != nil {
			return 0, err
		}
		r.mark, r.entries = m, nil
		return m.Index, nil
	default:
		return 0, fault.New(fault.Corrupt, "record type %d is unknown", rec.kind)
	}
}

// addEntry appends an entry, in place of those from its index on.
func (r *replay) addEntry(e *wirepb.LogEntry) error {
	last, known := r.last()
	if known && e.Index > last+1 {
		return fault.New(fault.Corrupt, "entry %d follows entry %d", e.Index, last)
	}
	if r.mark != nil && e.Index <= r.mark.Index {
		return fault.New(fault.Corrupt, "entry %d precedes the snapshot at %d", e.Index, r.mark.Index)
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

// readSegment replays one segment. Only the last one may end in a torn record.
func (r *replay) readSegment(name string, content []byte, isLast bool) (segment, error) {
	h, ok := decodeHeader(content)
	if !ok {
		return segment{}, corrupt(name, 0, "segment header is damaged")
	}
	if sequence, _ := parseSegmentName(filepath.Base(name)); sequence != h.sequence {
		return segment{}, corrupt(name, 0, "segment header names segment %d", h.sequence)
	}
	s := segment{header: h, size: segmentHeaderSize}
	for s.size < uint64(len(content)) {
		rec, ok := h.decodeRecord(content[s.size:])
		if !ok {
			return s, checkTear(name, h, content, s.size, isLast)
		}
		index, err := r.add(rec)
		if err != nil {
			return s, corrupt(name, s.size, "record does not fit: %v", err)
		}
		s.last = max(s.last, index)
		s.size += uint64(rec.size)
	}
	return s, nil
}

// checkTear decides whether a bad record is the trace of an interrupted write.
// It is not when a later record states that the bad one had been synced.
func checkTear(name string, h segmentHeader, content []byte, at uint64, isLast bool) error {
	if !isLast {
		return corrupt(name, at, "bad record in a finished segment")
	}
	for i := at + 1; i+recordHeaderSize <= uint64(len(content)); i++ {
		if rec, ok := h.decodeRecord(content[i:]); ok && rec.synced > at {
			return corrupt(name, at, "bad record before offset %d, which was synced", rec.synced)
		}
	}
	return nil
}

// State is what Open recovered.
type State struct {
	HardState HardState
	// Snapshot is the snapshot after which the log restarted, if any.
	Snapshot *wirepb.SnapshotMeta
	Entries  []*wirepb.LogEntry
	// TruncatedBytes tells how many bytes of an interrupted write were cut off.
	TruncatedBytes int
}

// Open recovers the log in a directory.
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
	hard, err := readHardState(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	l.hard = *hard
	state := &State{HardState: *hard}
	return state, l.recoverSegments(state)
}

func (l *Log) recoverSegments(state *State) error {
	sequences, err := l.listSegments()
	if err != nil {
		return err
	}
	if len(sequences) == 0 {
		return corrupt(l.path(hardStateFile), 0, "hard state without any log segment")
	}
	r := &replay{}
	for i, sequence := range sequences {
		if sequence != sequences[0]+uint64(i) {
			return corrupt(l.path(segmentName(sequence)), 0, "segment %d is missing", sequences[0]+uint64(i))
		}
		isLast := i == len(sequences)-1
		torn, err := l.recoverSegment(r, sequence, isLast)
		if err != nil {
			return err
		}
		state.TruncatedBytes = torn
	}
	state.Snapshot, state.Entries = r.mark, r.entries
	return nil
}

// listSegments returns the sequence numbers in order and removes temporary
// files.
func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, diskFault(err, "list", l.dir)
	}
	var sequences []uint64
	for _, name := range names {
		if IsTemp(name) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return nil, diskFault(err, "remove", name)
			}
		}
		if sequence, ok := parseSegmentName(name); ok {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	return sequences, nil
}

func (l *Log) recoverSegment(r *replay, sequence uint64, isLast bool) (torn int, err error) {
	name := l.path(segmentName(sequence))
	content, err := l.fs.Read(name)
	if err != nil {
		return 0, diskFault(err, "read", name)
	}
	s, err := r.readSegment(name, content, isLast)
	if err != nil {
		return 0, err
	}
	if !isLast {
		l.finished = append(l.finished, s)
		return 0, nil
	}
	if sequence < l.hard.SyncedSegment || (sequence == l.hard.SyncedSegment && s.size < l.hard.SyncedOffset) {
		return 0, corrupt(name, s.size, "log ends before offset %d of segment %d, which was synced", l.hard.SyncedOffset, l.hard.SyncedSegment)
	}
	l.active = s
	torn = len(content) - int(s.size)
	return torn, l.reopen(name, torn > 0)
}

func (l *Log) reopen(name string, cut bool) error {
	f, err := l.fs.Append(name)
	if err != nil {
		return diskFault(err, "open", name)
	}
	l.file = f
	if cut {
		if err := f.Truncate(int64(l.active.size)); err != nil {
			return diskFault(err, "truncate", name)
		}
	}
	// Records that a crash left unsynced count as durable from here on.
	if err := f.Sync(); err != nil {
		return diskFault(err, "sync", name)
	}
	return nil
}
