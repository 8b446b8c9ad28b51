package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// attemptTimeout bounds one proposal, so that a leader that is cut off
	// from its quorum does not use up the whole time of a request.
	attemptTimeout = 700 * time.Millisecond
	minRetryDelay  = 10 * time.Millisecond
	maxRetryDelay  = 100 * time.Millisecond
)

// proposer brings commands to the leader. Every command may be repeated: claims
// by their attempt id, the others by their request id.
type proposer struct {
	node    Node
	pool    *link.Pool
	now     func() time.Time
	metrics *controlMetrics
}

// propose returns the result of the command once it is applied. Without an
// answer until ctx ends, the outcome is unknown.
func (p *proposer) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	p.metrics.proposals.Inc()
	backoff := minRetryDelay
	uncertain := false
	target := ""
	for tries := 0; ; tries++ {
		result, err := p.proposeOnce(ctx, target, cmd)
		if err == nil {
			p.metrics.countRefusal(result.GetError())
			return result, nil
		}
		uncertain = uncertain || fault.As(err).Outcome != fault.NotRun
		if !isRetryable(err) && !uncertain {
			return nil, err
		}
		if !isRetryable(err) || !delay.Wait(ctx, delay.Jitter(backoff)) {
			return nil, unconfirmedError(err, uncertain)
		}
		backoff = min(2*backoff, maxRetryDelay)
		target = p.nextTarget(err, tries)
	}
}

// nextTarget returns the replica to try after a failure: the leader that the
// last one named, or any voter when this replica knows no leader, as after its
// own removal.
func (p *proposer) nextTarget(err error, tries int) string {
	status := p.node.Status()
	if leader := fault.As(err).Leader; leader != "" {
		return leader
	}
	if status.leader() != nil || len(status.Voters) == 0 {
		return ""
	}
	v := status.Voters[tries%len(status.Voters)]
	if v.GetId() == status.ID {
		return ""
	}
	return v.GetPeerAddress()
}

func unconfirmedError(err error, uncertain bool) error {
	if uncertain {
		return fault.Wrap(err, fault.Unknown, "command was not confirmed").WithOutcome(fault.MayHaveRun)
	}
	return fault.Wrap(err, fault.Unavailable, "command was not taken by a leader").
		WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.Unavailable, fault.Deadline, fault.Unknown, fault.Overloaded, fault.Cancelled:
		return true
	}
	return false
}

// proposeOnce proposes once, at the given address or at the leader.
func (p *proposer) proposeOnce(ctx context.Context, target string, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if target != "" {
		return p.forward(ctx, target, cmd)
	}
	status := p.node.Status()
	leader := status.leader()
	if leader == nil || leader.GetId() == status.ID {
		return p.proposeLocally(ctx, cmd)
	}
	return p.forward(ctx, leader.GetPeerAddress(), cmd)
}

// proposalTime returns the time that a proposal of this replica carries.
func (c *Control) proposalTime() time.Time { return c.peers.correctedTime(c.opts.Now()) }

// proposeLocally proposes at this replica, with this replica's time.
func (p *proposer) proposeLocally(ctx context.Context, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	stamped := &wirepb.Command{
		RequestId:  cmd.GetRequestId(),
		TimeUnixMs: p.now().UnixMilli(),
		Operator:   cmd.GetOperator(),
		Body:       cmd.GetBody(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(stamped)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode command").WithOutcome(fault.NotRun)
	}
	v, err := p.node.Propose(ctx, data)
	if err != nil {
		return nil, markNotProposed(err)
	}
	return commandResult(v)
}

// markNotProposed marks proposals that never entered the log as not run.
func markNotProposed(err error) error {
	e := fault.As(err)
	if e.Kind == fault.NotLeader && e.Outcome == fault.Unspecified {
		return e.WithOutcome(fault.NotRun)
	}
	return err
}

func (p *proposer) forward(ctx context.Context, addr string, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	frame := &wirepb.Frame{Body: &wirepb.Frame_Forward{Forward: &wirepb.Forward{Command: cmd}}}
	reply, err := exchangeForward(ctx, p.pool, addr, frame)
	if err != nil {
		return nil, err
	}
	if e := reply.GetError(); e != nil {
		return nil, fault.FromWire(e)
	}
	if reply.GetResult() == nil {
		return nil, fault.New(fault.Protocol, "leader answered without a result")
	}
	return reply.GetResult(), nil
}

// exchangeForward sends one request on its own stream and reads the reply.
func exchangeForward(ctx context.Context, pool *link.Pool, addr string, frame *wirepb.Frame) (*wirepb.ForwardReply, error) {
	f, err := pool.Exchange(ctx, addr, frame)
	if err != nil {
		return nil, err
	}
	if reply := f.GetForwardReply(); reply != nil {
		return reply, nil
	}
	return nil, fault.New(fault.Protocol, "%s answered with another message", addr)
}
