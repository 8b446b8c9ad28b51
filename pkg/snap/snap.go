// Package snap stores snapshots of the state machine in files with checksums.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// RetainedSnapshots is the number of snapshots that Save retains, so that an older one is
// available if the newest is damaged.
const RetainedSnapshots = 2

// File layout: magic (8 bytes), size of the metadata (4, big-endian), metadata as
// protobuf, data, CRC32C of everything before it (4).
const (
	magic      = "PLNTSNP1"
	headerSize = 8 + 4
	fileSuffix = ".snap"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store is a directory of snapshots. It is not safe for concurrent use.
type Store struct {
	fs  wal.FS
	dir string
}

// NewStore returns a store in an existing directory.
func NewStore(fs wal.FS, dir string) *Store { return &Store{fs: fs, dir: dir} }

// Encode returns the content of a snapshot file.
func Encode(meta *wirepb.SnapshotMeta, data []byte) ([]byte, error) {
	m, err := proto.Marshal(meta)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode snapshot metadata")
	}
	b := make([]byte, 0, headerSize+len(m)+len(data)+crc32.Size)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m)))
	b = append(b, m...)
	b = append(b, data...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)), nil
}

// Decode parses the content of a snapshot file.
func Decode(b []byte) (*wirepb.SnapshotMeta, []byte, error) {
	end := len(b) - crc32.Size
	if end < headerSize || string(b[:len(magic)]) != magic {
		return nil, nil, fault.New(fault.Corrupt, "snapshot header is damaged")
	}
	if binary.BigEndian.Uint32(b[end:]) != crc32.Checksum(b[:end], castagnoli) {
		return nil, nil, fault.New(fault.Corrupt, "snapshot checksum does not match")
	}
	size := uint64(binary.BigEndian.Uint32(b[len(magic):]))
	if headerSize+size > uint64(end) {
		return nil, nil, fault.New(fault.Corrupt, "snapshot metadata of %d bytes extends past the end of the file", size)
	}
	meta := &wirepb.SnapshotMeta{}
	if err := proto.Unmarshal(b[headerSize:headerSize+size], meta); err != nil {
		return nil, nil, fault.Wrap(err, fault.Corrupt, "decode snapshot metadata")
	}
	return meta, b[headerSize+size : end], nil
}

// Save makes a snapshot durable and removes all but the newest RetainedSnapshots.
func (s *Store) Save(meta *wirepb.SnapshotMeta, data []byte) error {
	b, err := Encode(meta, data)
	if err != nil {
		return err
	}
	if err := wal.WriteFile(s.fs, s.path(meta.Index), b); err != nil {
		return err
	}
	return s.prune()
}

// Load returns the newest undamaged snapshot, or nil if the directory has none. It fails
// if all snapshots are damaged.
func (s *Store) Load() (*wirepb.SnapshotMeta, []byte, error) {
	indexes, err := s.list()
	if err != nil {
		return nil, nil, err
	}
	var damageErr error
	for _, index := range slices.Backward(indexes) {
		meta, data, err := s.read(index)
		if err == nil {
			return meta, data, nil
		}
		if !fault.Is(err, fault.Corrupt) {
			return nil, nil, err
		}
		damageErr = err
	}
	return nil, nil, damageErr
}

func (s *Store) read(index uint64) (*wirepb.SnapshotMeta, []byte, error) {
	name := s.path(index)
	b, err := s.fs.Read(name)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Disk, "read snapshot").WithField(name)
	}
	meta, data, err := Decode(b)
	if err != nil {
		return nil, nil, fault.As(err).WithField(filepath.Base(name))
	}
	if meta.Index != index {
		return nil, nil, fault.New(fault.Corrupt, "snapshot has index %d", meta.Index).WithField(filepath.Base(name))
	}
	return meta, data, nil
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x%s", index, fileSuffix))
}

// list returns the sorted indexes of the snapshots.
func (s *Store) list() ([]uint64, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Disk, "list snapshots").WithField(s.dir)
	}
	var indexes []uint64
	for _, name := range names {
		base, ok := strings.CutSuffix(name, fileSuffix)
		if !ok {
			continue
		}
		if index, err := strconv.ParseUint(base, 16, 64); err == nil {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes, nil
}

func (s *Store) prune() error {
	indexes, err := s.list()
	if err != nil || len(indexes) <= RetainedSnapshots {
		return err
	}
	for _, index := range indexes[:len(indexes)-RetainedSnapshots] {
		if err := s.fs.Remove(s.path(index)); err != nil {
			return fault.Wrap(err, fault.Disk, "remove snapshot").WithField(s.path(index))
		}
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return fault.Wrap(err, fault.Disk, "sync snapshot directory").WithField(s.dir)
	}
	return nil
}
