package wal

import (
	"encoding/binary"
	"hash/crc32"
	iofs "io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// HardState is the durable state that changes with elections and membership. It is
// stored in a file of its own, which is replaced as a whole.
type HardState struct {
	ID      uint64 // of the replica
	Member  uint64 // random member ID, which identifies this data directory
	Cluster uint64 // identity of the cluster; zero until known
	Term    uint64
	Vote    uint64
	// InitialVoters is the initial configuration. Bootstrapped is set once all initial
	// voters have agreed on it.
	InitialVoters []*wirepb.Voter
	Bootstrapped  bool
	// SyncedSegment and SyncedOffset are the sequence number of the segment and the byte
	// offset in it up to which the log was synced when this hard state was written.
	SyncedSegment uint64
	SyncedOffset  uint64
}

const (
	hardStateFile       = "hardstate"
	hardStateMagic      = "PLNTHST1"
	hardStateFieldCount = 8
	hardStateHeaderSize = 8 + hardStateFieldCount*8
)

// File layout: magic (8 bytes), eight numbers (8 each, big-endian), protobuf of the
// initial configuration, CRC32C of everything before it (4).
func (h *HardState) encode() ([]byte, error) {
	b := []byte(hardStateMagic)
	bootstrapped := uint64(0)
	if h.Bootstrapped {
		bootstrapped = 1
	}
	for _, v := range [hardStateFieldCount]uint64{
		h.ID, h.Member, h.Cluster, h.Term, h.Vote, bootstrapped, h.SyncedSegment, h.SyncedOffset,
	} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(b, &wirepb.SnapshotMeta{Voters: h.InitialVoters})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode hard state")
	}
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)), nil
}

func decodeHardState(b []byte) (*HardState, bool) {
	end := len(b) - crc32.Size
	if end < hardStateHeaderSize || string(b[:8]) != hardStateMagic {
		return nil, false
	}
	if binary.BigEndian.Uint32(b[end:]) != crc32.Checksum(b[:end], castagnoli) {
		return nil, false
	}
	var v [hardStateFieldCount]uint64
	for i := range v {
		v[i] = binary.BigEndian.Uint64(b[8+8*i:])
	}
	m := &wirepb.SnapshotMeta{}
	if err := proto.Unmarshal(b[hardStateHeaderSize:end], m); err != nil {
		return nil, false
	}
	return &HardState{
		ID: v[0], Member: v[1], Cluster: v[2], Term: v[3], Vote: v[4], Bootstrapped: v[5] == 1,
		SyncedSegment: v[6], SyncedOffset: v[7], InitialVoters: m.Voters,
	}, true
}

func readHardState(fs FS, dir string) (*HardState, error) {
	name := filepath.Join(dir, hardStateFile)
	b, err := fs.Read(name)
	if errors.Is(err, iofs.ErrNotExist) {
		return nil, corruptError(name, 0, "hard state is missing")
	}
	if err != nil {
		return nil, diskError(err, "read", name)
	}
	h, ok := decodeHardState(b)
	if !ok {
		return nil, corruptError(name, 0, "hard state is damaged")
	}
	return h, nil
}

func writeHardState(fs FS, dir string, h *HardState) error {
	b, err := h.encode()
	if err != nil {
		return err
	}
	return WriteFile(fs, filepath.Join(dir, hardStateFile), b)
}
