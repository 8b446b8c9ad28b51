package control

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Voters returns the voters and learners that this replica knows after a read
// index.
func (c *Control) Voters(ctx context.Context) (*operators.VotersReply, error) {
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	status := c.node.Status()
	return &operators.VotersReply{Leader: status.Leader, Voters: operators.WrapMessages(status.Voters)}, nil
}

// ChangeVoter adds, removes or replaces a voter and records the outcome.
func (c *Control) ChangeVoter(ctx context.Context, operator string, req *operators.VoterRequest) (*operators.VotersReply, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	change := &wirepb.VoterChange{Voter: proto.CloneOf(req.Voter.Value), Remove: req.Action == operators.RemoveVoter}
	change.Voter.Replaces = 0
	if req.Action == operators.ReplaceVoter {
		change.Voter.Replaces = req.OldID
	}
	if err := c.changeVoter(ctx, operator, req.RequestID, change); err != nil {
		return nil, err
	}
	status := c.node.Status()
	return &operators.VotersReply{Leader: status.Leader, Voters: operators.WrapMessages(status.Voters)}, nil
}

// changeVoter makes a change unless it has already taken effect, so that a request may
// be repeated. A replacement has two audit records, like an addition and a removal.
func (c *Control) changeVoter(ctx context.Context, operator, request string, change *wirepb.VoterChange) error {
	status := c.node.Status()
	v := change.GetVoter()
	current := status.voter(v.GetId())
	replacedIsMember := v.GetReplaces() != 0 && status.voter(v.GetReplaces()) != nil
	switch {
	case change.GetRemove() && current == nil:
		return nil
	case !change.GetRemove() && current != nil && !current.GetLearner() && !replacedIsMember:
		return checkSameAddresses(current, v)
	}
	var err error
	if v.GetReplaces() != 0 && !change.GetRemove() {
		err = c.node.ReplaceVoter(ctx, v, v.GetReplaces())
	} else {
		err = c.node.ChangeVoter(ctx, v, change.GetRemove())
	}
	c.recordVoterChange(operator, request, change, err)
	if v.GetReplaces() != 0 && err == nil {
		removed := &wirepb.VoterChange{Voter: &wirepb.Voter{Id: v.GetReplaces()}, Remove: true}
		c.recordVoterChange(operator, request, removed, nil)
	}
	if fault.Is(err, fault.NotLeader) {
		return c.leadershipLostError(err)
	}
	return err
}

// leadershipLostError returns an error with the admin address of the new
// leader; the error of the node carries its peer address.
func (c *Control) leadershipLostError(err error) error {
	if e := c.requireLeader(); e != nil {
		return e
	}
	return fault.Wrap(err, fault.Unavailable, "leadership changed during the request").
		WithOutcome(fault.As(err).Outcome).WithRetryAfter(time.Second)
}

func checkSameAddresses(known, wanted *wirepb.Voter) error {
	if known.GetPeerAddress() == wanted.GetPeerAddress() && known.GetAdminAddress() == wanted.GetAdminAddress() {
		return nil
	}
	return fault.New(fault.Conflict, "voter %d exists with other addresses", known.GetId()).
		WithField("voter.id").WithOutcome(fault.NotRun)
}

// recordVoterChange writes the audit record with its own timeout, because the
// deadline of the request may have passed.
func (c *Control) recordVoterChange(operator, request string, change *wirepb.VoterChange, cause error) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	record := proto.CloneOf(change)
	suffix := "/add"
	if record.Remove {
		suffix = "/remove"
	}
	if cause != nil {
		record.Error = cause.Error()
		suffix += "/failed/" + uuid.NewString() // each attempt has its own record
	}
	_, err := c.proposer.propose(ctx, &wirepb.Command{
		RequestId: request + suffix,
		Operator:  operator,
		Body:      &wirepb.Command_Voter{Voter: record},
	})
	if err != nil {
		c.log.Warn("voter change not recorded", logs.Str("operator", operator), logs.Err(err))
	}
}
