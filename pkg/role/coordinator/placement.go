package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/layout"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// firstPlanQuietTime is the time without a new engine after which the first layout is
	// planned, and maxFirstPlanDelay the longest wait for it. Engines announce themselves within
	// about one announcement interval.
	firstPlanQuietTime = 700 * time.Millisecond
	maxFirstPlanDelay  = 3 * time.Second
	// slowdownThreshold is the slowdown from which the layers of an engine are also placed
	// elsewhere: such an engine delays a path more than an additional engine on the path does.
	slowdownThreshold = 2.5
	// takeOverAnnouncements is the number of announcement intervals that a new leader waits
	// before it changes an existing layout.
	takeOverAnnouncements = 2
	// planInterval is the least time between two plans.
	planInterval = 200 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
	// orderEffectTimeout is the time after which an order is given again if the engine does
	// not report its effect. The time to load the layers is added.
	orderEffectTimeout = 2 * time.Second
	// weightLoadTimeFactor multiplies the time to load layers, because engines that load
	// weights at the same time slow each other down.
	weightLoadTimeFactor = 2.0
)

// placement assigns layers to engines. Only the owner accesses it, and only a leader runs
// it.
type placement struct {
	c               *Coordinator
	lastPlanAt      time.Time
	lastEngineAt    time.Time // when the last new engine was found
	firstEngineAt   time.Time
	knownEngines    map[string]bool
	pendingOrders   map[string]pendingOrder // orders in progress by instance id
	planningAllowed bool                    // set once enough engines are known; see ready
	capacity        map[string]layout.Capacity
	layersInherited bool // an engine already held layers when it was first seen
}

type pendingOrder struct {
	wanted         layout.Range
	acceptedBefore uint64 // order count of the engine before this order
	at             time.Time
}

func newPlacement(c *Coordinator) *placement {
	return &placement{c: c, knownEngines: make(map[string]bool), pendingOrders: make(map[string]pendingOrder), capacity: make(map[string]layout.Capacity)}
}

func (p *placement) step(now time.Time) {
	conf := p.c.config.Load()
	if conf == nil || now.Sub(p.lastPlanAt) < planInterval {
		return
	}
	p.lastPlanAt = now
	for _, service := range conf.Services {
		if service.Model != nil && service.Model.Layers > 0 {
			p.planService(now, service)
		}
	}
}

// planService plans the layout of one service and orders the ranges that differ from it.
func (p *placement) planService(now time.Time, service *routing.Service) {
	byID := make(map[string]*wirepb.Instance)
	busy := make(map[string]bool)
	complete := true
	var engines, leaving []layout.Engine
	for _, in := range p.c.registry.All() {
		if in.GetService() != service.Name || !registry.Usable(in) {
			continue
		}
		if !registry.UsableLongTerm(in) {
			leaving = append(leaving, layout.Engine{DataCentre: in.GetDataCentre(), HeldLayers: reportedLayers(in)})
			continue
		}
		p.noteEngine(now, in)
		heldLayers, orderable := p.heldLayers(now, in, service.Model)
		if !orderable && heldLayers.Empty() {
			complete = false // it carries out an order of an earlier leader, so its range is not known
			continue
		}
		byID[in.GetId()] = in
		busy[in.GetId()] = !orderable || p.c.isPaused(now, in)
		engines = append(engines, layout.Engine{
			ID: in.GetId(), DataCentre: in.GetDataCentre(), Accelerator: in.GetAccelerator(), HeldLayers: heldLayers,
			Slow: isSlow(in.GetLoad()), RequestLimit: in.GetRequestLimit(),
		})
	}
	if len(engines) == 0 || !p.ready(now) {
		return
	}
	m := service.Model
	p.recordCapacity(m, engines)
	plan := layout.Plan(m, engines, complete)
	holders := slices.Concat(engines, leaving)
	for _, e := range engines {
		if wanted, ok := plan[e.ID]; ok && wanted != e.HeldLayers && !busy[e.ID] {
			p.sendOrder(now, byID[e.ID], wanted, layout.ClosesGap(holders, e, wanted))
		}
	}
}

func reportedLayers(in *wirepb.Instance) layout.Range {
	return layout.Range{From: int(in.GetLayers().GetFrom()), To: int(in.GetLayers().GetTo())}
}

func (p *placement) noteEngine(now time.Time, in *wirepb.Instance) {
	if p.knownEngines[in.GetId()] {
		return
	}
	p.knownEngines[in.GetId()] = true
	p.lastEngineAt = now
	if p.firstEngineAt.IsZero() {
		p.firstEngineAt = now
	}
	p.layersInherited = p.layersInherited || in.GetLayers() != nil
}

// ready reports whether enough engines are known for a plan. A new leader whose watch was
// current plans once it has polled every engine that it watched. Otherwise, if engines
// already held layers, it waits until all of them had time to announce themselves, because
// the layers of an engine that it does not know yet would be taken for missing.
func (p *placement) ready(now time.Time) bool {
	if p.planningAllowed {
		return true
	}
	if p.c.survey.Complete() {
		p.planningAllowed = true
		p.c.log.Info("Watched engines are polled.", logs.Int("engines", len(p.knownEngines)), logs.Dur("after", now.Sub(p.c.leaderSince)))
		return true
	}
	quiet := now.Sub(p.lastEngineAt) >= firstPlanQuietTime
	if p.layersInherited {
		p.planningAllowed = quiet && now.Sub(p.c.leaderSince) >= takeOverAnnouncements*p.c.opts.AnnouncementInterval
	} else {
		p.planningAllowed = quiet || now.Sub(p.firstEngineAt) >= maxFirstPlanDelay
	}
	return p.planningAllowed
}

// heldLayers returns the range to plan with for an engine, and whether it may be given
// another order. It is the range of the last order until the engine reports that range or
// the time to carry the order out has passed; then it is the reported range.
func (p *placement) heldLayers(now time.Time, in *wirepb.Instance, m *routing.Model) (layout.Range, bool) {
	reportedLayers := reportedLayers(in)
	o, ok := p.pendingOrders[in.GetId()]
	if !ok {
		return reportedLayers, !in.GetLoading()
	}
	share := float64(o.wanted.Len()) / float64(max(1, m.Layers))
	timeout := orderEffectTimeout + time.Duration(weightLoadTimeFactor*share*float64(m.LoadTime))
	overdue := now.Sub(o.at) > timeout && !in.GetLoading()
	// The announced range may be newer than the last report, and a late report may replace it
	// with the old range again. The order is therefore done only when a report, which alone
	// carries the order count, counts one more order.
	done := reportedLayers == o.wanted && in.GetOrders() > o.acceptedBefore
	if done || overdue {
		delete(p.pendingOrders, in.GetId())
		return reportedLayers, true
	}
	return o.wanted, false
}

// sendOrder orders an engine to hold a range. With abortRequests, the engine ends
// requests in the layers that it gives up instead of waiting for them.
func (p *placement) sendOrder(now time.Time, in *wirepb.Instance, wanted layout.Range, abortRequests bool) {
	o := pendingOrder{wanted: wanted, acceptedBefore: in.GetOrders(), at: now}
	p.pendingOrders[in.GetId()] = o
	p.c.log.Info("Layers ordered.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()),
		logs.Int("from", wanted.From), logs.Int("to", wanted.To),
		logs.Int("held_from", int(in.GetLayers().GetFrom())), logs.Int("held_to", int(in.GetLayers().GetTo())), logs.Uint("orders", o.acceptedBefore), logs.Int("cut", boolToInt(abortRequests)))
	p.c.metrics.sentOrders.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(p.c.ctx, orderTimeout)
		defer cancel()
		err := p.c.engines.Place(ctx, in.GetAddress(), instances.Placement{From: wanted.From, To: wanted.To, AbortRequests: abortRequests, BaseOrderCount: o.acceptedBefore})
		if err == nil {
			return
		}
		p.c.log.Warn("Order not confirmed.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Err(err))
		p.c.postToOwner(func() { p.orderFailed(in.GetId(), o) })
	}()
}

// orderFailed allows the order to be given again. One whose answer was lost may still be
// carried out; the next order names the same count of accepted orders, so that only one of
// them takes effect.
func (p *placement) orderFailed(id string, o pendingOrder) {
	if p.pendingOrders[id] == o {
		delete(p.pendingOrders, id)
	}
}

// recordCapacity logs and exports the capacity of each data centre when it has changed.
func (p *placement) recordCapacity(m *routing.Model, engines []layout.Engine) {
	for name, c := range layout.CapacityByDataCentre(m, engines) {
		if p.capacity[name] == c {
			continue
		}
		p.capacity[name] = c
		p.c.metrics.capacity(name, c.RequestsPerSecond)
		p.c.log.Info("Capacity changed.", logs.Str("data_centre", name), logs.Int("tokens", c.KVCacheTokens),
			logs.Dur("stream", c.RequestTime), logs.Int("requests_per_s", int(c.RequestsPerSecond)))
	}
}

func isSlow(load *wirepb.InstanceLoad) bool { return load.GetSlowdown() >= slowdownThreshold }
