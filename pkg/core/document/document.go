// Package document is the replicated state machine of the configuration: the complete
// configuration with the highest version, and the audit trail of submitted changes.
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

// maxRecords is the number of audit records kept.
const maxRecords = 1000

// Store is the state of the state machine. It is not safe for concurrent use.
type Store struct{ state *wirepb.DocumentState }

// New returns an empty state.
func New() *Store { return &Store{state: &wirepb.DocumentState{}} }

// Version returns the current version, or zero if there is none.
func (s *Store) Version() uint64 { return s.state.GetVersion() }

// Document returns the current configuration in compressed form.
func (s *Store) Document() []byte { return s.state.GetDocument() }

// AuditRecords returns the audit trail, oldest first.
func (s *Store) AuditRecords() []*wirepb.DocumentRecord { return s.state.GetRecords() }

// Apply stores the document if its version is higher than the current one and reports
// whether it did. Any other version is only recorded in the audit trail.
func (s *Store) Apply(data []byte) (accepted bool) {
	change := &wirepb.DocumentChange{}
	// A change that does not parse is ignored, on every replica alike.
	if err := proto.Unmarshal(data, change); err != nil || change.GetVersion() == 0 {
		return false
	}
	accepted = change.GetVersion() > s.state.GetVersion()
	if accepted {
		s.state.Version = change.GetVersion()
		s.state.Document = change.GetDocument()
	}
	s.state.Sequence++
	s.state.Records = append(s.state.Records, &wirepb.DocumentRecord{
		Sequence:   s.state.Sequence,
		Version:    change.GetVersion(),
		Host:       change.GetHost(),
		TimeUnixMs: change.GetTimeUnixMs(),
		Accepted:   accepted,
		Digest:     xxhash.Sum64(change.GetDocument()),
	})
	if extra := len(s.state.Records) - maxRecords; extra > 0 {
		s.state.Records = s.state.Records[extra:]
	}
	return accepted
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.state)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode the configuration state")
	}
	return data, nil
}

// Restore replaces the state by that of a snapshot.
func (s *Store) Restore(data []byte) error {
	restored := &wirepb.DocumentState{}
	if err := proto.Unmarshal(data, restored); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode the configuration state")
	}
	s.state = restored
	return nil
}

// Compress compresses a configuration for the replicated log.
func Compress(document []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := zlib.NewWriter(&compressed)
	if _, err := w.Write(document); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the configuration")
	}
	return compressed.Bytes(), nil
}

// Decompress returns the configuration as it was submitted. It fails if the result is
// longer than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	r, err := zlib.NewReader(bytes.NewReader(compressed))
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
