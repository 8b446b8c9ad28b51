// Package document is the replicated state machine of the coordinators: the complete
// configuration with the highest version, the audit trail of submitted changes, and the
// instances that said a short time ago that they leave.
package document

import (
	"bytes"
	"compress/zlib"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxRecords is the number of audit records kept.
	maxRecords = 1000
	// departureAge is how long a departure is kept, until the next one is recorded. It is many
	// times as long as an instance serves on after it said that it leaves, so that differences
	// between the clocks of leaders do not matter.
	departureAge = 10 * time.Minute
	// maxDepartures bounds the departures. The oldest are dropped first.
	maxDepartures = 4096
)

// Effect is what a change did to the state.
type Effect int

const (
	NoEffect Effect = iota // superseded, repeated or not valid
	DocumentStored
	DepartureRecorded
)

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

// Departures returns the recorded departures, oldest first. They are not modified later.
func (s *Store) Departures() []*wirepb.Departure { return s.state.GetDepartures() }

// HasDeparted reports whether a departure is recorded that holds for the process of an
// instance that started at bornUnixMs.
func (s *Store) HasDeparted(instanceID string, bornUnixMs int64) bool {
	return slices.ContainsFunc(s.state.GetDepartures(), func(d *wirepb.Departure) bool {
		return d.GetInstanceId() == instanceID && d.GetBornUnixMs() >= bornUnixMs
	})
}

// Apply applies an encoded wirepb.DocumentChange. A change that does not parse has no effect,
// on every replica alike.
func (s *Store) Apply(data []byte) Effect {
	change := &wirepb.DocumentChange{}
	if err := proto.Unmarshal(data, change); err != nil {
		return NoEffect
	}
	switch {
	case change.GetDeparture() != nil:
		return s.recordDeparture(change.GetDeparture())
	case change.GetVersion() != 0:
		return s.storeDocument(change)
	}
	return NoEffect
}

// recordDeparture replaces the departure of an earlier process of the instance.
func (s *Store) recordDeparture(d *wirepb.Departure) Effect {
	if s.HasDeparted(d.GetInstanceId(), d.GetBornUnixMs()) {
		return NoEffect
	}
	oldest := d.GetTimeUnixMs() - departureAge.Milliseconds()
	var kept []*wirepb.Departure // a new slice, as Departures has returned the old one
	for _, old := range s.state.Departures {
		if old.GetTimeUnixMs() >= oldest && old.GetInstanceId() != d.GetInstanceId() {
			kept = append(kept, old)
		}
	}
	if extra := len(kept) + 1 - maxDepartures; extra > 0 {
		kept = kept[extra:]
	}
	s.state.Departures = append(kept, d)
	return DepartureRecorded
}

// storeDocument stores the document if its version is higher than the current one. Any other
// version is only recorded in the audit trail.
func (s *Store) storeDocument(change *wirepb.DocumentChange) Effect {
	effect := NoEffect
	if change.GetVersion() > s.state.GetVersion() {
		effect = DocumentStored
		s.state.Version = change.GetVersion()
		s.state.Document = change.GetDocument()
	}
	s.state.Sequence++
	s.state.Records = append(s.state.Records, &wirepb.DocumentRecord{
		Sequence:   s.state.Sequence,
		Version:    change.GetVersion(),
		Host:       change.GetHost(),
		TimeUnixMs: change.GetTimeUnixMs(),
		Accepted:   effect == DocumentStored,
		Digest:     xxhash.Sum64(change.GetDocument()),
	})
	if extra := len(s.state.Records) - maxRecords; extra > 0 {
		s.state.Records = s.state.Records[extra:]
	}
	return effect
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
