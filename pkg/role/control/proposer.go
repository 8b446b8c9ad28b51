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
	// tryTimeout bounds one try, so that a leader that is partitioned from its
	// quorum does not use up the deadline of a request.
	tryTimeout    = 700 * time.Millisecond
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
)

// proposer submits commands to the leader and retries them. Commands are
// idempotent: claims by attempt id, all others by request id.
type proposer struct {
	node    Node
	pool    *link.Pool
	now     func() time.Time
	metrics *controlMetrics
}

// propose returns the result of the command once it is applied, and retries
// until ctx ends. Without a result the outcome of the error is MayHaveRun if
// a try may have entered the log.
func (p *proposer) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	p.metrics.proposals.Inc()
	backoff := minRetryDelay
	mayHaveRun := false
	target := ""
	for tries := 0; ; tries++ {
		result, err := p.proposeOnce(ctx, target, cmd)
		if err == nil {
			p.metrics.countRefusal(result.GetError())
			return result, nil
		}
		mayHaveRun = mayHaveRun || fault.As(err).Outcome != fault.NotRun
		if !isRetryable(err) && !mayHaveRun {
			return nil, err
		}
		if !isRetryable(err) || !delay.Wait(ctx, delay.Jitter(backoff)) {
			return nil, unconfirmedError(err, mayHaveRun)
		}
		backoff = min(2*backoff, maxRetryDelay)
		target = p.nextTarget(err, tries)
	}
}

// nextTarget returns the address to try after a failure: the leader that the
// error names, or one of the voters in turn if this replica knows no leader,
// for example after its own removal. An empty address selects the leader that
// this replica knows, or this replica itself.
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

func unconfirmedError(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return fault.Wrap(err, fault.UnknownOutcome, "command was not confirmed").WithOutcome(fault.MayHaveRun)
	}
	return fault.Wrap(err, fault.Unavailable, "command was not taken by a leader").
		WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.Unavailable, fault.Deadline, fault.UnknownOutcome, fault.Overloaded, fault.Cancelled:
		return true
	}
	return false
}

// proposeOnce makes one try at the given address, or at the leader if the
// address is empty.
func (p *proposer) proposeOnce(ctx context.Context, target string, cmd *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
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

// proposalTime returns the timestamp for proposals of this replica.
func (c *Control) proposalTime() time.Time { return c.peers.correctedTime(c.opts.Now()) }

// proposeLocally proposes at this replica with its own timestamp.
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

// markNotProposed sets the outcome NotRun on errors of proposals that never
// entered the log.
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
