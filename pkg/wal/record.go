package wal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Types of records.
const (
	recordEntry uint8 = iota + 1
	recordMark        // the log restarts after a snapshot
)

// Layout of a record: CRC32C of everything after it (4 bytes), payload size
// (4), offset up to which the segment was synced when the record was written
// (8), type (1), payload. Numbers are big-endian.
const (
	recordHeaderSize = 4 + 4 + 8 + 1
	// maxPayload bounds an entry; the largest frame on the wire is 1 MiB.
	maxPayload = 16 << 20
)

// Layout of the segment header: magic (8), sequence number (8), salt (8),
// CRC32C of these (4).
const (
	segmentMagic      = "PLNTWAL1"
	segmentHeaderSize = 8 + 8 + 8 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader starts each segment. The salt enters each checksum, so that
// bytes inside a payload can't pass for a record.
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

func decodeHeader(b []byte) (segmentHeader, bool) {
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

// record is one decoded record.
type record struct {
	kind    uint8
	synced  uint64
	payload []byte
	size    int // bytes in the file
}

// appendRecord encodes a record at the end of b.
func (h segmentHeader) appendRecord(b []byte, kind uint8, synced uint64, m proto.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode log record")
	}
	size := len(b) - start - recordHeaderSize
	if size > maxPayload {
		return nil, fault.New(fault.Invalid, "log record of %d bytes is over the limit of %d", size, maxPayload)
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(size))
	binary.BigEndian.PutUint64(b[start+8:], synced)
	b[start+16] = kind
	binary.BigEndian.PutUint32(b[start:], h.checksum(b[start+4:]))
	return b, nil
}

// decodeRecord reads the record at the start of b, or returns false when it is
// incomplete or damaged.
func (h segmentHeader) decodeRecord(b []byte) (record, bool) {
	if len(b) < recordHeaderSize {
		return record{}, false
	}
	size := binary.BigEndian.Uint32(b[4:])
	if size > maxPayload || int(size) > len(b)-recordHeaderSize {
		return record{}, false
	}
	end := recordHeaderSize + int(size)
	if binary.BigEndian.Uint32(b) != h.checksum(b[4:end]) {
		return record{}, false
	}
	if b[16] != recordEntry && b[16] != recordMark {
		return record{}, false
	}
	return record{
		kind:    b[16],
		synced:  binary.BigEndian.Uint64(b[8:]),
		payload: b[recordHeaderSize:end],
		size:    end,
	}, true
}

func decodeEntry(payload []byte) (*wirepb.LogEntry, error) {
	e := &wirepb.LogEntry{}
	if err := proto.Unmarshal(payload, e); err != nil {
		return nil, err
	}
	return e, nil
}

func decodeMark(payload []byte) (*wirepb.SnapshotMeta, error) {
	m := &wirepb.SnapshotMeta{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, err
	}
	return m, nil
}
