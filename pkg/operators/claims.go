package operators

import (
	"net/url"
	"slices"
	"strconv"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// ClaimStates lists the valid values of ClaimsQuery.State.
var ClaimStates = []string{"pending", "answered", "settled", "any"}

const maxCursorBytes = 2048

// ClaimsQuery selects claims on idempotency keys. An empty Organisation or
// Service matches every claim; an empty State means pending.
type ClaimsQuery struct {
	Organisation string
	Service      string
	State        string
	After        string // NextCursor of the previous page
	Limit        int
}

// Claim describes the durable reservation of an idempotency key for one attempt of
// a call.
type Claim struct {
	Organisation     string `json:"organisation"`
	Service          string `json:"service"`
	Key              string `json:"key"`
	Attempt          string `json:"attempt"`
	Host             string `json:"host"`
	State            string `json:"state"`
	KeyCreatedUnixMs int64  `json:"key_created_unix_ms"`
	// AgeMs is the time since the key was created.
	AgeMs int64 `json:"age_ms"`
}

// ClaimsReply is one page of claims, oldest first.
type ClaimsReply struct {
	Claims []Claim `json:"claims"`
	// NextCursor is the value of After for the next page, empty on the last
	// page. A page may hold fewer claims than requested, or none, although more
	// pages follow.
	NextCursor string `json:"next,omitempty"`
}

// SettleRequest records an operator's decision whether the call of a pending
// claim ran.
type SettleRequest struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	Attempt      string `json:"attempt"`
	// Ran is required: a wrong default would run the call twice or not at all.
	Ran     *bool  `json:"ran"`
	Comment string `json:"comment"`
}

// SettleReply reports an accepted decision.
type SettleReply struct {
	Attempt  string `json:"attempt"`
	Ran      bool   `json:"ran"`
	LogIndex uint64 `json:"index"`
}

// claims handles GET /v1/claims?organisation=&service=&state=&after=&limit=.
func (a *api) claims(r *request) (any, error) {
	limit, err := queryUint(r, "limit", defaultPageSize, maxPageSize)
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
	if len(q.After) > maxCursorBytes {
		return nil, fault.New(fault.Invalid, "over %d bytes", maxCursorBytes).WithField("after").WithOutcome(fault.NotRun)
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
		return missingField("ran")
	}
	if s.Comment == "" {
		return missingField("comment")
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
