package state

import (
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// MaxAuditRecords is the number of audit records kept; older ones are overwritten.
const MaxAuditRecords = 100_000

// maxAuditEntries limits the entry names listed in one record.
const maxAuditEntries = 100

// Actions in audit records.
const (
	ActionChange      = "change"
	ActionOrder       = "order"
	ActionAddVoter    = "add_voter"
	ActionRemoveVoter = "remove_voter"
	ActionSettleClaim = "settle_claim"
)

// auditTrail is a ring buffer of the newest audit records.
type auditTrail struct {
	sequence uint64 // of the newest record
	ring     []*wirepb.AuditRecord
}

func (a *auditTrail) len() int { return len(a.ring) }

func (a *auditTrail) add(r *wirepb.AuditRecord) {
	a.sequence++
	r.Sequence = a.sequence
	a.put(r)
}

// put stores a record in the slot of its sequence number.
func (a *auditTrail) put(r *wirepb.AuditRecord) {
	if len(a.ring) < MaxAuditRecords {
		a.ring = append(a.ring, r)
		return
	}
	a.ring[(r.Sequence-1)%MaxAuditRecords] = r
}

func (a *auditTrail) oldest() uint64 { return a.sequence - uint64(len(a.ring)) + 1 }

func (a *auditTrail) at(sequence uint64) *wirepb.AuditRecord {
	return a.ring[(sequence-1)%MaxAuditRecords]
}

// after returns up to limit records above the given sequence, oldest first.
func (a *auditTrail) after(sequence uint64, limit int) []*wirepb.AuditRecord {
	first := max(sequence+1, a.oldest())
	var out []*wirepb.AuditRecord
	for seq := first; seq <= a.sequence && len(out) < limit; seq++ {
		out = append(out, a.at(seq))
	}
	return out
}

// Audit returns up to limit records above the given sequence, oldest first.
func (s *Store) Audit(after uint64, limit int) []*wirepb.AuditRecord {
	return s.audit.after(after, limit)
}

// AuditSequence returns the sequence number of the newest audit record.
func (s *Store) AuditSequence() uint64 { return s.audit.sequence }

// record sets the fields that all audit records share and appends the record.
func (s *Store) record(cmd *wirepb.Command, r *wirepb.AuditRecord) {
	r.TimeUnixMs = s.now
	r.Operator = cmd.GetOperator()
	r.RequestId = cmd.GetRequestId()
	r.Revision = s.catalogue.revision
	s.audit.add(r)
}

func auditOfChange(ch *wirepb.Change, err *fault.Error) *wirepb.AuditRecord {
	r := &wirepb.AuditRecord{
		Action:       ActionChange,
		Accepted:     err == nil,
		BaseRevision: ch.GetBaseRevision(),
		Comment:      truncate(ch.GetComment(), maxCommentLength),
	}
	if err != nil {
		r.Reason = truncate(err.Error(), maxCommentLength)
	}
	for _, e := range ch.GetPut() {
		r.Entries = appendName(r.Entries, e.GetKind(), e.GetName())
	}
	for _, n := range ch.GetRemove() {
		r.Entries = appendName(r.Entries, n.GetKind(), n.GetName())
	}
	return r
}

func appendName(names []*wirepb.EntryName, kind, name string) []*wirepb.EntryName {
	if len(names) >= maxAuditEntries {
		return names
	}
	return append(names, &wirepb.EntryName{
		Kind: truncate(kind, maxNameLength),
		Name: truncate(name, maxNameLength),
	})
}

// recordRefusedChange records a change that was refused before it was proposed.
func (s *Store) recordRefusedChange(cmd *wirepb.Command, r *wirepb.RefusedChange) *wirepb.CommandResult {
	s.record(cmd, &wirepb.AuditRecord{
		Action:       ActionChange,
		BaseRevision: r.GetBaseRevision(),
		Reason:       truncate(r.GetReason(), maxCommentLength),
	})
	return &wirepb.CommandResult{Revision: s.catalogue.revision}
}

// recordVoterChange records the outcome of a voter change. The change itself is a
// log entry of its own type.
func (s *Store) recordVoterChange(cmd *wirepb.Command, v *wirepb.VoterChange) *wirepb.CommandResult {
	action := ActionAddVoter
	if v.GetRemove() {
		action = ActionRemoveVoter
	}
	s.record(cmd, &wirepb.AuditRecord{
		Action:   action,
		Accepted: v.GetError() == "",
		Reason:   truncate(v.GetError(), maxCommentLength),
		Entries:  []*wirepb.EntryName{{Kind: "voter", Name: utoa(v.GetVoter().GetId())}},
	})
	return &wirepb.CommandResult{Revision: s.catalogue.revision}
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return s[:limit]
}
