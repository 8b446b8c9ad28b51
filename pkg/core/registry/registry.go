// Package registry keeps the instances of upstreams as they announce
// themselves. It is pure: the caller brings the time.
package registry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Registry holds the newest announcement of each instance. It is not safe for
// concurrent use.
type Registry struct {
	records   map[string]*record
	byAddress map[string]string // id of the one instance at an address
	revision  uint64
	loads     uint64
	removed   []removal
}

type record struct {
	instance *wirepb.Instance
	heard    time.Time // last announcement or report
	changed  uint64    // revision of the last change but of its load
	loaded   uint64    // load revision of the last change of its load
	leaving  time.Time // when it was first seen to leave
}

type removal struct {
	id       string
	revision uint64
}

// maxRemovals bounds the removals remembered for deltas; a watcher that is
// further behind gets everything.
const maxRemovals = 1024

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: make(map[string]*record), byAddress: make(map[string]string)}
}

// Revision rises with every change but of loads.
func (g *Registry) Revision() uint64 { return g.revision }

// LoadRevision rises with every change of a load.
func (g *Registry) LoadRevision() uint64 { return g.loads }

// newer reports whether an announcement supersedes the one held. A process
// that starts again under its id counts from one again, so its start decides
// first.
func newer(held, got *wirepb.Instance) bool {
	if held.GetBornUnixMs() != got.GetBornUnixMs() {
		return got.GetBornUnixMs() > held.GetBornUnixMs()
	}
	return got.GetSequence() > held.GetSequence()
}

// Announce takes an announcement. It returns false for one that is older than
// what is held: a delayed message never brings an instance back.
func (g *Registry) Announce(now time.Time, in *wirepb.Instance) bool {
	r := g.records[in.GetId()]
	if r != nil && !newer(r.instance, in) {
		return false
	}
	if g.addressTaken(in) {
		return false
	}
	next := proto.CloneOf(in)
	if next.Draining && !next.Leaving {
		next.Leaving, next.Draining = true, r != nil && r.instance.GetDraining()
	}
	if r != nil && r.instance.GetBornUnixMs() == in.GetBornUnixMs() {
		next.Left = next.Left || r.instance.GetLeft()
		next.Leaving = next.Leaving || r.instance.GetLeaving()
		next.Draining = next.Draining || r.instance.GetDraining()
		next.Load = r.instance.GetLoad()
		next.Loading = r.instance.GetLoading()
		next.Orders = r.instance.GetOrders()
		if r.instance.GetLoad() != nil {
			// Announcements may be seconds late; the engine itself was asked since.
			next.Layers, next.Models = r.instance.GetLayers(), r.instance.GetModels()
		}
	}
	if r != nil && r.instance.GetAddress() != next.GetAddress() {
		delete(g.byAddress, r.instance.GetAddress())
	}
	g.dropOtherAt(next)
	g.put(now, next)
	return true
}

// Refresh notes an announcement that repeats what is known. It returns false where the
// process is not known.
func (g *Registry) Refresh(now time.Time, id string, bornUnixMs int64, sequence uint64) bool {
	r := g.records[id]
	if r == nil || r.instance.GetBornUnixMs() != bornUnixMs {
		return false
	}
	r.heard = now
	if sequence > r.instance.GetSequence() {
		r.instance = proto.CloneOf(r.instance)
		r.instance.Sequence = sequence
	}
	return true
}

// addressTaken reports whether a later process is known at the address.
func (g *Registry) addressTaken(in *wirepb.Instance) bool {
	id, known := g.byAddress[in.GetAddress()]
	return known && id != in.GetId() && g.records[id].instance.GetBornUnixMs() > in.GetBornUnixMs()
}

// dropOtherAt removes an earlier process at the address of an instance.
func (g *Registry) dropOtherAt(in *wirepb.Instance) {
	if id, known := g.byAddress[in.GetAddress()]; known && id != in.GetId() {
		g.remove(id)
	}
	g.byAddress[in.GetAddress()] = in.GetId()
}

func (g *Registry) put(now time.Time, in *wirepb.Instance) {
	r := g.records[in.GetId()]
	if r == nil {
		r = &record{}
		g.records[in.GetId()] = r
	}
	r.heard = now
	old := r.instance
	r.instance = in
	if old == nil || !same(old, in) {
		g.revision++
		r.changed = g.revision
	} else if !proto.Equal(old.GetLoad(), in.GetLoad()) {
		g.loads++
		r.loaded = g.loads
	}
}

// same ignores the counter of announcements, which changes with each, and what a load
// says.
func same(a, b *wirepb.Instance) bool {
	if (a.GetLoad() == nil) != (b.GetLoad() == nil) {
		return false
	}
	x := proto.CloneOf(a)
	x.Sequence, x.Load = b.GetSequence(), b.GetLoad()
	return proto.Equal(x, b)
}

// RecordLeave marks an instance that said it is gone. It stays known until it
// expires, so that a delayed announcement does not bring it back. One that had
// not said before that it leaves serves on for as long as one that had.
func (g *Registry) RecordLeave(now time.Time, id string) {
	r := g.records[id]
	if r == nil || r.instance.GetLeft() {
		return
	}
	next := proto.CloneOf(r.instance)
	if next.Leaving {
		next.Left = true
	}
	next.Leaving = true
	g.put(now, next)
}

// DrainLeaving ends the time in which instances that leave still take work: those that
// have been leaving for longer than grace get none from now on.
func (g *Registry) DrainLeaving(now time.Time, grace time.Duration) (drained []string) {
	for id, r := range g.records {
		switch {
		case !r.instance.GetLeaving() || r.instance.GetDraining():
			continue
		case r.leaving.IsZero():
			r.leaving = now
		case now.Sub(r.leaving) >= grace:
			next := proto.CloneOf(r.instance)
			next.Draining = true
			g.put(r.heard, next)
			drained = append(drained, id)
		}
	}
	slices.Sort(drained)
	return drained
}

// PollResult is what an engine answered when it was asked for its state.
type PollResult struct {
	BornUnixMs int64              // zero when not said
	Layers     *wirepb.LayerRange // nil when it holds none
	Loading    bool               // an order is in progress
	Orders     uint64             // orders that it accepted
	Load       *wirepb.InstanceLoad
	Models     []string
}

// ApplyPoll takes the answer of an instance to a poll.
func (g *Registry) ApplyPoll(now time.Time, id string, p PollResult) {
	r := g.records[id]
	if r == nil || (p.BornUnixMs != 0 && p.BornUnixMs != r.instance.GetBornUnixMs()) {
		return
	}
	next := proto.CloneOf(r.instance)
	next.Layers, next.Loading, next.Orders, next.Load, next.Suspect = p.Layers, p.Loading, p.Orders, p.Load, false
	if len(p.Models) > 0 {
		next.Models = p.Models
	}
	g.put(now, next)
}

// MarkSuspect marks an instance that does not answer.
func (g *Registry) MarkSuspect(id string) {
	r := g.records[id]
	if r == nil || r.instance.GetSuspect() {
		return
	}
	next := proto.CloneOf(r.instance)
	next.Suspect = true
	g.put(r.heard, next)
}

// ExtendLifetimes counts a time in which this process did not run as if it had heard
// from all instances meanwhile.
func (g *Registry) ExtendLifetimes(pause time.Duration) {
	for _, r := range g.records {
		r.heard = r.heard.Add(pause)
	}
}

// Expire forgets the instances that were not heard from for ttl.
func (g *Registry) Expire(now time.Time, ttl time.Duration) []string {
	var out []string
	for id, r := range g.records {
		if now.Sub(r.heard) > ttl {
			out = append(out, id)
			g.remove(id)
		}
	}
	slices.Sort(out)
	return out
}

func (g *Registry) remove(id string) {
	address := g.records[id].instance.GetAddress()
	if g.byAddress[address] == id {
		delete(g.byAddress, address)
	}
	delete(g.records, id)
	g.revision++
	g.removed = append(g.removed, removal{id, g.revision})
	if extra := len(g.removed) - maxRemovals; extra > 0 {
		g.removed = g.removed[extra:]
	}
}

// Merge takes what another process knew. now counts as the time at which the
// instances were heard, so that they get a full term to announce themselves.
func (g *Registry) Merge(now time.Time, instances []*wirepb.Instance) {
	for _, in := range instances {
		g.Announce(now, in)
	}
}

// Get returns an instance, or nil.
func (g *Registry) Get(id string) *wirepb.Instance {
	if r := g.records[id]; r != nil {
		return r.instance
	}
	return nil
}

// All returns the instances in order of their ids. They are not changed later.
func (g *Registry) All() []*wirepb.Instance {
	out := make([]*wirepb.Instance, 0, len(g.records))
	for _, r := range g.records {
		out = append(out, r.instance)
	}
	slices.SortFunc(out, func(a, b *wirepb.Instance) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// SkipLoads as a load revision leaves changed loads out.
const SkipLoads = math.MaxUint64

// ChangesSince returns what changed after a revision, and the instances whose load changed
// after a load revision. full means that instances replaces everything.
func (g *Registry) ChangesSince(revision, loads uint64) (full bool, instances []*wirepb.Instance, removed []string) {
	if revision == 0 || revision > g.revision || (len(g.removed) == maxRemovals && g.removed[0].revision > revision) {
		return true, g.All(), nil
	}
	for _, r := range g.records {
		if r.changed > revision || r.loaded > loads {
			instances = append(instances, r.instance)
		}
	}
	for _, r := range g.removed {
		if r.revision > revision && g.records[r.id] == nil {
			removed = append(removed, r.id)
		}
	}
	return false, instances, removed
}

// UsableLongTerm reports whether an instance may be given a part in new work that
// outlasts its departure.
func UsableLongTerm(in *wirepb.Instance) bool { return Usable(in) && !in.GetLeaving() }

// Usable reports whether new work may be sent to an instance.
func Usable(in *wirepb.Instance) bool {
	return !in.GetLeft() && !in.GetDraining() && !in.GetSuspect()
}
