package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// States of a listed claim, besides ClaimPending and ClaimAnswered.
const (
	// ClaimSettled is the state of a claim whose call ran according to an
	// operator. Agents see it as answered, without a response.
	ClaimSettled = "settled"
	// ClaimAny selects claims in every state.
	ClaimAny = "any"
)

// maxClaimsExamined limits the claims examined for one page, because no command is
// applied meanwhile. The page ends after the bucket that exceeds the limit.
const maxClaimsExamined = 50_000

// settle applies an operator's decision about a claim without an outcome: either
// the call ran, or it did not and the key may be claimed again.
func (s *Store) settle(cmd *wirepb.Command, d *wirepb.ClaimSettle) *wirepb.CommandResult {
	reply, err := s.settleClaim(d)
	record := &wirepb.AuditRecord{
		Action:   ActionSettleClaim,
		Accepted: err == nil,
		Entries:  appendName(nil, "claim", d.GetOrganisation()+"/"+d.GetService()+"/"+d.GetKey()),
		Comment:  truncate(describeSettle(d), maxCommentLength),
	}
	if err != nil {
		record.Reason = truncate(err.Error(), maxCommentLength)
	}
	s.record(cmd, record)
	return s.claimResult(reply, err)
}

func describeSettle(d *wirepb.ClaimSettle) string {
	text := "attempt " + truncate(d.GetAttempt(), maxKeyLength)
	if d.GetRan() {
		text += " ran"
	} else {
		text += " not run"
	}
	if d.GetComment() != "" {
		text += ": " + d.GetComment()
	}
	return text
}

func (s *Store) settleClaim(d *wirepb.ClaimSettle) (*wirepb.ClaimReply, *fault.Error) {
	if err := validateClaimNames(d); err != nil {
		return nil, err
	}
	if len(d.GetComment()) > maxCommentLength {
		return nil, invalid("comment", "longer than %d bytes", maxCommentLength)
	}
	known := s.claims.claims[claimID(d)]
	switch {
	case known == nil:
		return nil, settleConflict("key", "claim is absent")
	case known.keyCreatedMs < s.expiredBefore:
		return nil, settleConflict("key", "claim is expired")
	case known.settled:
		return nil, settleConflict("key", "claim is settled as run")
	case known.answered:
		return nil, settleConflict("key", "claim is answered")
	case known.attempt != d.GetAttempt():
		return nil, settleConflict("attempt", "claim is held by attempt %q", known.attempt)
	}
	if d.GetRan() {
		known.answered, known.settled = true, true
		return known.reply()
	}
	// As in a release, the claim command of the attempt may still be in flight.
	if err := s.claims.addReleased(known.attempt, known.keyCreatedMs); err != nil {
		return nil, err
	}
	s.claims.remove(known)
	return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
}

func settleConflict(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Conflict, format, args...).WithField(field)
}

// ClaimInfo describes one claim.
type ClaimInfo struct {
	Organisation, Service, Key string
	Attempt, Host, State       string
	KeyCreatedUnixMs           int64
}

// ClaimCursor is a position in the list of claims, which is sorted by the creation
// time of the key and by ID.
type ClaimCursor struct {
	CreatedUnixMs int64
	ID            string
}

// ClaimQuery selects claims. An empty organisation or service matches all; an empty
// state means ClaimPending.
type ClaimQuery struct {
	Organisation, Service, State string
	After                        ClaimCursor
	Limit                        int
}

// Claims returns one page of the selected claims, sorted by the creation time of
// their keys. Next is set if there may be more claims, also when the page holds
// fewer than q.Limit.
func (s *Store) Claims(q ClaimQuery) (page []ClaimInfo, next *ClaimCursor) {
	examined := 0
	var last *claim
	for _, number := range slices.Sorted(maps.Keys(s.claims.buckets)) {
		if number < q.After.CreatedUnixMs/bucketMs {
			continue
		}
		if examined > maxClaimsExamined {
			return page, &ClaimCursor{CreatedUnixMs: number * bucketMs}
		}
		examined += len(s.claims.buckets[number].claims)
		for _, c := range s.matchingClaims(number, q) {
			if len(page) == q.Limit {
				return page, &ClaimCursor{last.keyCreatedMs, last.id}
			}
			page = append(page, c.info())
			last = c
		}
	}
	return page, nil
}

// matchingClaims returns the selected claims of one bucket after the cursor, sorted.
func (s *Store) matchingClaims(number int64, q ClaimQuery) []*claim {
	prefix := ""
	if q.Organisation != "" {
		prefix = q.Organisation + "\x00"
	}
	state := cmp.Or(q.State, ClaimPending)
	var out []*claim
	for _, c := range s.claims.buckets[number].claims {
		if state != ClaimAny && c.state() != state || !strings.HasPrefix(c.id, prefix) {
			continue
		}
		if _, service, _ := c.names(); q.Service != "" && service != q.Service {
			continue
		}
		if compareCursor(c, q.After) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int { return compareCursor(a, ClaimCursor{b.keyCreatedMs, b.id}) })
	return out
}

func compareCursor(c *claim, at ClaimCursor) int {
	return cmp.Or(cmp.Compare(c.keyCreatedMs, at.CreatedUnixMs), cmp.Compare(c.id, at.ID))
}

func (c *claim) info() ClaimInfo {
	organisation, service, key := c.names()
	return ClaimInfo{
		Organisation: organisation, Service: service, Key: key,
		Attempt: c.attempt, Host: c.host.Value(), State: c.state(), KeyCreatedUnixMs: c.keyCreatedMs,
	}
}

func (c *claim) state() string {
	switch {
	case c.settled:
		return ClaimSettled
	case c.answered:
		return ClaimAnswered
	}
	return ClaimPending
}

func (c *claim) names() (organisation, service, key string) {
	organisation, rest, _ := strings.Cut(c.id, "\x00")
	service, key, _ = strings.Cut(rest, "\x00")
	return organisation, service, key
}
