package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// permitTimeout bounds the wait for the leader's answer, several times the usual one.
	permitTimeout = 150 * time.Millisecond
	// leaderRetryDelay is the time after a failed request for a permit in which this gateway
	// takes only its share of a limit.
	leaderRetryDelay = 500 * time.Millisecond
	// permitMaxAge is the time for which a permit that was not used at once may be used.
	permitMaxAge = 300 * time.Millisecond
	// minPermitWait is the least time between two requests for a permit once one was denied,
	// so that the requests that wait do not load the leader.
	minPermitWait = 20 * time.Millisecond
	// limitReportInterval is the least time between two reports of the same limit.
	limitReportInterval = 500 * time.Millisecond
)

// requestLimits keeps the requests of this gateway within the limits that upstreams name for
// all gateways together. The leader hands out permits; while it does not answer, each gateway
// takes an equal share.
type requestLimits struct {
	mu             sync.Mutex
	byUpstream     map[string]*limitedUpstream // by instance ID
	leaderSilentTo time.Time
}

// limitedUpstream is what this gateway knows of an upstream with a limit.
type limitedUpstream struct {
	deniedUntil time.Time
	asking      int       // requests for a permit in progress
	shareDueAt  time.Time // when the share of this gateway allows the next request
	reported    float64   // limit that the leader was last told
	reportedAt  time.Time
}

func (l *requestLimits) init() { l.byUpstream = make(map[string]*limitedUpstream) }

// upstream returns the state of an upstream. The caller holds mu.
func (l *requestLimits) upstream(id string) *limitedUpstream {
	u := l.byUpstream[id]
	if u == nil {
		u = &limitedUpstream{}
		l.byUpstream[id] = u
	}
	return u
}

// retain forgets the upstreams for which keep returns false.
func (l *requestLimits) retain(keep func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.byUpstream {
		if !keep(id) {
			delete(l.byUpstream, id)
		}
	}
}

// wait returns the time until a permit for an instance may be asked for, zero if it may be
// now or none is needed.
func (l *requestLimits) wait(now time.Time, in *wirepb.Instance) time.Duration {
	if in.GetRequestLimit() <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.byUpstream[in.GetId()]
	if u == nil {
		return 0
	}
	if u.asking > 0 && !u.deniedUntil.IsZero() {
		return minPermitWait
	}
	return max(0, u.deniedUntil.Sub(now))
}

// beginAsking reports whether the leader is to be asked for a permit. Otherwise the share of
// this gateway decides.
func (l *requestLimits) beginAsking(now time.Time, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.leaderSilentTo) {
		return false
	}
	l.upstream(id).asking++
	return true
}

// endAsking records the leader's answer.
func (l *requestLimits) endAsking(now time.Time, id string, granted bool, wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(id)
	u.asking--
	switch {
	case err != nil:
		l.leaderSilentTo = now.Add(leaderRetryDelay)
	case granted:
		u.deniedUntil = time.Time{}
	default:
		wait = max(wait, minPermitWait)
		u.deniedUntil = now.Add(wait + rand.N(wait)) // spreads the gateways that were denied
	}
}

// takeShare takes a request from this gateway's share of a limit. Requests that were not
// sent do not accumulate. The first is due after a random part of the interval, so that all
// gateways together stay within the limit.
func (l *requestLimits) takeShare(now time.Time, in *wirepb.Instance, gatewayCount int) bool {
	interval := time.Duration(float64(max(1, gatewayCount)) / in.GetRequestLimit() * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(in.GetId())
	if u.shareDueAt.IsZero() {
		u.shareDueAt = now.Add(rand.N(interval))
	}
	if now.Before(u.shareDueAt) {
		u.deniedUntil = u.shareDueAt
		return false
	}
	u.shareDueAt, u.deniedUntil = now.Add(interval), time.Time{}
	return true
}

// reportDue reports whether the leader is to be told of a limit.
func (l *requestLimits) reportDue(now time.Time, id string, limit float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(id)
	if u.reported == limit && now.Sub(u.reportedAt) < limitReportInterval {
		return false
	}
	u.reported, u.reportedAt = limit, now
	return true
}

// takePermit reports whether a request of a rank may be sent to an instance now, and takes
// it from the limit that the instance names, if any.
func (g *Gateway) takePermit(ctx context.Context, in *wirepb.Instance, rank int) bool {
	if in.GetRequestLimit() <= 0 {
		return true
	}
	if g.requestLimits.wait(time.Now(), in) > 0 {
		return false
	}
	if g.requestLimits.beginAsking(time.Now(), in.GetId()) {
		granted, wait, err := g.askPermit(ctx, in, rank)
		if ctx.Err() != nil {
			err = nil // the caller left, which says nothing about the leader
		}
		g.requestLimits.endAsking(time.Now(), in.GetId(), granted, wait, err)
		if err == nil {
			return granted
		}
		g.log.Debug("No answer to a request for a permit.", logs.Str("upstream", in.GetId()), logs.Err(err))
	}
	return g.requestLimits.takeShare(time.Now(), in, g.view.Load().gatewayCount)
}

func (g *Gateway) askPermit(ctx context.Context, in *wirepb.Instance, rank int) (granted bool, wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return g.client.TakePermit(ctx, in, rank)
}

// recordRequestLimit tells the leader of the limit that an upstream names in a reply if the
// view has another one.
func (g *Gateway) recordRequestLimit(id string, reply *instances.Reply) {
	limit := reply.Metadata.RequestLimit
	in := g.view.Load().byID[id]
	if in == nil || in.GetRequestLimit() == limit || !g.requestLimits.reportDue(time.Now(), id, limit) {
		return
	}
	g.log.Info("Request limit changed.", logs.Str("upstream", id), logs.Float("per_second", limit), logs.Float("before", in.GetRequestLimit()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		if err := g.client.ReportRequestLimit(ctx, in, limit); err != nil {
			g.log.Debug("Request limit not reported.", logs.Str("upstream", id), logs.Err(err))
		}
	}()
}
