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

// Limits of the claim reads that determine the outcome of a refused call.
const (
	claimReadTimeout = time.Second
	maxClaimReads    = 64
)

// serviceCall is the state of one service call across its attempts.
type serviceCall struct {
	entry           *Entry
	call            *callers.ServiceCall
	excludedHosts   map[string]bool
	avoidDataCentre string
	mayHaveRun      bool // an attempt failed without proof that it did not run
	provedNotRun    bool // the agent that failed last has proved that no send of the key has run
}

// Call implements callers.Router.
func (e *Entry) Call(ctx context.Context, call *callers.ServiceCall) (*wirepb.CallResponse, error) {
	c := &serviceCall{entry: e, call: call, excludedHosts: make(map[string]bool)}
	answer, err := c.run(ctx)
	if err != nil {
		return nil, c.withFinalOutcome(ctx, fault.As(err))
	}
	return answer, nil
}

func (c *serviceCall) run(ctx context.Context) (*wirepb.CallResponse, error) {
	e := c.entry
	s, err := e.confirmedSnapshot()
	if err != nil {
		return nil, err
	}
	rank, _ := schedRank(c.call.Request.Rank)
	if err := e.requestLimiter.admitRequest(rank); err != nil {
		return nil, err
	}
	defer e.requestLimiter.endRequest()
	orgUsage, err := e.organisationLimits.acquire(c.call.Caller.Organisation, s.entryCount, 0, e.opts.Now())
	if err != nil {
		return nil, err
	}
	defer orgUsage.release()
	c.call.Request.Revision = s.view.Revision
	ctx, cancel := context.WithTimeout(ctx, c.call.Deadline.Sub(e.opts.Now()))
	defer cancel()
	e.retryBudget.RecordRequest(e.opts.Now())
	return c.runAttempts(ctx, s)
}

// runAttempts sends the call to one upstream after another until one answers or
// a retry is not allowed.
func (c *serviceCall) runAttempts(ctx context.Context, s *snapshot) (*wirepb.CallResponse, error) {
	var lastErr error
	for n := 1; ; n++ {
		up, err := c.selectUpstream(s)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return nil, err
		}
		answer, err := c.attempt(ctx, up)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if n >= c.entry.opts.Settings.MaxAttempts || !c.mayRetry(ctx, fault.As(err)) || !c.entry.takeRetry() {
			return nil, err
		}
		c.entry.metrics.retries.Inc()
		c.excludedHosts[up.Host] = true
		c.avoidDataCentre = up.DataCentre
	}
}

func (c *serviceCall) selectUpstream(s *snapshot) (*route.Upstream, error) {
	rank, _ := schedRank(c.call.Request.Rank)
	return c.entry.selectAdmittedService(s, c.call.Request.Service, route.Requirements{
		Rank:            rank,
		DataCentre:      c.entry.opts.Settings.DataCentre,
		ExcludedHosts:   c.excludedHosts,
		AvoidDataCentre: c.avoidDataCentre,
	})
}

func (c *serviceCall) attempt(ctx context.Context, up *route.Upstream) (*wirepb.CallResponse, error) {
	e := c.entry
	started := e.opts.Now()
	c.call.Request.DeadlineMs = uint32(max(1, c.call.Deadline.Sub(started).Milliseconds()))
	answer, err := e.opts.Agents.Call(ctx, up.Address, c.call.Request)
	now := e.opts.Now()
	if err == nil {
		e.outliers.Observe(up.Host, true, now.Sub(started), now)
		return answer, nil
	}
	f := fault.As(err)
	if ctx.Err() == nil {
		e.recordFailure(up.Host, f)
	}
	if f.Outcome != fault.NotRun {
		c.mayHaveRun = true
	}
	// Connection failures name stage 0 as the failed stage. They prove nothing
	// about earlier sends of the key.
	c.provedNotRun = f.Outcome == fault.NotRun && f.FailedStage == fault.NoStage && ctx.Err() == nil
	return nil, f
}

// mayRetry reports whether the call may be sent to another upstream: it is
// proved not to have run, or it is repeatable. The entry does not resend a call
// with an idempotency key and an unknown outcome; the agent resolves its outcome.
func (c *serviceCall) mayRetry(ctx context.Context, err *fault.Error) bool {
	if ctx.Err() != nil || !canFailOver(err.Kind) {
		return false
	}
	return err.Outcome == fault.NotRun || c.call.Request.Repeatable
}

// withFinalOutcome returns a copy of err with the outcome of the whole call.
func (c *serviceCall) withFinalOutcome(ctx context.Context, err *fault.Error) error {
	e := *err
	if e.Kind == fault.AnswerLost && e.Outcome == fault.Answered {
		return &e
	}
	if c.mayHaveRun || e.Outcome != fault.NotRun {
		e.Outcome = fault.MayHaveRun
	}
	req := c.call.Request
	if e.Outcome == fault.NotRun && req.IdempotencyKey != "" && !c.provedNotRun {
		e.Outcome = c.entry.KeyOutcome(ctx, req.Organisation, req.Service, req.IdempotencyKey)
	}
	return &e
}

// KeyOutcome implements callers.Router. It returns NotRun if a linearizable read
// shows no claim of the key, and MayHaveRun otherwise.
func (e *Entry) KeyOutcome(ctx context.Context, organisation, service, key string) fault.Outcome {
	if _, err := e.confirmedSnapshot(); err != nil {
		return fault.MayHaveRun // the control replicas cannot be reached
	}
	select {
	case e.claimReads <- struct{}{}:
		defer func() { <-e.claimReads }()
	default:
		return fault.MayHaveRun // many refusals at once must not overload the control replicas with reads
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
