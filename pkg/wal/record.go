package wal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Record types.
const (
	recordEntry    uint8 = iota + 1
	recordSnapshot       // the log restarts after a snapshot
)

// Record layout: CRC32C of the segment salt and everything after this field (4 bytes),
// payload size (4), offset up to which the segment was synced when the record was
// written (8), type (1), payload. Numbers are big-endian.
const (
	recordHeaderSize = 4 + 4 + 8 + 1
	// maxPayloadSize limits the payload of a record, in bytes. Proposals are far smaller
	// (replica.Options.MaxProposalBytes).
	maxPayloadSize = 16 << 20
)

// Segment header layout: magic (8 bytes), sequence number (8), salt (8), CRC32C of
// these (4).
const (
	segmentMagic      = "PLNTWAL1"
	segmentHeaderSize = 8 + 8 + 8 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is the header of a segment file. The checksum of each record includes
// the salt, so that payload bytes can't be mistaken for a record.
type segmentHeader struct {
	sequence uint64
	salt     uint64
}

func (h segmentHeader) encode() []byte {
	b := []byte(segmentMagic)
	b = binary.BigEndian.AppendUint64(b, h.sequence)
	b = binary.BigEndian.AppendUint64(b, h.salt)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (segmentHeader, bool) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic {
		return segmentHeader{}, false
	}
	sum := binary.BigEndian.Uint32(b[24:])
	if sum != crc32.Checksum(b[:24], castagnoli) {
		return segmentHeader{}, false
	}
	return segmentHeader{
		sequence: binary.BigEndian.Uint64(b[8:]),
		salt:     binary.BigEndian.Uint64(b[16:]),
	}, true
}

func (h segmentHeader) checksum(body []byte) uint32 {
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], h.salt)
	return crc32.Update(crc32.Checksum(salt[:], castagnoli), castagnoli, body)
}

// record is a decoded record.
type record struct {
	kind         uint8
	syncedOffset uint64
	payload      []byte
	size         int // of the whole record in the file, in bytes
}

// appendRecord appends an encoded record to b.
func (h segmentHeader) appendRecord(b []byte, kind uint8, syncedOffset uint64, m proto.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode log record")
	}
	size := len(b) - start - recordHeaderSize
	if size > maxPayloadSize {
		return nil, fault.New(fault.Invalid, "log record of %d bytes exceeds the limit of %d", size, maxPayloadSize)
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(size))
	binary.BigEndian.PutUint64(b[start+8:], syncedOffset)
	b[start+16] = kind
	binary.BigEndian.PutUint32(b[start:], h.checksum(b[start+4:]))
	return b, nil
}

// decodeRecord decodes the record at the start of b. It returns false if the record is
// incomplete or damaged.
func (h segmentHeader) decodeRecord(b []byte) (record, bool) {
	if len(b) < recordHeaderSize {
		return record{}, false
	}
	size := binary.BigEndian.Uint32(b[4:])
	if size > maxPayloadSize || int(size) > len(b)-recordHeaderSize {
		return record{}, false
	}
	end := recordHeaderSize + int(size)
	if binary.BigEndian.Uint32(b) != h.checksum(b[4:end]) {
		return record{}, false
	}
	if b[16] != recordEntry && b[16] != recordSnapshot {
		return record{}, false
	}
	return record{
		kind:         b[16],
		syncedOffset: binary.BigEndian.Uint64(b[8:]),
		payload:      b[recordHeaderSize:end],
		size:         end,
	}, true
}

func decodeEntry(payload []byte) (*wirepb.LogEntry, error) {
	e := &wirepb.LogEntry{}
	if err := proto.Unmarshal(payload, e); err != nil {
		return nil, err
	}
	return e, nil
}

func decodeSnapshot(payload []byte) (*wirepb.SnapshotMeta, error) {
	m := &wirepb.SnapshotMeta{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, err
	}
	return m, nil
}
