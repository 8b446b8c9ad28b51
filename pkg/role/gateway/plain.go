package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 8 << 20
	// maxUnsent is the number of upstreams that are tried beyond the route's
	// limit when they were not sent the request at all.
	maxUnsent = 3
	// refusedRetry is the time after which a refused caller of a plain service
	// should come back: some times the usual work of a call.
	refusedRetry = 300 * time.Millisecond
)

// servePlain sends a request to one upstream of its service, and to another
// one where the first has not run it or it may be repeated.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	tried := make(map[string]bool)
	var last error
	unsent := 0
	for unsent < maxUnsent && q.left() > 0 {
		in := g.awaitUpstream(ctx, q, tried)
		if in == nil || !g.maySend(q) {
			break
		}
		tried[in.GetId()] = true
		reply, body, err := g.attempt(ctx, q, in)
		if err == nil && !g.worthRepeating(q, reply, tried) {
			g.pass(w, reply, body)
			return
		}
		if err == nil {
			err = fault.New(fault.Upstream, "upstream answered with status %d", reply.Status).WithOutcome(fault.MayHaveRun)
		}
		last = err
		g.log.Info("Attempt failed.", logs.Str("request", q.caller.RequestID), logs.Str("upstream", in.GetId()),
			logs.Str("address", in.GetAddress()), logs.Int("attempt", q.attempts), logs.Err(err))
		if e := fault.As(err); e.Outcome != fault.NotRun && !q.route.Idempotent() || ctx.Err() != nil {
			break
		} else if e.Outcome == fault.NotRun {
			unsent++
		}
		if q.attempts >= max(1, q.route.MaxAttempts) {
			break
		}
	}
	refuse(w, q, g.finalError(ctx, q, last))
}

// finalError is what the caller learns after the last attempt.
func (g *Gateway) finalError(ctx context.Context, q *request, last error) error {
	switch {
	case last == nil:
		return notRun(fault.Unavailable, "no upstream of the service is known").WithRetryAfter(refusedRetry)
	case context.Cause(ctx) == context.Canceled:
		return fault.Wrap(last, fault.Cancelled, "caller left")
	case q.left() <= 0:
		e := fault.Wrap(last, fault.Deadline, "time limit reached")
		e.Outcome = fault.As(last).Outcome
		return e
	}
	e := *fault.As(last)
	e.RetryAfter = refusedRetry
	if q.route.Kind == routing.Stream {
		e.RetryAfter = streamReturn/2 + rand.N(streamReturn)
	}
	return &e
}

// awaitUpstream waits for an upstream while the process starts.
func (g *Gateway) awaitUpstream(ctx context.Context, q *request, tried map[string]bool) *wirepb.Instance {
	for {
		in := g.pickUpstream(q, tried)
		if in != nil || len(tried) > 0 || time.Since(q.arrived) > g.startHold() || !delay.Wait(ctx, viewRetry) {
			return in
		}
	}
}

// pickUpstream takes the less loaded of two random upstreams, those in trouble
// last.
func (g *Gateway) pickUpstream(q *request, tried map[string]bool) *wirepb.Instance {
	var sound, other []*wirepb.Instance
	for _, in := range g.view.Load().byService[q.service.Name] {
		switch {
		case tried[in.GetId()]:
		case g.load.inTrouble(in.GetId()) || in.GetLeaving():
			other = append(other, in)
		default:
			sound = append(sound, in)
		}
	}
	if len(sound) == 0 {
		sound = other
	}
	if len(sound) == 0 {
		return nil
	}
	a, b := sound[rand.IntN(len(sound))], sound[rand.IntN(len(sound))]
	if g.load.inProgress(b.GetId()) < g.load.inProgress(a.GetId()) {
		return b
	}
	return a
}

// attempt sends the request to an upstream and reads the whole answer.
func (g *Gateway) attempt(ctx context.Context, q *request, in *wirepb.Instance) (*instances.Reply, []byte, error) {
	defer g.load.begin(in.GetId())()
	q.attempts++
	q.upstream = in.GetId()
	call := q.call
	call.Header = g.header(q, q.dispatch(in.GetId()))
	reply, err := g.pool.Do(ctx, in.GetAddress(), call)
	if err != nil {
		g.attemptFailed(ctx, q, in.GetId(), err)
		return nil, nil, err
	}
	defer reply.Close()
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		g.attemptFailed(ctx, q, in.GetId(), err)
		return nil, nil, err
	}
	if reply.Metadata.NotRun {
		g.load.failed(in.GetId())
		return nil, nil, notRun(fault.Overloaded, "upstream %s refused with status %d", in.GetId(), reply.Status)
	}
	g.load.succeeded(in.GetId())
	return reply, body, nil
}

func (g *Gateway) attemptFailed(ctx context.Context, q *request, id string, err error) {
	if fault.As(err).Outcome == fault.NotRun {
		q.attempts-- // it was not sent
		q.sends--
	}
	if ctx.Err() == nil {
		g.load.failed(id)
	}
}

// worthRepeating reports whether a server's own failure is repeated elsewhere.
func (g *Gateway) worthRepeating(q *request, reply *instances.Reply, tried map[string]bool) bool {
	return reply.Status >= http.StatusInternalServerError && q.route.Idempotent() &&
		q.attempts < q.route.MaxAttempts && g.pickUpstream(q, tried) != nil
}

// pass answers with what the upstream answered.
func (g *Gateway) pass(w http.ResponseWriter, reply *instances.Reply, body []byte) {
	copyHeader(w.Header(), reply.Header)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	instances.StripHopByHop(to)
}
