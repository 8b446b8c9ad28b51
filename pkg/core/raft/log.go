package raft

import (
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// entryLog holds the part of the log that is not compacted.
type entryLog struct {
	base      uint64             // last compacted index
	baseTerm  uint64             // term of the entry at base
	entries   []*wirepb.LogEntry // entries[0] has index base+1
	nextWrite uint64             // first index not yet part of a Write
	stable    uint64             // last index known to be durable
	commit    uint64
	applied   uint64
}

func newEntryLog(snap *wirepb.SnapshotMeta, entries []*wirepb.LogEntry) *entryLog {
	l := &entryLog{base: snap.Index, baseTerm: snap.Term, commit: snap.Index, applied: snap.Index}
	if len(entries) > 0 && entries[0].Index <= snap.Index {
		// Entries from before the snapshot are kept for slow followers. The term
		// before the first of them is unknown, so the first one becomes the base.
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	l.entries = append(l.entries, entries...)
	l.stable = l.last()
	l.nextWrite = l.last() + 1
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false if it is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns a copy of the entries in [from, to), limited to maxBytes but never
// to less than one entry. A maxBytes of zero means no limit.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*wirepb.LogEntry {
	if from >= to {
		return nil
	}
	part := l.entries[from-l.base-1 : to-l.base-1]
	if maxBytes > 0 {
		part = part[:countWithin(part, maxBytes)]
	}
	return append([]*wirepb.LogEntry(nil), part...)
}

func countWithin(entries []*wirepb.LogEntry, maxBytes int) int {
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if size > maxBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...*wirepb.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base - 1
	// The full slice expression keeps later appends from writing into an array
	// that earlier readers still share.
	l.entries = l.entries[:keep:keep]
	l.nextWrite = min(l.nextWrite, index)
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]*wirepb.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// compactionIndex returns the index up to which to compact the log. Of the log up to
// the given index it retains the newest entries, until there are entries of them or
// their data reaches bytes.
func (l *entryLog) compactionIndex(index uint64, entries, bytes int) uint64 {
	for index > l.base && entries > 0 && bytes > 0 {
		entries--
		bytes -= len(l.entries[index-l.base-1].Data)
		index--
	}
	return index
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(snap *wirepb.SnapshotMeta) {
	l.base, l.baseTerm = snap.Index, snap.Term
	l.entries = nil
	l.nextWrite = snap.Index + 1
	l.stable = 0
	l.commit = snap.Index
	l.applied = snap.Index
}

// upToDate reports whether a log whose last entry has the given index and term is
// at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.last())
}

// conflictHint returns the last index up to the given one whose term is not above
// the given term, and its term. It lets a leader skip all conflicting entries of a
// term in one round trip.
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	t, _ := l.term(index)
	return index, t
}
