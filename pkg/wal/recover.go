package wal

import (
	"fmt"
	"path/filepath"
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
