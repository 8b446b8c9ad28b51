// Package wal implements the write-ahead log of a replica: segment files of checksummed
// records, and a small file with the hard state.
package wal

import (
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 4 << 20

// Options configures a log.
type Options struct {
	Dir          string
	FS           FS  // the operating system's by default
	SegmentBytes int // size at which a segment is sealed
}

// Batch is a set of changes that one Write call makes durable.
type Batch struct {
	HardState *HardState           // nil if unchanged
	Snapshot  *wirepb.SnapshotMeta // if set, the log restarts after it
	Entries   []*wirepb.LogEntry
}

// Log is an open log. It is not safe for concurrent use. After the first failure of a
// write or sync, all further writes fail: the content of the file system is then unknown,
// and a later sync could report success for lost data.
type Log struct {
	fs             FS
	dir            string
	segmentBytes   uint64
	hardState      HardState
	sealedSegments []segment
	activeSegment  segment
	file           File
	lock           io.Closer
	writeErr       error
}

// Exists reports whether dir contains a log, and creates dir if necessary. An empty first
// segment without a hard state comes from an interrupted Create and does not count.
func Exists(fs FS, dir string) (bool, error) {
	if err := fs.MakeDir(dir); err != nil {
		return false, diskError(err, "create", dir)
	}
	names, err := fs.List(dir)
	if err != nil {
		return false, diskError(err, "list", dir)
	}
	if slices.Contains(names, hardStateFile) {
		return true, nil
	}
	for _, name := range names {
		if _, ok := parseSegmentName(name); !ok {
			continue
		}
		content, err := fs.Read(filepath.Join(dir, name))
		if err != nil {
			return false, diskError(err, "read", name)
		}
		if name != segmentName(1) || len(content) > segmentHeaderSize {
			return true, nil
		}
	}
	return false, nil
}

// Create creates a log in a directory that has none. The hard state gets a new random
// member ID.
func Create(o Options, hardState HardState) (*Log, error) {
	l := newLog(o)
	exists, err := Exists(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	if exists {
		return nil, fault.New(fault.Conflict, "directory already contains a log").WithField(l.dir)
	}
	if err := l.lockDir(); err != nil {
		return nil, err
	}
	hardState.Member = randomID()
	l.hardState = hardState
	err = l.startSegment(1)
	if err == nil {
		err = l.saveHardState()
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

const lockFile = "lock"

// lockDir prevents other processes from using the directory.
func (l *Log) lockDir() error {
	lock, err := l.fs.Lock(l.path(lockFile))
	if err != nil {
		return fault.Wrap(err, fault.Conflict, "directory is in use").WithField(l.dir)
	}
	l.lock = lock
	return nil
}

func newLog(o Options) *Log {
	if o.FS == nil {
		o.FS = OS{}
	}
	defaults.Set(&o.SegmentBytes, DefaultSegmentBytes)
	return &Log{fs: o.FS, dir: o.Dir, segmentBytes: uint64(o.SegmentBytes)}
}

func randomID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// HardState returns the hard state that was last read or written.
func (l *Log) HardState() HardState { return l.hardState }

// Write writes a batch. If it returns nil, the whole batch is durable.
func (l *Log) Write(b Batch) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if err := l.write(b); err != nil {
		l.writeErr = fault.Wrap(err, fault.Disk, "log stopped accepting writes after a failure")
		return l.writeErr
	}
	return nil
}

func (l *Log) write(b Batch) error {
	if err := l.writeRecords(b); err != nil {
		return err
	}
	if b.HardState != nil {
		// The entries are already synced, so that the hard state can state the end of the
		// synced log.
		hardState := *b.HardState
		hardState.Member = l.hardState.Member
		l.hardState = hardState
		if err := l.saveHardState(); err != nil {
			return err
		}
	}
	if l.activeSegment.size < l.segmentBytes {
		return nil
	}
	return l.rotate()
}

func (l *Log) writeRecords(b Batch) error {
	buf, last, err := l.encode(b)
	if err != nil || len(buf) == 0 {
		return err
	}
	name := l.path(segmentName(l.activeSegment.header.sequence))
	if _, err := l.file.Write(buf); err != nil {
		return diskError(err, "write", name)
	}
	if err := l.file.Sync(); err != nil {
		return diskError(errors.Join(errNotSynced, err), "sync", name)
	}
	l.activeSegment.size += uint64(len(buf))
	l.activeSegment.lastIndex = max(l.activeSegment.lastIndex, last)
	return nil
}

func (l *Log) encode(b Batch) (buf []byte, last uint64, err error) {
	h, syncedOffset := l.activeSegment.header, l.activeSegment.size
	if b.Snapshot != nil {
		meta := &wirepb.SnapshotMeta{Index: b.Snapshot.Index, Term: b.Snapshot.Term}
		if buf, err = h.appendRecord(buf, recordSnapshot, syncedOffset, meta); err != nil {
			return nil, 0, err
		}
		last = b.Snapshot.Index
	}
	for _, e := range b.Entries {
		if buf, err = h.appendRecord(buf, recordEntry, syncedOffset, e); err != nil {
			return nil, 0, err
		}
		last = max(last, e.Index)
	}
	return buf, last, nil
}

func (l *Log) saveHardState() error {
	l.hardState.SyncedSegment = l.activeSegment.header.sequence
	l.hardState.SyncedOffset = l.activeSegment.size
	return writeHardState(l.fs, l.dir, &l.hardState)
}

func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return diskError(err, "close", segmentName(l.activeSegment.header.sequence))
	}
	l.sealedSegments = append(l.sealedSegments, l.activeSegment)
	return l.startSegment(l.activeSegment.header.sequence + 1)
}

// startSegment creates a segment file and makes it the active one. The header is durable
// before the file has its final name.
func (l *Log) startSegment(sequence uint64) error {
	name := l.path(segmentName(sequence))
	h := segmentHeader{sequence: sequence, salt: rand.Uint64()}
	if err := WriteFile(l.fs, name, h.encode()); err != nil {
		return err
	}
	f, err := l.fs.Append(name)
	if err != nil {
		return diskError(err, "open", name)
	}
	l.file = f
	l.activeSegment = segment{header: h, size: segmentHeaderSize}
	return nil
}

// Compact removes the oldest sealed segments that have no entry after index.
func (l *Log) Compact(index uint64) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	removed := 0
	for removed < len(l.sealedSegments) && l.sealedSegments[removed].lastIndex <= index {
		name := l.path(segmentName(l.sealedSegments[removed].header.sequence))
		if err := l.fs.Remove(name); err != nil {
			return l.failWrites(diskError(err, "remove", name))
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.sealedSegments = slices.Clone(l.sealedSegments[removed:])
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.failWrites(diskError(err, "sync directory of", l.dir))
	}
	return nil
}

func (l *Log) failWrites(err error) error {
	l.writeErr = err
	return err
}

// Close closes the active segment and unlocks the directory.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	if err != nil {
		return diskError(err, "close", l.dir)
	}
	return nil
}
