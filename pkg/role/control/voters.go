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

// ChangeVoter adds, removes or replaces a voter and records the outcome. A
// replacement adds the new voter first, so that the number of voters does not
// decrease.
func (c *Control) ChangeVoter(ctx context.Context, operator string, req *operators.VoterRequest) (*operators.VotersReply, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	steps := []*wirepb.VoterChange{{Voter: req.Voter.Value, Remove: req.Action == operators.RemoveVoter}}
	if req.Action == operators.ReplaceVoter {
		steps = append(steps, &wirepb.VoterChange{Voter: &wirepb.Voter{Id: req.OldID}, Remove: true})
	}
	for _, step := range steps {
		if err := c.changeVoter(ctx, operator, req.RequestID, step); err != nil {
			return nil, err
		}
	}
	status := c.node.Status()
	return &operators.VotersReply{Leader: status.Leader, Voters: operators.WrapMessages(status.Voters)}, nil
}

// changeVoter performs one step unless it has already taken effect, so that a
// repeated request continues where the first one stopped.
func (c *Control) changeVoter(ctx context.Context, operator, request string, step *wirepb.VoterChange) error {
	current := c.node.Status().voter(step.GetVoter().GetId())
	if step.GetRemove() && current == nil {
		return nil
	}
	if !step.GetRemove() && current != nil && !current.GetLearner() {
		return checkSameAddresses(current, step.GetVoter())
	}
	err := c.node.ChangeVoter(ctx, step.GetVoter(), step.GetRemove())
	c.recordVoterChange(operator, request, step, err)
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
func (c *Control) recordVoterChange(operator, request string, step *wirepb.VoterChange, cause error) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	record := proto.CloneOf(step)
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
