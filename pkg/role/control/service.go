package control

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// changeTimeout bounds one command of an operator with its retries. It
	// covers several elections.
	changeTimeout = 4 * time.Second
	auditTimeout  = time.Second
)

var _ operators.Backend = (*Control)(nil)

// Apply applies a change of the catalogue. If the request asks for it, Apply
// also waits until the watchers have confirmed the new revision.
func (c *Control) Apply(ctx context.Context, operator string, req *operators.ChangeRequest) (*operators.ChangeReply, error) {
	result, err := c.command(ctx, &wirepb.Command{
		RequestId: req.RequestID,
		Operator:  operator,
		Body: &wirepb.Command_Change{Change: &wirepb.Change{
			BaseRevision: req.BaseRevision,
			Put:          operators.UnwrapMessages(req.Put),
			Remove:       operators.UnwrapMessages(req.Remove),
			Comment:      req.Comment,
		}},
	})
	if err != nil {
		return nil, err
	}
	reply := &operators.ChangeReply{Revision: result.GetRevision(), LogIndex: result.GetIndex()}
	if req.Wait {
		reply.Confirmation = c.awaitConfirmation(ctx, reply.Revision, req.WaitTimeout())
	}
	return reply, nil
}

// command proposes a command and turns a refusal into an error.
func (c *Control) command(ctx context.Context, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := c.proposer.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if result.GetError() != nil {
		return nil, fault.FromWire(result.GetError())
	}
	return result, nil
}

// RecordRefused adds a change that could not be decoded to the audit trail.
func (c *Control) RecordRefused(ctx context.Context, operator string, cause error) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	refused := &wirepb.RefusedChange{Reason: cause.Error(), Field: fault.As(cause).Field}
	_, err := c.proposer.propose(ctx, &wirepb.Command{
		RequestId: uuid.NewString(),
		Operator:  operator,
		Body:      &wirepb.Command_Refused{Refused: refused},
	})
	if err != nil {
		c.log.Warn("refused change not recorded", logs.Str("operator", operator), logs.Err(err))
	}
}

// Catalogue returns the catalogue, or the changes after a revision if since is
// set.
func (c *Control) Catalogue(ctx context.Context, since *uint64) (*operators.CatalogueReply, error) {
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	var d state.Delta
	c.machine.Read(func(s *state.Store) {
		if since == nil {
			d = s.Full()
		} else {
			d = s.Since(*since)
		}
	})
	return &operators.CatalogueReply{
		Revision: d.Revision,
		Full:     d.Full,
		Entries:  operators.WrapMessages(d.Put),
		Removed:  operators.WrapMessages(d.Removed),
	}, nil
}

// History returns up to limit accepted changes after a revision.
func (c *Control) History(ctx context.Context, after uint64, limit int) (*operators.HistoryReply, error) {
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	reply := &operators.HistoryReply{}
	c.machine.Read(func(s *state.Store) {
		reply.Revision = s.Revision()
		reply.Changes = operators.WrapMessages(s.History(after, limit))
	})
	return reply, nil
}

// Audit returns up to limit audit records after a sequence number.
func (c *Control) Audit(ctx context.Context, after uint64, limit int) (*operators.AuditReply, error) {
	if err := c.barrier.wait(ctx); err != nil {
		return nil, err
	}
	reply := &operators.AuditReply{}
	c.machine.Read(func(s *state.Store) {
		reply.NewestSequence = s.AuditSequence()
		reply.Records = operators.WrapMessages(s.Audit(after, limit))
	})
	return reply, nil
}

// Snapshot makes this replica write a snapshot and returns the log index that
// it covers.
func (c *Control) Snapshot(ctx context.Context) (*operators.SnapshotReply, error) {
	index, err := c.node.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return &operators.SnapshotReply{LogIndex: index}, nil
}

// requireLeader returns an error with the admin address of the leader if this
// replica is not the leader.
func (c *Control) requireLeader() error {
	status := c.node.Status()
	if status.Leader == status.ID {
		return nil
	}
	err := fault.New(fault.NotLeader, "replica %d is not the leader", status.ID).
		WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	err.Leader = status.leader().GetAdminAddress()
	return err
}

func replicaName(id uint64) string { return "replica " + strconv.FormatUint(id, 10) }
