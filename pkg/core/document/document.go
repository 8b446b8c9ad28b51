// Package document is the replicated state machine of the configuration: the
// whole configuration with the highest version, and the audit trail of the
// changes that were sent.
package document

import (
	"bytes"
	"compress/zlib"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxRecords bounds the audit trail that is kept.
const maxRecords = 1000

// Store is the state. It is not safe for concurrent use.
type Store struct{ state *wirepb.DocumentState }

// New returns an empty state.
func New() *Store { return &Store{state: &wirepb.DocumentState{}} }

// Version returns the version in force, zero before the first.
func (s *Store) Version() uint64 { return s.state.GetVersion() }

// Document returns the compressed configuration in force.
func (s *Store) Document() []byte { return s.state.GetDocument() }

// AuditRecords returns the audit trail, oldest first.
func (s *Store) AuditRecords() []*wirepb.DocumentRecord { return s.state.GetRecords() }

// Apply stores the document if its version is higher than the one in force.
// A version that is not higher changes nothing but the audit trail.
func (s *Store) Apply(data []byte) (accepted bool) {
	c := &wirepb.DocumentChange{}
	// Bytes that do not parse are equal on every replica and change none.
	if err := proto.Unmarshal(data, c); err != nil || c.GetVersion() == 0 {
		return false
	}
	accepted = c.GetVersion() > s.state.GetVersion()
	if accepted {
		s.state.Version = c.GetVersion()
		s.state.Document = c.GetDocument()
	}
	s.state.Sequence++
	s.state.Records = append(s.state.Records, &wirepb.DocumentRecord{
		Sequence:   s.state.Sequence,
		Version:    c.GetVersion(),
		Host:       c.GetHost(),
		TimeUnixMs: c.GetTimeUnixMs(),
		Accepted:   accepted,
		Digest:     xxhash.Sum64(c.GetDocument()),
	})
	if extra := len(s.state.Records) - maxRecords; extra > 0 {
		s.state.Records = s.state.Records[extra:]
	}
	return accepted
}

// Snapshot encodes the state.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.state)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode the configuration state")
	}
	return data, nil
}

// Restore replaces the state.
func (s *Store) Restore(data []byte) error {
	fresh := &wirepb.DocumentState{}
	if err := proto.Unmarshal(data, fresh); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode the configuration state")
	}
	s.state = fresh
	return nil
}

// Compress packs a configuration for the log.
func Compress(document []byte) ([]byte, error) {
	var b bytes.Buffer
	w := zlib.NewWriter(&b)
	if _, err := w.Write(document); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the configuration")
	}
	return b.Bytes(), nil
}

// Decompress returns the configuration as it was sent, of not more than limit
// bytes.
func Decompress(packed []byte, limit int64) ([]byte, error) {
	r, err := zlib.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "decompress the configuration")
	}
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.Corrupt, "decompress the configuration")
	case int64(len(data)) > limit:
		return nil, fault.New(fault.Corrupt, "configuration is over %d bytes", limit)
	}
	return data, nil
}
