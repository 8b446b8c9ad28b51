// Package wal is the durable log of a replica: segments of checksummed
// records, and one small file with the hard state.
package wal

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// DefaultSegmentSize is the size from which a segment is finished.
const DefaultSegmentSize = 4 << 20

// Options configures a log.
type Options struct {
	Dir         string
	FS          FS // the operating system's by default
	SegmentSize int
}

// Batch is a set of changes that become durable together.
type Batch struct {
	HardState *HardState           // nil when unchanged
	Snapshot  *wirepb.SnapshotMeta // when set, the log restarts after it
	Entries   []*wirepb.LogEntry
}

// Log is an open log. It is not safe for concurrent use. After the first
// failure of a write or sync it refuses everything: what the file system holds
// then is unknown, and a later sync could report success for lost data.
type Log struct {
	fs       FS
	dir      string
	maxSize  uint64
	hard     HardState
	finished []segment
	active   segment
	file     File
	lock     io.Closer
	failed   error
}

// Exists reports whether dir holds a log. An empty first segment without a hard
// state is left by an interrupted Create and does not count.
func Exists(fs FS, dir string) (bool, error) {
	if err := fs.MakeDir(dir); err != nil {
		return false, diskFault(err, "create", dir)
	}
	names, err := fs.List(dir)
	if err != nil {
		return false, diskFault(err, "list", dir)
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
			return false, diskFault(err, "read", name)
		}
		if name != segmentName(1) || len(content) > segmentHeaderSize {
			return true, nil
		}
	}
	return false, nil
}

// Create starts a log in a directory that holds none. The hard state gets a
// new random member id.
func Create(o Options, hard HardState) (*Log, error) {
	l := newLog(o)
	exists, err := Exists(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	if exists {
		return nil, fault.New(fault.Conflict, "directory holds a log").WithField(l.dir)
	}
	if err := l.lockDir(); err != nil {
		return nil, err
	}
	hard.Member = randomID()
	l.hard = hard
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

// lockDir keeps a second process from using the directory.
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
	defaults.Set(&o.SegmentSize, DefaultSegmentSize)
	return &Log{fs: o.FS, dir: o.Dir, maxSize: uint64(o.SegmentSize)}
}

func randomID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// HardState returns the hard state last written.
func (l *Log) HardState() HardState { return l.hard }

// Write makes a batch durable. When it returns nil everything is synced.
func (l *Log) Write(b Batch) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.write(b); err != nil {
		l.failed = fault.Wrap(err, fault.Disk, "log stopped after a failure")
		return l.failed
	}
	return nil
}

func (l *Log) write(b Batch) error {
	if err := l.writeRecords(b); err != nil {
		return err
	}
	if b.HardState != nil {
		// Entries come first: the hard state then states how far they are synced.
		hard := *b.HardState
		hard.Member = l.hard.Member
		l.hard = hard
		if err := l.saveHardState(); err != nil {
			return err
		}
	}
	if l.active.size < l.maxSize {
		return nil
	}
	return l.rotate()
}

func (l *Log) writeRecords(b Batch) error {
	buf, last, err := l.encode(b)
	if err != nil || len(buf) == 0 {
		return err
	}
	name := l.path(segmentName(l.active.header.sequence))
	if _, err := l.file.Write(buf); err != nil {
		return diskFault(err, "write", name)
	}
	if err := l.file.Sync(); err != nil {
		return diskFault(err, "sync", name)
	}
	l.active.size += uint64(len(buf))
	l.active.last = max(l.active.last, last)
	return nil
}

func (l *Log) encode(b Batch) (buf []byte, last uint64, err error) {
	h, synced := l.active.header, l.active.size
	if b.Snapshot != nil {
		mark := &wirepb.SnapshotMeta{Index: b.Snapshot.Index, Term: b.Snapshot.Term}
		if buf, err = h.appendRecord(buf, recordMark, synced, mark); err != nil {
			return nil, 0, err
		}
		last = b.Snapshot.Index
	}
	for _, e := range b.Entries {
		if buf, err = h.appendRecord(buf, recordEntry, synced, e); err != nil {
			return nil, 0, err
		}
		last = max(last, e.Index)
	}
	return buf, last, nil
}

func (l *Log) saveHardState() error {
	l.hard.SyncedSegment = l.active.header.sequence
	l.hard.SyncedOffset = l.active.size
	return writeHardState(l.fs, l.dir, &l.hard)
}

func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return diskFault(err, "close", segmentName(l.active.header.sequence))
	}
	l.finished = append(l.finished, l.active)
	return l.startSegment(l.active.header.sequence + 1)
}

// startSegment creates a segment whose header is durable before the name.
func (l *Log) startSegment(sequence uint64) error {
	name := l.path(segmentName(sequence))
	h := segmentHeader{sequence: sequence, salt: rand.Uint64()}
	if err := WriteFile(l.fs, name, h.encode()); err != nil {
		return err
	}
	f, err := l.fs.Append(name)
	if err != nil {
		return diskFault(err, "open", name)
	}
	l.file = f
	l.active = segment{header: h, size: segmentHeaderSize}
	return nil
}

// Compact removes finished segments that hold only entries up to index.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	removed := 0
	for removed < len(l.finished) && l.finished[removed].last <= index {
		name := l.path(segmentName(l.finished[removed].header.sequence))
		if err := l.fs.Remove(name); err != nil {
			return l.stop(diskFault(err, "remove", name))
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.finished = slices.Clone(l.finished[removed:])
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.stop(diskFault(err, "sync directory of", l.dir))
	}
	return nil
}

func (l *Log) stop(err error) error {
	l.failed = err
	return err
}

// Close closes the active segment and frees the directory.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	if err != nil {
		return diskFault(err, "close", l.dir)
	}
	return nil
}
