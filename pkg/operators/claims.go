package operators

import (
	"net/url"
	"slices"
	"strconv"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// ClaimStates are the values of ClaimsQuery.State.
var ClaimStates = []string{"pending", "answered", "settled", "any"}

const maxCursor = 2048

// ClaimsQuery selects claims. Empty fields match everything, but an empty
// state means pending.
type ClaimsQuery struct {
	Organisation string
	Service      string
	State        string
	After        string // Next of the page before
	Limit        int
}

// Claim describes one claim.
type Claim struct {
	Organisation     string `json:"organisation"`
	Service          string `json:"service"`
	Key              string `json:"key"`
	Attempt          string `json:"attempt"`
	Host             string `json:"host"`
	State            string `json:"state"`
	KeyCreatedUnixMS int64  `json:"key_created_unix_ms"`
	// AgeMS is the time since the creation of the key.
	AgeMS int64 `json:"age_ms"`
}

// ClaimsReply is one page of claims, oldest first.
type ClaimsReply struct {
	Claims []Claim `json:"claims"`
	// NextCursor is the place to continue at, empty after the last page. A page may
	// hold fewer claims than asked for, or none, although more follow.
	NextCursor string `json:"next,omitempty"`
}

// SettleRequest is the decision about a pending claim.
type SettleRequest struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	Attempt      string `json:"attempt"`
	// Ran has no default: a wrong one would run a call twice or never.
	Ran     *bool  `json:"ran"`
	Comment string `json:"comment"`
}

// SettleReply is the outcome of an accepted decision.
type SettleReply struct {
	Attempt  string `json:"attempt"`
	Ran      bool   `json:"ran"`
	LogIndex uint64 `json:"index"`
}

// claims handles GET /v1/claims?organisation=&service=&state=&after=&limit=.
func (a *api) claims(r *request) (any, error) {
	limit, err := queryUint(r, "limit", defaultLimit, maxLimit)
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		return nil, fault.New(fault.Invalid, "limit is zero").WithField("limit").WithOutcome(fault.NotRun)
	}
	values := r.URL.Query()
	q := &ClaimsQuery{
		Organisation: values.Get("organisation"), Service: values.Get("service"),
		State: values.Get("state"), After: values.Get("after"), Limit: int(limit),
	}
	if q.State != "" && !slices.Contains(ClaimStates, q.State) {
		return nil, fault.New(fault.Invalid, "%.64q is not one of %v", q.State, ClaimStates).WithField("state").WithOutcome(fault.NotRun)
	}
	if len(q.After) > maxCursor {
		return nil, fault.New(fault.Invalid, "over %d bytes", maxCursor).WithField("after").WithOutcome(fault.NotRun)
	}
	return a.service.Claims(r.Context(), q)
}

// settleClaim handles POST /v1/claims/settle.
func (a *api) settleClaim(r *request) (any, error) {
	req := &SettleRequest{}
	err := decode(r.body, req)
	if err == nil {
		err = req.validate()
	}
	if err != nil {
		a.service.RecordRefused(r.Context(), r.operator, err)
		return nil, err
	}
	return a.service.SettleClaim(r.Context(), r.operator, req)
}

func (s *SettleRequest) validate() error {
	if err := checkRequestID(s.RequestID); err != nil {
		return err
	}
	if s.Ran == nil {
		return missing("ran")
	}
	if s.Comment == "" {
		return missing("comment")
	}
	return nil
}

func (q *ClaimsQuery) values() url.Values {
	out := url.Values{}
	for name, value := range map[string]string{
		"organisation": q.Organisation, "service": q.Service, "state": q.State, "after": q.After,
	} {
		if value != "" {
			out.Set(name, value)
		}
	}
	if q.Limit != 0 {
		out.Set("limit", strconv.Itoa(q.Limit))
	}
	return out
}
