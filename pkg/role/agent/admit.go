package agent

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// staleConfigRetryAfter is about the time that a watcher needs to find an
	// up-to-date replica.
	staleConfigRetryAfter = time.Second
	drainRetryAfter       = 100 * time.Millisecond
	upstreamRetryAfter    = time.Second
)

// admit registers a request as in progress, or refuses it while the agent
// cannot take work. Its errors carry the outcome NotRun.
func (a *Agent) admit() (done func(), up *upstreamSnapshot, err error) {
	done, ok := a.lifecycle.Track()
	if !ok {
		return nil, nil, fault.New(fault.Draining, "agent is shutting down").WithOutcome(fault.NotRun).WithRetryAfter(drainRetryAfter)
	}
	if err := a.checkConfigAge(); err != nil {
		done()
		return nil, nil, err
	}
	if up, err = a.takingUpstream(); err != nil {
		done()
		return nil, nil, err
	}
	if !a.orders.isSynced() {
		done()
		return nil, nil, fault.New(fault.Unavailable, "drain state of the upstream is not yet known from control").
			WithOutcome(fault.NotRun).WithRetryAfter(drainRetryAfter)
	}
	if a.upstream.draining.Load() {
		done()
		return nil, nil, fault.New(fault.Draining, "upstream is drained").WithOutcome(fault.NotRun).WithRetryAfter(drainRetryAfter)
	}
	return done, up, nil
}

// checkConfigAge refuses work when control has not confirmed the configuration
// within MaxConfigAge.
func (a *Agent) checkConfigAge() error {
	if a.isConfigStale() {
		return fault.New(fault.StaleConfig, "configuration was not confirmed for %v", a.settings.MaxConfigAge).
			WithOutcome(fault.NotRun).WithRetryAfter(staleConfigRetryAfter)
	}
	return nil
}

func (a *Agent) isConfigStale() bool {
	return a.now().Sub(a.control.Confirmed()) > a.settings.MaxConfigAge
}

func errNoUpstream() error {
	return fault.New(fault.Unavailable, "no upstream is announced").WithOutcome(fault.NotRun).WithRetryAfter(upstreamRetryAfter)
}

// checkIncarnation refuses a request that was routed to an earlier incarnation
// of this agent or of its upstream.
func (a *Agent) checkIncarnation(ref *wirepb.StageRef) error {
	current := a.upstream.incarnation()
	if ref.Incarnation != 0 && ref.Incarnation != current {
		return fault.New(fault.Unavailable, "incarnation %d has ended; the current one is %d", ref.Incarnation, current).
			WithField("incarnation").WithOutcome(fault.NotRun)
	}
	return nil
}

// workItem describes one request to the scheduler.
type workItem struct {
	organisation           string
	rank                   wirepb.Rank
	weight                 uint32
	cost                   int // in tokens; 1 for a service call
	bytes                  int // memory that the request occupies while queued
	timeoutMs              uint32
	preemptible            bool
	preemptions            int
	organisationInProgress int
}

// acquireSlot queues the work until a slot is free, at most for its deadline
// and MaxQueueWait.
func (a *Agent) acquireSlot(ctx context.Context, w workItem) (*slot, error) {
	s, err := a.queue.acquire(ctx, a.schedulerRequest(w))
	if err != nil {
		return nil, err
	}
	a.metrics.recordQueueWait(w.rank, s.queuedFor)
	return s, nil
}

func (a *Agent) schedulerRequest(w workItem) sched.Request {
	maxWait := a.settings.MaxQueueWait
	if w.timeoutMs > 0 {
		maxWait = min(maxWait, time.Duration(w.timeoutMs)*time.Millisecond)
	}
	return sched.Request{
		Rank:                   schedRank(w.rank),
		Organisation:           w.organisation,
		Weight:                 float64(w.weight),
		Cost:                   w.cost,
		Bytes:                  int64(w.bytes),
		Deadline:               a.now().Add(maxWait),
		MaxOrganisationQueued:  a.organisationQueueLimit(w.organisation),
		Preemptible:            w.preemptible && a.settings.Preemption,
		Preemptions:            w.preemptions,
		OrganisationInProgress: w.organisationInProgress,
	}
}

func (a *Agent) organisationQueueLimit(name string) int {
	v := a.control.View()
	if v == nil {
		return 0
	}
	return int(v.Organisations[name].GetLimits().GetQueuedRequests())
}

func schedRank(r wirepb.Rank) sched.Rank {
	switch r {
	case wirepb.Rank_RANK_URGENT:
		return sched.Urgent
	case wirepb.Rank_RANK_BATCH:
		return sched.Batch
	default:
		return sched.Standard
	}
}
