package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replybody"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxReplyBytes bounds a reply that is read whole.
	maxReplyBytes = 8 << 20
	// maxNotRunAttempts bounds the attempts with the outcome NotRun: the request was not
	// sent, or the upstream refused it.
	maxNotRunAttempts = 3
	// refusalRetryAfter is the Retry-After of a refused request to a plain service:
	// several times the usual duration of a call.
	refusalRetryAfter = 300 * time.Millisecond
)

// servePlain sends a request to one upstream of its service, and to another one if the
// first has not run the request or the request may be repeated.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	tried := make(map[string]bool)
	var lastErr error
	notRunCount := 0
	for notRunCount < maxNotRunAttempts && q.timeLeft() > 0 {
		in, err := g.awaitUpstream(ctx, q, tried)
		if in == nil {
			if lastErr == nil {
				lastErr = err
			}
			break
		}
		if !g.acquireSend(q) {
			break
		}
		tried[in.GetId()] = true
		reply, body, err := g.attemptPlain(ctx, q, in)
		if err == nil && !g.shouldRetry(q, reply, tried) {
			q.releaseBody()
			g.callTimes.Record(time.Since(q.arrived))
			writeReplyHeader(w, reply)
			_, _ = body.WriteTo(w)
			body.Release()
			return
		}
		if err == nil {
			body.Release()
			err = fault.New(fault.Upstream, "upstream responded with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
		}
		lastErr = err
		q.mayHaveRun = q.mayHaveRun || fault.As(err).Outcome != fault.NotRun
		g.log.Info("Attempt failed.", logs.Str("request", q.metadata.RequestID), logs.Str("upstream", in.GetId()),
			logs.Str("address", in.GetAddress()), logs.Int("attempt", q.attempts), logs.Err(err))
		if e := fault.As(err); e.Outcome != fault.NotRun && !q.route.MayRepeat() || ctx.Err() != nil || q.bodyReleased {
			break
		} else if e.Outcome == fault.NotRun {
			notRunCount++
		}
		if q.attempts >= max(1, q.route.MaxAttempts) {
			break
		}
	}
	writeError(w, q, g.finalError(ctx, q, lastErr))
}

// finalError returns the error for the caller after the last attempt, which failed with
// lastErr.
func (g *Gateway) finalError(ctx context.Context, q *request, lastErr error) error {
	if lastErr != nil && q.mayHaveRun && fault.As(lastErr).Outcome == fault.NotRun {
		e := *fault.As(lastErr)
		lastErr = e.WithOutcome(fault.MayHaveRun)
	}
	stopped, isStopped := context.Cause(ctx).(*fault.Error) // of EndRequests
	switch {
	case lastErr == nil:
		return notRunError(fault.Unavailable, "no upstream of the service is known").WithRetryAfter(refusalRetryAfter)
	case context.Cause(ctx) == context.Canceled:
		return fault.Wrap(lastErr, fault.Cancelled, "caller disconnected")
	case isStopped:
		e := fault.Wrap(lastErr, stopped.Kind, "%s", stopped.Message)
		e.Outcome = fault.As(lastErr).Outcome
		return e.WithRetryAfter(stopRetryAfter)
	case q.timeLeft() <= 0:
		e := fault.Wrap(lastErr, fault.Deadline, "time limit exceeded")
		e.Outcome = fault.As(lastErr).Outcome
		return e
	}
	e := *fault.As(lastErr)
	retryAfter := refusalRetryAfter
	if q.route.Kind == routing.Stream {
		mean := max(streamRetryAfter, time.Duration(retryAfterShare*float64(q.timeLeft())))
		retryAfter = mean/2 + rand.N(mean)
	}
	if q.service.Model == nil {
		retryAfter = max(retryAfter, g.pauseWait(q, nil))
	} else if e.Outcome == fault.NotRun {
		retryAfter = max(retryAfter, g.pathPauseWait(g.view.Load(), q))
	}
	e.RetryAfter = max(e.RetryAfter, retryAfter)
	return &e
}

// awaitUpstream picks an upstream that takes the request. It waits for one while the process
// starts, and if those that are left are at the limits that they name and one of them will
// take the request in time. Otherwise it returns the reason, nil if there is no upstream.
func (g *Gateway) awaitUpstream(ctx context.Context, q *request, tried map[string]bool) (*wirepb.Instance, error) {
	for {
		in := g.pickUpstream(q, tried)
		if in != nil && g.takePermit(ctx, in, q.rank) && !g.isBlocked(in) {
			return in, nil
		}
		if ctx.Err() != nil {
			return nil, nil
		}
		if in != nil {
			continue // this one is now known to be at its limit, or to want no requests
		}
		wait := g.limitWait(q, tried)
		if pause := g.pauseWait(q, tried); wait == 0 || (pause > 0 && pause < wait) {
			wait = pause
		}
		switch {
		case wait > 0 && time.Since(q.arrived)+wait > time.Duration(pathWaitShare*float64(q.route.TargetLatency)):
			return nil, notRunError(fault.Overloaded, "upstreams of the service are at the limits that they name or ask for time").WithRetryAfter(wait)
		case wait > 0:
			if !delay.Wait(ctx, wait) {
				return nil, nil
			}
		case len(tried) > 0 || time.Since(q.arrived) > g.startupWait() || !delay.Wait(ctx, viewRetryDelay):
			return nil, nil
		}
	}
}

// limitWait returns the time until the first upstream that is at its limit may take a
// request, zero if none is.
func (g *Gateway) limitWait(q *request, tried map[string]bool) time.Duration {
	var shortest time.Duration
	for _, in := range g.view.Load().byService[q.service.Name] {
		if g.isBlocked(in) {
			continue
		}
		if wait := g.requestLimits.wait(time.Now(), in); wait > 0 && !tried[in.GetId()] && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// pickUpstream returns the less loaded of two random upstreams. Upstreams that are in
// backoff or leaving are used only if there are no others, and those that stated that they
// want no requests never.
func (g *Gateway) pickUpstream(q *request, tried map[string]bool) *wirepb.Instance {
	var healthy, degraded []*wirepb.Instance
	for _, in := range g.view.Load().byService[q.service.Name] {
		switch {
		case tried[in.GetId()] || g.isBlocked(in) || g.requestLimits.wait(time.Now(), in) > 0:
		case g.load.inBackoff(in.GetId()) || in.GetLeaving():
			degraded = append(degraded, in)
		default:
			healthy = append(healthy, in)
		}
	}
	if len(healthy) == 0 {
		healthy = degraded
	}
	if len(healthy) == 0 {
		return nil
	}
	a, b := healthy[rand.IntN(len(healthy))], healthy[rand.IntN(len(healthy))]
	if g.load.inProgress(b.GetId()) < g.load.inProgress(a.GetId()) {
		return b
	}
	return a
}

// attemptPlain sends the request to an upstream and reads the whole reply. The caller releases
// the body.
func (g *Gateway) attemptPlain(ctx context.Context, q *request, in *wirepb.Instance) (*instances.Reply, *replybody.Body, error) {
	defer g.load.begin(in.GetId())()
	q.attempts++
	q.upstream = in.GetId()
	call := q.call
	call.Header = g.header(q, q.dispatch(in.GetId()))
	reply, err := g.pool.Do(ctx, in.GetAddress(), call)
	if err != nil {
		g.recordAttemptError(ctx, q, in.GetId(), err)
		return nil, nil, err
	}
	defer reply.Close()
	g.recordRequestLimit(in.GetId(), reply)
	g.recordReplyOf(selfreport.ProcessOf(in), reply.Metadata, "request")
	if !reply.Metadata.NotRun {
		q.releaseUnneededBody()
	}
	body, err := reply.ReadBody(maxReplyBytes, g.replyMemory)
	if err != nil {
		g.recordAttemptError(ctx, q, in.GetId(), err)
		return nil, nil, err
	}
	if reply.Metadata.NotRun {
		body.Release()
		g.load.onFailure(in.GetId())
		return nil, nil, notRunError(fault.Overloaded, "upstream %s refused with status %d", in.GetId(), reply.Status)
	}
	if promisesNotRun(reply.Status) {
		body.Release()
		g.load.onFailure(in.GetId())
		return nil, nil, errUnprovedRefusal(in.GetId(), reply)
	}
	g.load.onSuccess(in.GetId())
	return reply, body, nil
}

// promisesNotRun reports whether a status tells callers that their request has not run and never
// will. A reply may be forwarded with it only if its Metadata says so too.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errUnprovedRefusal is the error of a reply that makes such a promise without proof.
func errUnprovedRefusal(id string, reply *instances.Reply) error {
	return fault.New(fault.Upstream, "upstream %s refused with status %d without proof", id, reply.Status).WithOutcome(fault.MayHaveRun)
}

func (g *Gateway) recordAttemptError(ctx context.Context, q *request, id string, err error) {
	if fault.As(err).Outcome == fault.NotRun {
		q.attempts-- // the request was not sent
		q.sends--
	}
	if ctx.Err() == nil {
		g.load.onFailure(id)
	}
}

// shouldRetry reports whether a request to which an upstream responded with a server
// error is to be sent to another upstream.
func (g *Gateway) shouldRetry(q *request, reply *instances.Reply, tried map[string]bool) bool {
	return reply.Status >= http.StatusInternalServerError && q.route.MayRepeat() &&
		q.attempts < q.route.MaxAttempts && g.pickUpstream(q, tried) != nil
}

// writeReplyHeader sends the status and the header of an upstream's reply to the caller.
func writeReplyHeader(w http.ResponseWriter, reply *instances.Reply) {
	copyHeader(w.Header(), reply.Header)
	w.WriteHeader(reply.Status)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	instances.StripHopByHop(to)
}
