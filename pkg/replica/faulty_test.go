package replica

import (
	"sync/atomic"
	"syscall"

	"github.com/plantainstair/plantainstair/pkg/wal"
)

// faultyFS is the real file system with syncs that can be blocked or made to fail.
type faultyFS struct {
	wal.OS
	heldSyncs    atomic.Pointer[chan struct{}] // syncs wait until it is closed
	failSyncs    atomic.Bool
	full         atomic.Bool  // writes fail for lack of room
	fullWrites   atomic.Int32 // writes that failed so
	blockedSyncs atomic.Int32 // syncs that are blocked now
	syncs        atomic.Int64
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFS) Create(name string) (wal.File, error) { return f.wrap(f.OS.Create(name)) }

func (f *faultyFS) Append(name string) (wal.File, error) { return f.wrap(f.OS.Append(name)) }

func (f *faultyFS) wrap(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, fs: f}, nil
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.fs.full.Load() {
		f.fs.fullWrites.Add(1)
		n, _ := f.File.Write(b[:len(b)/2]) // a part may still fit
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	f.fs.syncs.Add(1)
	if c := f.fs.heldSyncs.Load(); c != nil {
		f.fs.blockedSyncs.Add(1)
		<-*c
		f.fs.blockedSyncs.Add(-1)
	}
	if f.fs.failSyncs.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// holdSyncs blocks syncs until the returned function is called.
func (f *faultyFS) holdSyncs() (release func()) {
	c := make(chan struct{})
	f.heldSyncs.Store(&c)
	return func() {
		f.heldSyncs.Store(nil)
		close(c)
	}
}
