// Package registry tracks the instances of upstreams from their announcements. It
// reads no clock: callers pass the time.
package registry

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Registry holds the latest announcement of each instance. It is not safe for
// concurrent use.
type Registry struct {
	records          map[string]*record
	byAddress        map[string]string // id of the only instance at each address
	perHost          map[string]int    // number of instances by the host of their address
	revision         uint64
	lastLoadRevision uint64
	removed          []removal
	forgotten        map[string]tombstone // by id, of instances that were removed
	departed         map[string]departure // by id, of instances that said that they leave or are gone
}

// tombstone is what is kept of an instance that was removed, so that an announcement that
// arrives late does not bring it back.
type tombstone struct {
	startUnixMs int64
	sequence    uint64
	left        bool // it said that it is gone
	at          time.Time
}

const (
	// tombstoneAge is several times as long as an announcement may be late. Departures are
	// kept for as long.
	tombstoneAge = time.Minute
	// maxTombstones bounds the tombstones, and the departures. Without room, late announcements
	// are accepted.
	maxTombstones = 4096
)

type record struct {
	instance           *wirepb.Instance
	lastHeard          time.Time // time of the last announcement or poll result
	changeRevision     uint64    // revision of the last change other than a load change
	loadChangeRevision uint64    // load revision of the last load change
	leavingSince       time.Time // when DrainLeaving first saw it leaving
}

type removal struct {
	id       string
	revision uint64
}

// maxRemovals is the number of removals kept for delta updates. A watcher that is
// further behind gets the full state.
const maxRemovals = 1024

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: make(map[string]*record), byAddress: make(map[string]string), perHost: make(map[string]int), forgotten: make(map[string]tombstone), departed: make(map[string]departure)}
}

// Revision returns the revision, which increases with every change other than a load
// change.
func (g *Registry) Revision() uint64 { return g.revision }

// LoadRevision returns the load revision, which increases with every load change.
func (g *Registry) LoadRevision() uint64 { return g.lastLoadRevision }

// newer reports whether announcement got supersedes announcement held. A restarted
// process keeps its id but counts sequence numbers from one again, so the start time
// is compared first.
func newer(held, got *wirepb.Instance) bool {
	if held.GetBornUnixMs() != got.GetBornUnixMs() {
		return got.GetBornUnixMs() > held.GetBornUnixMs()
	}
	return got.GetSequence() > held.GetSequence()
}

// Announce records an announcement. It returns false for one that is older than the
// recorded state, or whose address belongs to a later process: a delayed message never
// revives an instance.
func (g *Registry) Announce(now time.Time, in *wirepb.Instance) bool {
	r := g.records[in.GetId()]
	if r != nil && !newer(r.instance, in) {
		return false
	}
	if g.isLate(in) || g.addressTaken(in) {
		return false
	}
	delete(g.forgotten, in.GetId())
	next := proto.CloneOf(in)
	// An instance announces its departure as Draining. The registry records it as
	// Leaving; DrainLeaving sets Draining after the grace period.
	if next.Draining && !next.Leaving {
		next.Leaving, next.Draining = true, r != nil && r.instance.GetDraining()
	}
	if (r == nil || r.instance.GetBornUnixMs() != next.GetBornUnixMs()) && g.hasDeparted(next) {
		next.Leaving, next.Draining = true, true // its grace period is over, or was under another leader
	}
	if next.GetLeaving() {
		g.depart(now, next.GetId(), next.GetBornUnixMs())
	}
	if r != nil && r.instance.GetBornUnixMs() == in.GetBornUnixMs() {
		next.Left = next.Left || r.instance.GetLeft()
		next.Leaving = next.Leaving || r.instance.GetLeaving()
		next.Draining = next.Draining || r.instance.GetDraining()
		next.Load = r.instance.GetLoad()
		next.Loading = r.instance.GetLoading()
		next.Orders = r.instance.GetOrders()
		next.RequestLimit = r.instance.GetRequestLimit()
		if r.instance.GetLoad() != nil {
			// Announcements may be seconds late; the last poll result of the engine is
			// newer.
			next.Layers, next.Models = r.instance.GetLayers(), r.instance.GetModels()
		}
	}
	if r != nil && r.instance.GetAddress() != next.GetAddress() {
		delete(g.byAddress, r.instance.GetAddress())
		g.countHost(r.instance, -1)
		g.countHost(next, 1)
	}
	g.takeAddress(next)
	g.storeInstance(now, next)
	return true
}

// isLate reports whether an announcement was sent before the instance was removed, or
// by a process that has said that it is gone.
func (g *Registry) isLate(in *wirepb.Instance) bool {
	t, ok := g.forgotten[in.GetId()]
	if !ok || in.GetBornUnixMs() > t.startUnixMs {
		return false
	}
	return in.GetBornUnixMs() < t.startUnixMs || t.left || in.GetSequence() <= t.sequence
}

// bury keeps what is needed to recognise late announcements of an instance.
func (g *Registry) bury(now time.Time, in *wirepb.Instance) {
	if len(g.forgotten) < maxTombstones {
		g.forgotten[in.GetId()] = tombstone{startUnixMs: in.GetBornUnixMs(), sequence: in.GetSequence(), left: in.GetLeft(), at: now}
	}
}

// Refresh records an announcement that repeats known content: it updates the sequence
// number and postpones expiry. It returns false if the process is not known.
func (g *Registry) Refresh(now time.Time, id string, startUnixMs int64, sequence uint64) bool {
	r := g.records[id]
	if r == nil || r.instance.GetBornUnixMs() != startUnixMs {
		return false
	}
	r.lastHeard = now
	if sequence > r.instance.GetSequence() {
		r.instance = proto.CloneOf(r.instance)
		r.instance.Sequence = sequence
	}
	return true
}

// addressTaken reports whether a process with a later start is known at the address.
func (g *Registry) addressTaken(in *wirepb.Instance) bool {
	id, known := g.byAddress[in.GetAddress()]
	return known && id != in.GetId() && g.records[id].instance.GetBornUnixMs() > in.GetBornUnixMs()
}

// takeAddress registers the address of an instance and removes an earlier process at
// it.
func (g *Registry) takeAddress(in *wirepb.Instance) {
	if id, known := g.byAddress[in.GetAddress()]; known && id != in.GetId() {
		g.remove(id)
	}
	g.byAddress[in.GetAddress()] = in.GetId()
}

func (g *Registry) storeInstance(now time.Time, in *wirepb.Instance) {
	r := g.records[in.GetId()]
	if r == nil {
		r = &record{}
		g.records[in.GetId()] = r
		g.countHost(in, 1)
	}
	r.lastHeard = now
	old := r.instance
	r.instance = in
	if old == nil || !equalExceptLoad(old, in) {
		g.revision++
		r.changeRevision = g.revision
	} else if !proto.Equal(old.GetLoad(), in.GetLoad()) {
		g.lastLoadRevision++
		r.loadChangeRevision = g.lastLoadRevision
	}
}

// equalExceptLoad reports whether two instances are equal apart from the announcement
// sequence number and the content of the load report.
func equalExceptLoad(a, b *wirepb.Instance) bool {
	if (a.GetLoad() == nil) != (b.GetLoad() == nil) {
		return false
	}
	x := proto.CloneOf(a)
	x.Sequence, x.Load = b.GetSequence(), b.GetLoad()
	return proto.Equal(x, b)
}

// PollResult is the state that an engine reported when it was polled.
type PollResult struct {
	StartUnixMs int64              // start of the process; zero if not reported
	Layers      *wirepb.LayerRange // nil if the engine holds none
	Loading     bool               // a load order is in progress
	Orders      uint64             // number of orders accepted
	Load        *wirepb.InstanceLoad
	Models      []string
	// RequestLimit is the limit that the engine names, in requests per second; zero if it
	// names none.
	RequestLimit float64
	Leaving      bool // the engine states that it leaves
}

// ApplyPoll records the poll result of an instance. A result of another process with
// the same id is ignored.
func (g *Registry) ApplyPoll(now time.Time, id string, p PollResult) {
	r := g.records[id]
	if r == nil || (p.StartUnixMs != 0 && p.StartUnixMs != r.instance.GetBornUnixMs()) {
		return
	}
	p = p.bounded()
	next := proto.CloneOf(r.instance)
	next.Layers, next.Loading, next.Orders, next.Load, next.Suspect = p.Layers, p.Loading, p.Orders, p.Load, false
	next.RequestLimit = p.RequestLimit
	next.Leaving = next.Leaving || p.Leaving
	if len(p.Models) > 0 {
		next.Models = p.Models
	}
	g.storeInstance(now, next)
}

// SetRequestLimit records the limit that an instance named in a reply, in requests per
// second, or zero if it named none.
func (g *Registry) SetRequestLimit(id string, limit float64) {
	r := g.records[id]
	if r == nil {
		return
	}
	next := proto.CloneOf(r.instance)
	next.RequestLimit = limit
	g.storeInstance(r.lastHeard, next)
}

// MarkSuspect marks an instance that does not answer.
func (g *Registry) MarkSuspect(id string) {
	r := g.records[id]
	if r == nil || r.instance.GetSuspect() {
		return
	}
	next := proto.CloneOf(r.instance)
	next.Suspect = true
	g.storeInstance(r.lastHeard, next)
}

// ExtendLifetimes postpones the expiry of all instances by pause, a time in which this
// process did not run and could not receive announcements.
func (g *Registry) ExtendLifetimes(pause time.Duration) {
	for _, r := range g.records {
		r.lastHeard = r.lastHeard.Add(pause)
	}
}

// Expire removes the instances that were not heard from for ttl and returns their ids
// in order.
func (g *Registry) Expire(now time.Time, ttl time.Duration) []string {
	var out []string
	for id, r := range g.records {
		if now.Sub(r.lastHeard) > ttl {
			out = append(out, id)
			g.bury(now, r.instance)
			g.remove(id)
		}
	}
	for id, t := range g.forgotten {
		if now.Sub(t.at) > tombstoneAge {
			delete(g.forgotten, id)
		}
	}
	for id, d := range g.departed {
		if now.Sub(d.at) > tombstoneAge {
			delete(g.departed, id)
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
	g.countHost(g.records[id].instance, -1)
	delete(g.records, id)
	g.revision++
	g.removed = append(g.removed, removal{id, g.revision})
	if extra := len(g.removed) - maxRemovals; extra > 0 {
		g.removed = g.removed[extra:]
	}
}

// Merge records the instances that another process knew. They count as heard at now,
// so that each has a full ttl to announce itself. It returns the first error of those that
// are not usable, which it leaves out.
func (g *Registry) Merge(now time.Time, instances []*wirepb.Instance) error {
	var first error
	for _, in := range instances {
		err := Check(now, in)
		if err == nil {
			err = g.CheckRoom(in)
		}
		if err == nil {
			in = proto.CloneOf(in)
			in.Load = PollResult{Load: in.GetLoad()}.bounded().Load
			g.Announce(now, in)
		} else if first == nil {
			first = err
		}
	}
	return first
}

// CheckRoom returns an error if an instance is new and the registry, or the part of it for
// one host, is full.
func (g *Registry) CheckRoom(in *wirepb.Instance) error {
	if g.records[in.GetId()] != nil {
		return nil
	}
	if len(g.records) >= maxInstances || g.perHost[hostOf(in)] >= maxInstancesPerHost {
		return fault.New(fault.Overloaded, "no room for another instance: %d are known, %d of them at %s", len(g.records), g.perHost[hostOf(in)], hostOf(in)).WithOutcome(fault.NotRun)
	}
	return nil
}

func hostOf(in *wirepb.Instance) string {
	return in.GetAddress()[:max(0, strings.LastIndexByte(in.GetAddress(), ':'))]
}

func (g *Registry) countHost(in *wirepb.Instance, n int) {
	host := hostOf(in)
	if g.perHost[host] += n; g.perHost[host] <= 0 {
		delete(g.perHost, host)
	}
}

// Get returns an instance, or nil.
func (g *Registry) Get(id string) *wirepb.Instance {
	if r := g.records[id]; r != nil {
		return r.instance
	}
	return nil
}

// All returns the instances sorted by id. The returned instances are not modified
// later.
func (g *Registry) All() []*wirepb.Instance {
	out := make([]*wirepb.Instance, 0, len(g.records))
	for _, r := range g.records {
		out = append(out, r.instance)
	}
	slices.SortFunc(out, func(a, b *wirepb.Instance) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// SkipLoads is the load revision that excludes load changes from ChangesSince.
const SkipLoads = math.MaxUint64

// ChangesSince returns the instances that changed after the given revision or whose
// load changed after the given load revision, and the ids removed since. If full is
// true, instances is the complete state and replaces everything.
func (g *Registry) ChangesSince(revision, loads uint64) (full bool, instances []*wirepb.Instance, removed []string) {
	if revision == 0 || revision > g.revision || (len(g.removed) == maxRemovals && g.removed[0].revision > revision) {
		return true, g.All(), nil
	}
	for _, r := range g.records {
		if r.changeRevision > revision || r.loadChangeRevision > loads {
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

// UsableLongTerm reports whether an instance is usable and not leaving, so that it may
// be assigned work that lasts.
func UsableLongTerm(in *wirepb.Instance) bool { return Usable(in) && !in.GetLeaving() }

// Usable reports whether new work may be sent to an instance.
func Usable(in *wirepb.Instance) bool {
	return !in.GetLeft() && !in.GetDraining() && !in.GetSuspect()
}
