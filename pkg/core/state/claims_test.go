package state

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func (m *model) lookup(c *wirepb.ClaimRequest) (*modelClaim, string) {
	if c.KeyCreatedUnixMs < m.expiredBefore || c.KeyCreatedUnixMs > m.now+MaxKeyClockSkew.Milliseconds() {
		return nil, ClaimExpired
	}
	known := m.find(claimID(c))
	if known != nil && (known.digest != string(c.RequestDigest) || known.keyCreatedMs != c.KeyCreatedUnixMs) {
		return nil, ClaimMismatch
	}
	return known, ""
}

func (m *model) claim(c *wirepb.ClaimRequest) string {
	known, status := m.lookup(c)
	if status != "" {
		return status
	}
	if known != nil {
		if known.attempt == c.Attempt && known.answer == "" {
			return ClaimWon + " " + c.Attempt
		}
		return known.status()
	}
	if keyCreatedMs, wasReleased := m.released[c.Attempt]; wasReleased && keyCreatedMs/bucketMs >= m.expiredBefore/bucketMs {
		return ClaimAbsent
	}
	m.claims = append(m.claims, &modelClaim{claimID(c), c.Attempt, string(c.RequestDigest), "", c.KeyCreatedUnixMs})
	return ClaimWon + " " + c.Attempt
}

func (m *model) resolve(r *wirepb.ClaimResolve) string {
	known, status := m.lookup(r.Claim)
	if status != "" {
		return status
	}
	if known == nil {
		return ClaimAbsent
	}
	if known.attempt == r.Claim.Attempt && known.answer == "" {
		known.answer = string(r.Response.Body)
	}
	return known.status()
}

func (m *model) release(c *wirepb.ClaimRequest) string {
	if keyCreatedMs, wasReleased := m.released[c.Attempt]; !wasReleased || keyCreatedMs/bucketMs < m.expiredBefore/bucketMs {
		if c.KeyCreatedUnixMs >= m.expiredBefore && c.KeyCreatedUnixMs <= m.now+m.horizon {
			m.released[c.Attempt] = c.KeyCreatedUnixMs
		}
	}
	known, status := m.lookup(c)
	if status != "" {
		return status
	}
	if known == nil {
		return ClaimAbsent
	}
	if known.attempt != c.Attempt || known.answer != "" {
		return known.status()
	}
	known.id = "released" // the claim is removed; no claimID equals this value
	return ClaimAbsent
}

// settledAnswer marks a settled claim, which has no response. No drawn response
// equals it.
const settledAnswer = "(settled)"

func (m *model) settle(d *wirepb.ClaimSettle) string {
	known := m.find(claimID(d))
	switch {
	case known == nil:
		return "conflict key claim is absent"
	case known.keyCreatedMs < m.expiredBefore:
		return "conflict key claim is expired"
	case known.answer == settledAnswer:
		return "conflict key claim is settled as run"
	case known.answer != "":
		return "conflict key claim is answered"
	case known.attempt != d.Attempt:
		return fmt.Sprintf("conflict attempt claim is held by attempt %q", known.attempt)
	case d.Ran:
		known.answer = settledAnswer
		return known.status()
	}
	if keyCreatedMs, wasReleased := m.released[d.Attempt]; !wasReleased || keyCreatedMs/bucketMs < m.expiredBefore/bucketMs {
		m.released[d.Attempt] = known.keyCreatedMs
	}
	known.id = "released" // the claim is removed; no claimID equals this value
	return ClaimAbsent
}

// wantList returns the claims that all pages together must hold, oldest first.
func (m *model) wantList(organisation, state string) []string {
	var found []*modelClaim
	for _, c := range m.claims {
		if c.id != "released" && c.keyCreatedMs/bucketMs >= m.expiredBefore/bucketMs && c.state() == state &&
			strings.HasPrefix(c.id, organisation) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *modelClaim) int {
		return cmp.Or(cmp.Compare(a.keyCreatedMs, b.keyCreatedMs), cmp.Compare(a.id, b.id))
	})
	var out []string
	for _, c := range found {
		out = append(out, c.id+" "+c.attempt)
	}
	return out
}

func (c *modelClaim) state() string {
	switch c.answer {
	case "":
		return ClaimPending
	case settledAnswer:
		return ClaimSettled
	}
	return ClaimAnswered
}

func (c *modelClaim) status() string {
	if c.answer == settledAnswer {
		return ClaimAnswered + " " + c.attempt
	}
	if c.answer == "" {
		return ClaimPending + " " + c.attempt
	}
	return ClaimAnswered + " " + c.attempt + " " + c.answer
}

// listPages returns all selected claims, read in pages of two.
func listPages(s *Store, organisation, state string) []string {
	var out []string
	q := ClaimQuery{Organisation: organisation, State: state, Limit: 2}
	for {
		page, next := s.Claims(q)
		for _, c := range page {
			out = append(out, c.Organisation+"\x00"+c.Service+"\x00"+c.Key+" "+c.Attempt)
		}
		if next == nil {
			return out
		}
		q.After = *next
	}
}

// Guards against a call that runs under an attempt that was settled as not run, and
// against an operator's decision that is missing from the audit trail.
func TestSettle_RefusesLateCommandsAndRecordsAudit(t *testing.T) {
	s := New()
	req := benchClaim(1).GetClaim()
	apply := func(id string, body *wirepb.Command) *wirepb.CommandResult {
		body.TimeUnixMs, body.RequestId, body.Operator = benchTime, id, "ann"
		return s.Apply(s.applied+1, body)
	}
	claim := func(attempt string) string {
		c := proto.CloneOf(req)
		c.Attempt = attempt
		return apply("", &wirepb.Command{Body: &wirepb.Command_Claim{Claim: c}}).Claim.GetStatus()
	}
	settle := func(id, attempt string, ran bool) *wirepb.CommandResult {
		return apply(id, &wirepb.Command{Body: &wirepb.Command_Settle{Settle: &wirepb.ClaimSettle{
			Organisation: req.Organisation, Service: req.Service, Key: req.Key, Attempt: attempt, Ran: ran, Comment: "checked",
		}}})
	}
	assert.Equal(t, claim("a1"), ClaimWon)
	assert.Equal(t, settle("1", "a0", false).Error.GetMessage(), `claim is held by attempt "a1"`)
	assert.Equal(t, settle("2", "a1", false).Claim.GetStatus(), ClaimAbsent)
	late := proto.CloneOf(req)
	late.Attempt = "a1"
	resolved := apply("", &wirepb.Command{Body: &wirepb.Command_Resolve{Resolve: &wirepb.ClaimResolve{Claim: late, Response: &wirepb.CallResponse{}}}})
	assert.Equal(t, resolved.Claim.GetStatus(), ClaimAbsent)
	assert.Equal(t, claim("a1"), ClaimAbsent)
	assert.Equal(t, claim("a2"), ClaimWon)
	assert.Equal(t, settle("3", "a2", true).Claim.GetStatus(), ClaimAnswered)
	assert.Equal(t, claim("a2"), ClaimAnswered)
	assert.Equal(t, settle("4", "a2", false).Error.GetMessage(), "claim is settled as run")
	assert.Equal(t, settle("4", "a2", false).Error.GetMessage(), "claim is settled as run") // a resend
	assert.Equal(t, settle("5", "", false).Error.GetField(), "attempt")
	var trail []string
	for _, r := range s.Audit(0, 10) {
		assert.Equal(t, r.Action, ActionSettleClaim)
		trail = append(trail, fmt.Sprint(r.Accepted, " ", r.Comment))
	}
	assert.DeepEqual(t, trail, []string{
		"false attempt a0 not run: checked", "true attempt a1 not run: checked", "true attempt a2 ran: checked",
		"false attempt a2 not run: checked", "false attempt  not run: checked",
	})
}
