package registry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// departure outlives the record of an instance, so that it gets no new work when it is heard
// of again.
type departure struct {
	startUnixMs int64 // holds for processes that started until then
	at          time.Time
}

// RecordLeave records that an instance said that it is gone. The instance stays known until it
// expires, so that a delayed announcement does not revive it. An instance that was already
// leaving gets no new work from now on. Any other becomes leaving and stays usable until
// DrainLeaving marks it as draining. If the instance is not known, the departure holds for its
// processes that started by now.
func (g *Registry) RecordLeave(now time.Time, id string) {
	r := g.records[id]
	if r == nil {
		g.depart(now, id, now.UnixMilli())
		return
	}
	if r.instance.GetLeft() {
		return
	}
	g.depart(now, id, r.instance.GetBornUnixMs())
	next := proto.CloneOf(r.instance)
	if next.Leaving {
		next.Left = true
	}
	next.Leaving = true
	g.storeInstance(now, next)
}

// DrainLeaving marks instances that have been leaving for at least grace as draining,
// so that they get no new work. It returns their ids in order.
func (g *Registry) DrainLeaving(now time.Time, grace time.Duration) (drained []string) {
	for id, r := range g.records {
		switch {
		case !r.instance.GetLeaving() || r.instance.GetDraining():
			continue
		case r.leavingSince.IsZero():
			r.leavingSince = now
		case now.Sub(r.leavingSince) >= grace:
			next := proto.CloneOf(r.instance)
			next.Draining = true
			g.storeInstance(r.lastHeard, next)
			drained = append(drained, id)
		}
	}
	slices.Sort(drained)
	return drained
}

// depart remembers that an instance leaves, for its processes that started until startUnixMs.
func (g *Registry) depart(now time.Time, id string, startUnixMs int64) {
	known, ok := g.departed[id]
	if ok || len(g.departed) < maxTombstones {
		g.departed[id] = departure{startUnixMs: max(startUnixMs, known.startUnixMs), at: now}
	}
}

func (g *Registry) hasDeparted(in *wirepb.Instance) bool {
	d, ok := g.departed[in.GetId()]
	return ok && in.GetBornUnixMs() <= d.startUnixMs
}

// RecordDepartures records departures that another leader has acknowledged. The instances get
// no new work from now on. A departure that this registry knows changes nothing.
func (g *Registry) RecordDepartures(now time.Time, departures []*wirepb.Departure) {
	for _, d := range departures {
		if known, ok := g.departed[d.GetInstanceId()]; ok && known.startUnixMs >= d.GetBornUnixMs() {
			continue
		}
		g.depart(now, d.GetInstanceId(), d.GetBornUnixMs())
		if r := g.records[d.GetInstanceId()]; r != nil && r.instance.GetBornUnixMs() <= d.GetBornUnixMs() {
			next := proto.CloneOf(r.instance)
			next.Leaving, next.Draining = true, true
			g.storeInstance(r.lastHeard, next)
		}
	}
}

// RecordLeft records processes that said that they are gone, as another process knew: late
// announcements do not bring them back, and one that was accepted already counts no more.
func (g *Registry) RecordLeft(now time.Time, left []*wirepb.Instance) {
	for _, in := range left {
		if CheckID(in.GetId()) != nil {
			continue
		}
		r := g.records[in.GetId()]
		switch {
		case r == nil:
			g.bury(now, &wirepb.Instance{Id: in.GetId(), BornUnixMs: in.GetBornUnixMs(), Sequence: in.GetSequence(), Left: true})
		case r.instance.GetBornUnixMs() <= in.GetBornUnixMs() && !r.instance.GetLeft():
			next := proto.CloneOf(r.instance)
			next.Left, next.Leaving = true, true
			g.storeInstance(r.lastHeard, next)
		}
	}
}
