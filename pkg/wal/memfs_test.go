package wal

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
)

// memFS is a file system in memory that loses unsynced data in a crash and fails a chosen
// operation.
type memFS struct {
	names   map[string]*memFile // as the process sees them
	durable map[string]*memFile // as they are after a crash
	ops     int
	failAt  int // number of the operation that fails; zero for none
	failure error
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// op counts one operation and returns the error with which it must fail, or nil.
func (m *memFS) op() error {
	m.ops++
	if m.ops == m.failAt {
		return m.failure
	}
	return nil
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.op(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.names[name] = f
	return f, nil
}

func (m *memFS) Append(name string) (File, error) {
	if err := m.op(); err != nil {
		return nil, err
	}
	if f := m.names[name]; f != nil {
		return f, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Read(name string) ([]byte, error) {
	if f := m.names[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) List(string) ([]string, error) {
	var names []string
	for name := range m.names {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.op(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.op(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return &memFile{fs: m}, nil }

func (m *memFS) MakeDir(string) error { return nil }

func (m *memFS) SyncDir(string) error {
	if err := m.op(); err != nil {
		return err
	}
	m.durable = map[string]*memFile{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	return nil
}

// crash returns the file system after a power loss. Files lose a random part of their
// unsynced data. With even odds, the directory loses its unsynced changes.
func (m *memFS) crash(rng *rand.Rand) *memFS {
	after := newMemFS()
	names := m.durable
	if rng.IntN(2) == 0 {
		names = m.names // the directory was written without a sync
	}
	for name, f := range names {
		kept := f.synced + rng.IntN(len(f.data)-f.synced+1)
		c := &memFile{fs: after, data: slices.Clone(f.data[:kept]), synced: kept}
		after.names[name] = c
		after.durable[name] = c
	}
	return after
}

// Write stores half of the data when it fails, as on a full disk.
func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.op(); err != nil {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.op(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.fs.op(); err != nil {
		return err
	}
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

func (f *memFile) Close() error { return nil }

var failures = []error{syscall.ENOSPC, syscall.EIO}
