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
	// settleTime is the time without a new engine after which the first layout
	// is planned, and settleLimit the longest wait for that: engines announce
	// themselves within about one interval of their announcements.
	settleTime  = 700 * time.Millisecond
	settleLimit = 3 * time.Second
	// slowFactor is the slowdown from which the layers of an engine are held
	// elsewhere too: its work costs a path more than a longer one does.
	slowFactor = 2.5
	// takeOverBeats is the number of announcements that every engine had the
	// time for before a new leader changes the layout.
	takeOverBeats = 2
	// planInterval is the time between two plans while nothing is known to have
	// changed.
	planInterval = 200 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
	// orderPatience is the time after which an order whose effect is not
	// reported is given again.
	orderPatience = 2 * time.Second
	// loadMargin is on the time to load layers: loads slow each other down.
	loadMargin = 2.0
)

// placement gives engines their layers. The owner of the coordinator owns it,
// and only a leader runs it.
type placement struct {
	c        *Coordinator
	planned  time.Time
	grewAt   time.Time // last time a new engine appeared
	firstAt  time.Time
	known    map[string]bool
	ordered  map[string]order
	settled  bool
	capacity map[string]layout.Capacity
	placed   bool // an earlier leader has placed layers
}

type order struct {
	wanted layout.Range
	orders uint64 // orders that the engine had accepted before
	at     time.Time
}

func newPlacement(c *Coordinator) *placement {
	return &placement{c: c, known: make(map[string]bool), ordered: make(map[string]order), capacity: make(map[string]layout.Capacity)}
}

func (p *placement) step(now time.Time) {
	conf := p.c.config.Load()
	if conf == nil || now.Sub(p.planned) < planInterval {
		return
	}
	p.planned = now
	for _, service := range conf.Services {
		if service.Model != nil && service.Model.Layers > 0 {
			p.place(now, service)
		}
	}
}

// place plans one service and orders what differs from the plan.
func (p *placement) place(now time.Time, service *routing.Service) {
	byID := make(map[string]*wirepb.Instance)
	busy := make(map[string]bool)
	complete := true
	var engines, leaving []layout.Engine
	for _, in := range p.c.registry.All() {
		if in.GetService() != service.Name || !registry.Usable(in) {
			continue
		}
		if !registry.Staying(in) {
			leaving = append(leaving, layout.Engine{DataCentre: in.GetDataCentre(), Held: reported(in)})
			continue
		}
		p.note(now, in)
		held, free := p.held(now, in, service.Model)
		if !free && held.Empty() {
			complete = false // it carries out an order of an earlier leader
			continue
		}
		byID[in.GetId()] = in
		busy[in.GetId()] = !free
		engines = append(engines, layout.Engine{
			ID: in.GetId(), DataCentre: in.GetDataCentre(), Accelerator: in.GetAccelerator(), Held: held,
			Slow: isSlow(in.GetLoad()),
		})
	}
	if len(engines) == 0 || !p.ready(now) {
		return
	}
	m := service.Model
	p.noteCapacity(m, engines)
	plan := layout.Plan(m, engines, complete)
	holders := slices.Concat(engines, leaving)
	for _, e := range engines {
		if wanted, ok := plan[e.ID]; ok && wanted != e.Held && !busy[e.ID] {
			p.order(now, byID[e.ID], wanted, layout.ClosesGap(holders, e, wanted))
		}
	}
}

func reported(in *wirepb.Instance) layout.Range {
	return layout.Range{From: int(in.GetLayers().GetFrom()), To: int(in.GetLayers().GetTo())}
}

func (p *placement) note(now time.Time, in *wirepb.Instance) {
	if p.known[in.GetId()] {
		return
	}
	p.known[in.GetId()] = true
	p.grewAt = now
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	p.placed = p.placed || in.GetLayers() != nil
}

// ready reports whether the engines are complete enough for a plan. A new
// leader whose engines hold layers waits until all had the time to announce
// themselves: those that it does not know yet would look like gaps.
func (p *placement) ready(now time.Time) bool {
	if p.settled {
		return true
	}
	quiet := now.Sub(p.grewAt) >= settleTime
	if p.placed {
		p.settled = quiet && now.Sub(p.c.ledSince) >= takeOverBeats*p.c.opts.BeatInterval
	} else {
		p.settled = quiet || now.Sub(p.firstAt) >= settleLimit
	}
	return p.settled
}

// held returns the range that an engine will hold, and whether it may be given
// another order. It is the range of the last order until the engine reports it,
// or had the time to carry it out and reports another.
func (p *placement) held(now time.Time, in *wirepb.Instance, m *routing.Model) (layout.Range, bool) {
	reported := reported(in)
	o, ok := p.ordered[in.GetId()]
	if !ok {
		return reported, !in.GetLoading()
	}
	share := float64(o.wanted.Len()) / float64(max(1, m.Layers))
	patience := orderPatience + time.Duration(loadMargin*share*float64(m.LoadTime))
	late := now.Sub(o.at) > patience && !in.GetLoading()
	// Announcements are newer than reports, and a report may take back what an
	// announcement said: the count of orders, which only reports carry, decides.
	done := reported == o.wanted && in.GetOrders() > o.orders
	if done || late {
		delete(p.ordered, in.GetId())
		return reported, true
	}
	return o.wanted, false
}

// order orders an engine to hold a range. With cut, it does not wait for requests in
// the layers that it gives up.
func (p *placement) order(now time.Time, in *wirepb.Instance, wanted layout.Range, cut bool) {
	o := order{wanted: wanted, orders: in.GetOrders(), at: now}
	p.ordered[in.GetId()] = o
	p.c.log.Info("Layers ordered.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()),
		logs.Int("from", wanted.From), logs.Int("to", wanted.To),
		logs.Int("held_from", int(in.GetLayers().GetFrom())), logs.Int("held_to", int(in.GetLayers().GetTo())), logs.Uint("orders", o.orders), logs.Int("cut", bit(cut)))
	p.c.metrics.orders.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(p.c.ctx, orderTimeout)
		defer cancel()
		err := p.c.engines.Place(ctx, in.GetAddress(), instances.Placement{From: wanted.From, To: wanted.To, AbortRequests: cut, BaseOrderCount: o.orders})
		if err == nil {
			return
		}
		p.c.log.Warn("Order not confirmed.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Err(err))
		p.c.post(func() { p.failed(in.GetId(), o) })
	}()
}

// failed lets an order be given again with the next report. One without an
// answer may be carried out later; the next one names the same count of orders,
// so that only one of them takes effect.
func (p *placement) failed(id string, o order) {
	if p.ordered[id] == o {
		delete(p.ordered, id)
	}
}

// noteCapacity logs the capacity of each data centre when it has changed.
func (p *placement) noteCapacity(m *routing.Model, engines []layout.Engine) {
	for name, c := range layout.Capacities(m, engines) {
		if p.capacity[name] == c {
			continue
		}
		p.capacity[name] = c
		p.c.metrics.capacity(name, c.PerSecond)
		p.c.log.Info("Capacity changed.", logs.Str("data_centre", name), logs.Int("tokens", c.Tokens),
			logs.Dur("stream", c.Stream), logs.Int("requests_per_s", int(c.PerSecond)))
	}
}

func isSlow(load *wirepb.InstanceLoad) bool { return load.GetSlowdown() >= slowFactor }
