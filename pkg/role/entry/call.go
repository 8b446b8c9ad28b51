package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bounds of the reads of claims for refusals.
const (
	claimReadTimeout = time.Second
	maxClaimReads    = 64
)

// serviceCall is one call across its attempts.
type serviceCall struct {
	entry   *Entry
	call    *callers.ServiceCall
	exclude map[string]bool
	avoid   string
	ran     bool // an attempt failed without proof that it did not run
	proved  bool // the last failure is an agent's proof about the key
}

// Call implements callers.Router.
func (e *Entry) Call(ctx context.Context, call *callers.ServiceCall) (*wirepb.CallResponse, error) {
	c := &serviceCall{entry: e, call: call, exclude: make(map[string]bool)}
	answer, err := c.run(ctx)
	if err != nil {
		return nil, c.settle(ctx, fault.As(err))
	}
	return answer, nil
}

func (c *serviceCall) run(ctx context.Context) (*wirepb.CallResponse, error) {
	e := c.entry
	s, err := e.current()
	if err != nil {
		return nil, err
	}
	rank, _ := schedRank(c.call.Request.Rank)
	if err := e.gate.enter(rank); err != nil {
		return nil, err
	}
	defer e.gate.leave()
	use, err := e.limits.acquire(c.call.Caller.Organisation, s.view.LiveEntries, 0, e.opts.Now())
	if err != nil {
		return nil, err
	}
	defer use.release()
	c.call.Request.Revision = s.view.Revision
	ctx, cancel := context.WithTimeout(ctx, c.call.Deadline.Sub(e.opts.Now()))
	defer cancel()
	e.budget.RecordRequest(e.opts.Now())
	return c.attempts(ctx, s)
}

// attempts tries upstreams until one answers or a retry is not allowed.
func (c *serviceCall) attempts(ctx context.Context, s *snapshot) (*wirepb.CallResponse, error) {
	var last error
	for n := 1; ; n++ {
		up, err := c.choose(s)
		if err != nil {
			if last != nil {
				err = last
			}
			return nil, err
		}
		answer, err := c.attempt(ctx, up)
		if err == nil {
			return answer, nil
		}
		last = err
		if n >= c.entry.opts.Settings.MaxAttempts || !c.mayRetry(ctx, fault.As(err)) || !c.entry.retryAllowed() {
			return nil, err
		}
		c.entry.metrics.retries.Inc()
		c.exclude[up.Host] = true
		c.avoid = up.DataCentre
	}
}

func (c *serviceCall) choose(s *snapshot) (*route.Upstream, error) {
	rank, _ := schedRank(c.call.Request.Rank)
	return c.entry.chooseService(s, c.call.Request.Service, route.Requirements{
		Rank:            rank,
		DataCentre:      c.entry.opts.Settings.DataCentre,
		ExcludedHosts:   c.exclude,
		AvoidDataCentre: c.avoid,
	})
}

func (c *serviceCall) attempt(ctx context.Context, up *route.Upstream) (*wirepb.CallResponse, error) {
	e := c.entry
	started := e.opts.Now()
	c.call.Request.DeadlineMs = uint32(max(1, c.call.Deadline.Sub(started).Milliseconds()))
	answer, err := e.opts.Agents.Call(ctx, up.Address, c.call.Request)
	now := e.opts.Now()
	if err == nil {
		e.tracker.Observe(up.Host, true, now.Sub(started), now)
		return answer, nil
	}
	f := fault.As(err)
	if ctx.Err() == nil {
		e.observe(up.Host, f)
	}
	if f.Outcome != fault.NotRun {
		c.ran = true
	}
	// The head stage marks failures of the connection, which prove nothing
	// about earlier sends of the key.
	c.proved = f.Outcome == fault.NotRun && f.FailedStage == fault.NoStage && ctx.Err() == nil
	return nil, f
}

// mayRetry reports whether the call may be sent to another upstream: it was
// proved not to have run, or it is repeatable. A keyed call whose outcome is
// unknown is not sent again here; the agent converges it.
func (c *serviceCall) mayRetry(ctx context.Context, err *fault.Error) bool {
	if ctx.Err() != nil || !mayMove(err.Kind) {
		return false
	}
	return err.Outcome == fault.NotRun || c.call.Request.Repeatable
}

// settle sets the outcome of a call that failed.
func (c *serviceCall) settle(ctx context.Context, err *fault.Error) error {
	e := *err
	if e.Kind == fault.AnswerLost && e.Outcome == fault.Answered {
		return &e
	}
	if c.ran || e.Outcome != fault.NotRun {
		e.Outcome = fault.MayHaveRun
	}
	req := c.call.Request
	if e.Outcome == fault.NotRun && req.IdempotencyKey != "" && !c.proved {
		e.Outcome = c.entry.KeyOutcome(ctx, req.Organisation, req.Service, req.IdempotencyKey)
	}
	return &e
}

// KeyOutcome implements callers.Router by a linearizable read of the claim.
func (e *Entry) KeyOutcome(ctx context.Context, organisation, service, key string) fault.Outcome {
	if _, err := e.current(); err != nil {
		return fault.MayHaveRun // control cannot be reached
	}
	select {
	case e.claimReads <- struct{}{}:
		defer func() { <-e.claimReads }()
	default:
		return fault.MayHaveRun // a flood of refusals must not become a flood of reads
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimReadTimeout)
	defer cancel()
	claim := &wirepb.ClaimRequest{Organisation: organisation, Service: service, Key: key, Host: e.opts.Settings.Host}
	reply, err := e.opts.Control.ReadClaim(ctx, claim, 0)
	if err == nil && reply.Status == control.ClaimAbsent {
		return fault.NotRun
	}
	return fault.MayHaveRun
}
