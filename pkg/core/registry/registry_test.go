package registry

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announcement(id string, born int64, sequence uint64) *wirepb.Instance {
	return &wirepb.Instance{Id: id, BornUnixMs: born, Sequence: sequence, Service: "s", Address: id + ":1", DataCentre: "a"}
}

// Guards against a delayed announcement that overwrites a newer one or revives a
// process that has ended.
func TestAnnounce_RejectsOlderAnnouncements(t *testing.T) {
	g := New()
	assert.Assert(t, g.Announce(start, announcement("i", 10, 5)))
	assert.Assert(t, !g.Announce(start, announcement("i", 10, 4)))
	assert.Assert(t, !g.Announce(start, announcement("i", 9, 50)))
	assert.Assert(t, g.Announce(start, announcement("i", 11, 1)))
	assert.Equal(t, g.Get("i").GetBornUnixMs(), int64(11))
}

// Guards against sending work to a process whose address now belongs to another one,
// and against accepting its late announcement.
func TestAnnounce_ReplacesProcessAtReusedAddress(t *testing.T) {
	g := New()
	old := announcement("old", 10, 1)
	old.Address = "x:1"
	successor := announcement("fresh", 20, 1)
	successor.Address = "x:1"
	assert.Assert(t, g.Announce(start, old))
	assert.Assert(t, g.Announce(start, successor))
	assert.Assert(t, g.Get("old") == nil)
	old.Sequence = 9
	assert.Assert(t, !g.Announce(start, old))
}

// Guards against a restarted engine that keeps its id and is assumed to hold the
// layers of its earlier process.
func TestAnnounce_RestartedProcessLosesReportedLayers(t *testing.T) {
	g := New()
	g.Announce(start, announcement("i", 10, 5))
	g.ApplyPoll(start, "i", PollResult{StartUnixMs: 10, Orders: 3, Layers: &wirepb.LayerRange{From: 0, To: 4}})
	g.Announce(start, announcement("i", 11, 1))
	assert.Assert(t, g.Get("i").GetLayers() == nil)
	g.ApplyPoll(start, "i", PollResult{StartUnixMs: 10, Layers: &wirepb.LayerRange{From: 0, To: 4}})
	assert.Assert(t, g.Get("i").GetLayers() == nil, "a poll result of the earlier process was accepted")
}

// Guards against a leaving instance that gets work beyond its grace period, and against
// one that gets none while other engines still load its layers.
func TestDrainLeaving_StopsWorkAfterGrace(t *testing.T) {
	const grace = time.Second
	g := New()
	leaving := announcement("i", 10, 2)
	leaving.Draining = true
	g.Announce(start, announcement("i", 10, 1))
	g.Announce(start, leaving)
	g.DrainLeaving(start, grace)
	assert.Assert(t, Usable(g.Get("i")) && !UsableLongTerm(g.Get("i")))
	assert.Equal(t, len(g.DrainLeaving(start.Add(grace/2), grace)), 0)
	assert.DeepEqual(t, g.DrainLeaving(start.Add(grace), grace), []string{"i"})
	assert.Assert(t, !Usable(g.Get("i")))
	late := announcement("i", 10, 3)
	g.Announce(start.Add(2*grace), late)
	assert.Assert(t, !Usable(g.Get("i")), "a later announcement made it usable again")
}

// Guards against an instance that loses all work at the first report of its departure,
// and against one that stays usable after a second one.
func TestRecordLeave_FirstLeavesUsable_SecondDoesNot(t *testing.T) {
	g := New()
	g.Announce(start, announcement("i", 10, 1))
	g.RecordLeave(start, "i")
	assert.Assert(t, Usable(g.Get("i")) && !UsableLongTerm(g.Get("i")))
	g.RecordLeave(start, "i")
	assert.Assert(t, !Usable(g.Get("i")))
}

// Guards against a watcher that misses a change or a removal.
func TestChangesSince_BringsWatcherUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		held := make(map[string]*wirepb.Instance)
		revision, loads := uint64(0), uint64(0)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				g.Announce(now, announcement(id, rapid.Int64Range(1, 4).Draw(t, "born"), rapid.Uint64Range(1, 9).Draw(t, "sequence")))
			case 1:
				g.RecordLeave(now, id)
			case 2:
				g.Expire(now, 4*time.Second)
			case 3:
				g.MarkSuspect(id)
			case 4:
				g.ApplyPoll(now, id, PollResult{Load: &wirepb.InstanceLoad{Active: rapid.Uint32Range(0, 2).Draw(t, "active")}})
			}
			if rapid.Bool().Draw(t, "watch") {
				withLoads := rapid.Bool().Draw(t, "with loads")
				since := loads
				if !withLoads {
					since = SkipLoads
				}
				full, changed, removed := g.ChangesSince(revision, since)
				if full {
					clear(held)
				}
				for _, gone := range removed {
					delete(held, gone)
				}
				for _, in := range changed {
					held[in.GetId()] = in
				}
				revision = g.Revision()
				if withLoads {
					loads = g.LoadRevision()
				}
				assert.Equal(t, len(held), len(g.All()))
				for _, in := range g.All() {
					assert.Assert(t, equalExceptLoad(held[in.GetId()], in))
					assert.Assert(t, !withLoads || proto.Equal(held[in.GetId()].GetLoad(), in.GetLoad()))
				}
			}
		}
	})
}

// Guards against a late announcement that overwrites newer layers from a poll, which
// makes paths disappear for a moment.
func TestAnnounce_KeepsReportedLayers(t *testing.T) {
	g := New()
	g.Announce(start, announcement("i", 10, 1))
	reported := &wirepb.LayerRange{From: 4, To: 12}
	g.ApplyPoll(start, "i", PollResult{StartUnixMs: 10, Orders: 2, Layers: reported, Load: &wirepb.InstanceLoad{}})
	late := announcement("i", 10, 2)
	late.Layers = &wirepb.LayerRange{From: 4, To: 8}
	g.Announce(start, late)
	assert.Equal(t, g.Get("i").GetLayers().GetTo(), uint32(12))
}

// Guards against two instances at one address, and against an address index that keeps
// removed instances or differs from the instances.
func TestAnnounce_KeepsOneInstancePerAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		now := start
		forgotten := make(map[string]*wirepb.Instance) // the newest of each id
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			in := announcement(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), rapid.Int64Range(1, 4).Draw(t, "born"), rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			in.Address = rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(t, "address")
			var blocked bool // by a later process at the address
			for _, o := range g.All() {
				blocked = blocked || o.GetId() != in.GetId() && o.GetAddress() == in.GetAddress() && o.GetBornUnixMs() > in.GetBornUnixMs()
			}
			held := g.Get(in.GetId())
			late := forgotten[in.GetId()] != nil && !newer(forgotten[in.GetId()], in)
			accepted := g.Announce(now, in)
			assert.Equal(t, accepted, !blocked && !late && (held == nil || newer(held, in)))
			if accepted {
				delete(forgotten, in.GetId())
			}
			before := make(map[string]*wirepb.Instance)
			for _, o := range g.All() {
				before[o.GetId()] = o
			}
			for _, id := range g.Expire(now, 3*time.Second) {
				forgotten[id] = before[id]
			}
			assert.Equal(t, len(g.byAddress), len(g.All()))
			for _, o := range g.All() {
				assert.Equal(t, g.byAddress[o.GetAddress()], o.GetId())
			}
		}
	})
}

// Guards against a repeated announcement that revives an instance or is taken for
// another process, and against accepting an older announcement after it.
func TestRefresh_ExtendsLifetimeOfKnownProcess(t *testing.T) {
	g := New()
	assert.Assert(t, !g.Refresh(start, "i", 10, 1))
	g.Announce(start, announcement("i", 10, 1))
	revision := g.Revision()
	assert.Assert(t, !g.Refresh(start, "i", 11, 2))
	assert.Assert(t, g.Refresh(start.Add(time.Second), "i", 10, 5))
	assert.Equal(t, g.Revision(), revision)
	assert.Assert(t, !g.Announce(start, announcement("i", 10, 4)))
	assert.Equal(t, len(g.Expire(start.Add(2*time.Second), 1500*time.Millisecond)), 0)
}

// Guards against a late announcement that brings back an instance which was forgotten, and
// against one that keeps out an instance which was only silent.
func TestAnnounce_LateAnnouncementsDoNotBringBackForgotten(t *testing.T) {
	g := New()
	g.Announce(start, announcement("crashed", 10, 5))
	g.Announce(start, announcement("left", 10, 5))
	g.RecordLeave(start, "left")
	g.RecordLeave(start, "left")
	later := start.Add(10 * time.Second)
	assert.Equal(t, len(g.Expire(later, time.Second)), 2)
	assert.Assert(t, !g.Announce(later, announcement("crashed", 10, 5)))
	assert.Assert(t, !g.Announce(later, announcement("crashed", 9, 50)))
	assert.Assert(t, !g.Announce(later, announcement("left", 10, 6)), "a process that said it is gone is used again")
	assert.Assert(t, g.Announce(later, announcement("crashed", 10, 6)), "a process that was only silent is kept out")
	assert.Assert(t, g.Announce(later, announcement("left", 11, 1)), "the next process under the id is kept out")
	g.Expire(later.Add(2*tombstoneAge), 10*tombstoneAge)
	assert.Equal(t, len(g.forgotten), 0)
}

// Guards against a new leader that takes the late announcement of an instance which said to
// the one before that it is gone.
func TestRecordLeft_KeepsOutWhatLeftUnderAnotherLeader(t *testing.T) {
	left := []*wirepb.Instance{{Id: "i", BornUnixMs: 10, Sequence: 5, Left: true}, {Id: "\xff"}}
	told := New()
	told.RecordLeft(start, left)
	assert.Assert(t, !told.Announce(start, announcement("i", 10, 4)))
	late := New()
	late.Announce(start, announcement("i", 10, 4))
	late.RecordLeft(start, left)
	assert.Assert(t, !Usable(late.Get("i")))
	for _, g := range []*Registry{told, late} {
		assert.Assert(t, g.Announce(start, announcement("i", 11, 1)))
		assert.Assert(t, Usable(g.Get("i")), "the next process under the id is kept out")
		g.RecordLeft(start, left)
		assert.Assert(t, Usable(g.Get("i")))
	}
}

// Guards against an instance that is used again although it said that it leaves: by a new leader
// that learns of it from others, before or after it knows the departure, or after it was silent
// for so long that it was forgotten.
func TestRecordDepartures_DepartedGetsNoNewWork(t *testing.T) {
	departures := []*wirepb.Departure{{InstanceId: "i", BornUnixMs: 10}}
	known := announcement("i", 10, 4)
	known.Address = "10.0.0.1:80"
	for name, meet := range map[string]func(g *Registry){
		"departure first": func(g *Registry) {
			g.RecordDepartures(start, departures)
			assert.NilError(t, g.Merge(start, []*wirepb.Instance{known}))
		},
		"instance first": func(g *Registry) {
			assert.NilError(t, g.Merge(start, []*wirepb.Instance{known}))
			g.RecordDepartures(start, departures)
		},
		"gone before it is known": func(g *Registry) {
			g.RecordLeave(start, "i")
			assert.NilError(t, g.Merge(start, []*wirepb.Instance{known}))
		},
		"forgotten meanwhile": func(g *Registry) {
			leaving := announcement("i", 10, 4)
			leaving.Draining = true
			g.Announce(start, leaving)
			g.Expire(start.Add(2*time.Second), time.Second)
			leaving.Sequence = 5
			assert.Assert(t, g.Announce(start.Add(3*time.Second), leaving))
		},
	} {
		g := New()
		meet(g)
		assert.Assert(t, g.Get("i") != nil && !Usable(g.Get("i")), name)
		g.Announce(start, announcement("i", 10, 9))
		assert.Assert(t, !Usable(g.Get("i")), name)
		next := announcement("i", start.UnixMilli()+1, 1)
		assert.Assert(t, g.Announce(start, next) && Usable(g.Get("i")), "%s: the next process under the id gets no work", name)
		g.RecordDepartures(start, departures)
		assert.Assert(t, Usable(g.Get("i")), name)
	}
}

// Guards against a departure that ends the grace period of the leader that recorded it.
func TestRecordDepartures_KnownDepartureChangesNothing(t *testing.T) {
	g := New()
	g.Announce(start, announcement("i", 10, 1))
	g.RecordLeave(start, "i")
	revision := g.Revision()
	g.RecordDepartures(start, []*wirepb.Departure{{InstanceId: "i", BornUnixMs: 10}})
	assert.Assert(t, Usable(g.Get("i")))
	assert.Equal(t, g.Revision(), revision)
}

// Guards against departures that are kept for ever.
func TestExpire_ForgetsDepartures(t *testing.T) {
	g := New()
	for i := range maxTombstones + 5 {
		g.RecordLeave(start, fmt.Sprint(i))
	}
	assert.Equal(t, len(g.departed), maxTombstones)
	g.Expire(start.Add(2*tombstoneAge), time.Second)
	assert.Equal(t, len(g.departed), 0)
}
