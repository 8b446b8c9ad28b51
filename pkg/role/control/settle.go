package control

import (
	"context"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Claims returns one page of claims, read linearizably.
func (c *Control) Claims(ctx context.Context, q *operators.ClaimsQuery) (*operators.ClaimsReply, error) {
	after, err := parseCursor(q.After)
	if err != nil {
		return nil, err
	}
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	query := state.ClaimQuery{Organisation: q.Organisation, Service: q.Service, State: q.State, After: after, Limit: q.Limit}
	var page []state.ClaimInfo
	var next *state.ClaimCursor
	c.machine.Read(func(s *state.Store) { page, next = s.Claims(query) })
	reply := &operators.ClaimsReply{Claims: make([]operators.Claim, 0, len(page))}
	now := c.opts.Now().UnixMilli()
	for _, i := range page {
		reply.Claims = append(reply.Claims, operators.Claim{
			Organisation: i.Organisation, Service: i.Service, Key: i.Key, Attempt: i.Attempt, Host: i.Host, State: i.State,
			KeyCreatedUnixMs: i.KeyCreatedUnixMs, AgeMs: now - i.KeyCreatedUnixMs,
		})
	}
	if next != nil {
		reply.NextCursor = formatCursor(*next)
	}
	return reply, nil
}

func formatCursor(c state.ClaimCursor) string {
	return strconv.FormatInt(c.CreatedUnixMs, 10) + "." + base64.RawURLEncoding.EncodeToString([]byte(c.ID))
}

func parseCursor(text string) (state.ClaimCursor, error) {
	if text == "" {
		return state.ClaimCursor{}, nil
	}
	created, id, _ := strings.Cut(text, ".")
	ms, err := strconv.ParseInt(created, 10, 64)
	if err != nil {
		return state.ClaimCursor{}, invalidCursor(err)
	}
	name, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil {
		return state.ClaimCursor{}, invalidCursor(err)
	}
	return state.ClaimCursor{CreatedUnixMs: ms, ID: string(name)}, nil
}

func invalidCursor(err error) error {
	return fault.Wrap(err, fault.Invalid, "not the next place of an earlier page").WithField("after").WithOutcome(fault.NotRun)
}

// SettleClaim records the decision of an operator whether the call of a
// pending claim has run.
func (c *Control) SettleClaim(ctx context.Context, operator string, req *operators.SettleRequest) (*operators.SettleReply, error) {
	result, err := c.command(ctx, &wirepb.Command{
		RequestId: req.RequestID,
		Operator:  operator,
		Body: &wirepb.Command_Settle{Settle: &wirepb.ClaimSettle{
			Organisation: req.Organisation, Service: req.Service, Key: req.Key, Attempt: req.Attempt,
			Ran: *req.Ran, Comment: req.Comment,
		}},
	})
	if err != nil {
		return nil, err
	}
	return &operators.SettleReply{Attempt: req.Attempt, Ran: *req.Ran, LogIndex: result.GetIndex()}, nil
}
