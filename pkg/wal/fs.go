package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// FS is the file system that the log and the snapshots use. Tests inject failures
// through it.
type FS interface {
	// Create creates a file, or truncates an existing one, and opens it for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	// List returns the sorted names of the files in a directory.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	MakeDir(dir string) error
	// Lock takes an exclusive lock on a file until the returned Closer is closed. It fails
	// without waiting if the lock is taken.
	Lock(name string) (io.Closer, error)
	// SyncDir makes the creation, renaming and removal of files in a directory durable.
	SyncDir(dir string) error
}

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// OS is the file system of the operating system.
type OS struct{}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePerm)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePerm)
}

// Read implements FS.
func (OS) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// MakeDir implements FS.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, dirPerm) }

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// WriteFile replaces a file atomically: after a crash it has either the old or the new
// content. It writes and syncs a temporary file, renames it and syncs the directory.
func WriteFile(fs FS, name string, content []byte) error {
	temp := name + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return diskError(err, "create", temp)
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		return diskError(err, "write", temp)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return diskError(err, "sync", temp)
	}
	if err := f.Close(); err != nil {
		return diskError(err, "close", temp)
	}
	if err := fs.Rename(temp, name); err != nil {
		return diskError(err, "rename", temp)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return diskError(err, "sync directory of", name)
	}
	return nil
}

const tempSuffix = ".tmp"

// IsTemp reports whether name is that of a temporary file of WriteFile.
func IsTemp(name string) bool { return filepath.Ext(name) == tempSuffix }

func diskError(err error, action, name string) error {
	return fault.Wrap(err, fault.Disk, "%s %s", action, filepath.Base(name)).WithField(name)
}

// errNotSynced marks a failed sync of the log: what its file holds is then unknown, whatever
// a later sync reports.
var errNotSynced = errors.New("log was not synced")

// IsFull reports whether an operation failed because the disk has no room. The data in the
// directory is then as it was, and may be opened again.
func IsFull(err error) bool {
	return (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)) && !errors.Is(err, errNotSynced)
}

// minRoom is the room on a disk, in bytes, from which a log may be written again. It is
// enough for the commands of some seconds.
const minRoom = 64 << 10

// CheckRoom returns an error if a directory does not take minRoom bytes.
func CheckRoom(fs FS, dir string) error {
	name := filepath.Join(dir, "room"+tempSuffix)
	file, err := fs.Create(name)
	if err != nil {
		return diskError(err, "create", name)
	}
	_, err = file.Write(make([]byte, minRoom))
	if err == nil {
		err = file.Sync()
	}
	if e := file.Close(); err == nil {
		err = e
	}
	if e := fs.Remove(name); err == nil {
		err = e
	}
	if err != nil {
		return diskError(err, "write", name)
	}
	return nil
}
