package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"unique"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// claimIDParts is the number of parts of a claim id.
const claimIDParts = 3

// Snapshot encodes the whole state. Equal states have equal encodings.
func (s *Store) Snapshot() ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.message())
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode snapshot")
	}
	return b, nil
}

func (s *Store) message() *wirepb.StateSnapshot {
	return &wirepb.StateSnapshot{
		AppliedIndex:        s.applied,
		TimeUnixMs:          s.now,
		ExpiredBeforeUnixMs: s.expiredBefore,
		Revision:            s.catalogue.revision,
		Entries:             s.catalogue.sorted(),
		History:             s.catalogue.history,
		Claims:              s.claims.records(),
		Released:            s.claims.releasedRecords(),
		Orders:              s.orderRecords(),
		Audit:               s.audit.after(0, MaxAudit),
		AuditSequence:       s.audit.sequence,
		Dedup:               s.dedup.order,
	}
}

func (s *Store) orderRecords() []*wirepb.OrderEpoch {
	var out []*wirepb.OrderEpoch
	for _, host := range slices.Sorted(maps.Keys(s.orders)) {
		out = append(out, &wirepb.OrderEpoch{Host: host, Epoch: s.orders[host]})
	}
	return out
}

func (t *claimTable) records() []*wirepb.ClaimRecord {
	out := make([]*wirepb.ClaimRecord, 0, len(t.claims))
	for _, id := range slices.Sorted(maps.Keys(t.claims)) {
		c := t.claims[id]
		parts := strings.SplitN(id, "\x00", claimIDParts)
		out = append(out, &wirepb.ClaimRecord{
			Organisation:     parts[0],
			Service:          parts[1],
			Key:              parts[2],
			KeyCreatedUnixMs: c.created,
			Attempt:          c.attempt,
			RequestDigest:    c.digest[:],
			Host:             c.host.Value(),
			Response:         c.response,
			Answered:         c.answered,
		})
	}
	return out
}

func (t *claimTable) releasedRecords() []*wirepb.ReleasedAttempt {
	out := make([]*wirepb.ReleasedAttempt, 0, len(t.released))
	for attempt, r := range t.released {
		out = append(out, &wirepb.ReleasedAttempt{Attempt: attempt, KeyCreatedUnixMs: r.created})
	}
	slices.SortFunc(out, func(a, b *wirepb.ReleasedAttempt) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return out
}

// Restore replaces the state with a snapshot. On an error the state is
// unchanged.
func (s *Store) Restore(data []byte) error {
	m := &wirepb.StateSnapshot{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode snapshot of %d bytes", len(data))
	}
	fresh := New()
	fresh.applied = m.AppliedIndex
	fresh.now = m.TimeUnixMs
	fresh.expiredBefore = m.ExpiredBeforeUnixMs
	fresh.restoreCatalogue(m)
	if err := fresh.restoreClaims(m); err != nil {
		return err
	}
	if err := fresh.restoreAudit(m); err != nil {
		return err
	}
	for _, o := range m.Orders {
		fresh.orders[o.Host] = o.Epoch
	}
	for _, r := range m.Dedup {
		fresh.dedup.add(r)
	}
	*s = *fresh
	return nil
}

func (s *Store) restoreCatalogue(m *wirepb.StateSnapshot) {
	for _, e := range m.Entries {
		s.catalogue.set(e)
	}
	s.catalogue.revision = m.Revision
	for _, ch := range m.History {
		s.catalogue.remember(ch)
	}
}

func (s *Store) restoreClaims(m *wirepb.StateSnapshot) error {
	s.claims.purged = m.ExpiredBeforeUnixMs / bucketMS
	for i, r := range m.Claims {
		if len(r.RequestDigest) != digestSize {
			return fault.New(fault.Corrupt, "digest of %d bytes", len(r.RequestDigest)).WithField(indexed("claims", i, "request_digest"))
		}
		c := &claim{
			attempt:  r.Attempt,
			host:     unique.Make(r.Host),
			created:  r.KeyCreatedUnixMs,
			response: r.Response,
			answered: r.Answered,
		}
		copy(c.digest[:], r.RequestDigest)
		s.claims.add(r.Organisation+"\x00"+r.Service+"\x00"+r.Key, c)
	}
	for _, r := range m.Released {
		if err := s.claims.remember(r.Attempt, r.KeyCreatedUnixMs); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) restoreAudit(m *wirepb.StateSnapshot) error {
	if len(m.Audit) > MaxAudit {
		return fault.New(fault.Corrupt, "%d audit records", len(m.Audit)).WithField("audit")
	}
	s.audit.sequence = m.AuditSequence
	if len(m.Audit) == MaxAudit {
		s.audit.ring = make([]*wirepb.AuditRecord, MaxAudit)
	}
	for _, r := range m.Audit {
		s.audit.put(r)
	}
	return nil
}
