package control

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxEventBytes is the size above which a watch event is split. A part of this
// size plus one entry or announcement still fits in a frame of 1 MiB.
const maxEventBytes = 512 << 10

// cursor holds the versions of the state that a watcher has been sent.
type cursor struct {
	revision  uint64
	upstreams uint64
	voters    uint64
}

// versionedVoters is the set of voters and a version that increases with each
// change.
type versionedVoters struct {
	version uint64
	voters  []*wirepb.Voter
}

// eventFeed builds watch events. Watchers with the same cursor share one
// cached event.
type eventFeed struct {
	machine     *StateMachine
	registry    *Registry
	voters      atomic.Pointer[versionedVoters]
	liveEntries func() int

	mu                  sync.Mutex
	cachedFrom          cursor
	cachedTo            cursor
	cachedWithUpstreams bool // whether cachedEvents include upstreams
	cachedEvents        []*wirepb.WatchEvent
	cachedFullCursors   [2]cursor // index 0 without upstreams, 1 with upstreams
	cachedFullEvents    [2][]*wirepb.WatchEvent
}

func newEventFeed(m *StateMachine, r *Registry, liveEntries func() int) *eventFeed {
	f := &eventFeed{machine: m, registry: r, liveEntries: liveEntries}
	f.voters.Store(&versionedVoters{})
	return f
}

// setVoters sets the voters that later events carry.
func (f *eventFeed) setVoters(voters []*wirepb.Voter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voters.Store(&versionedVoters{version: f.voters.Load().version + 1, voters: voters})
}

// full returns the events that replace the whole state of a watcher, with or
// without the upstreams, and the cursor after them. The events are cached,
// because many watchers connect at once after the loss of a replica.
func (f *eventFeed) full(withUpstreams bool) ([]*wirepb.WatchEvent, cursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slot := 0
	if withUpstreams {
		slot = 1
	}
	if f.cachedFullEvents[slot] == nil || !f.isCurrent(f.cachedFullCursors[slot], withUpstreams) {
		f.cachedFullEvents[slot], f.cachedFullCursors[slot] = f.buildFull(withUpstreams)
	}
	return withLiveEntries(f.cachedFullEvents[slot], f.liveEntries()), f.cachedFullCursors[slot]
}

// withLiveEntries returns the events with the given number of live entries in
// the first one. It does not modify the shared events.
func withLiveEntries(events []*wirepb.WatchEvent, live int) []*wirepb.WatchEvent {
	first := &wirepb.WatchEvent{
		Revision:      events[0].Revision,
		Full:          events[0].Full,
		Entries:       events[0].Entries,
		Voters:        events[0].Voters,
		UpstreamsFull: events[0].UpstreamsFull,
		Upstreams:     events[0].Upstreams,
		LiveEntries:   uint32(live),
		More:          events[0].More,
	}
	return append([]*wirepb.WatchEvent{first}, events[1:]...)
}

func (f *eventFeed) buildFull(withUpstreams bool) ([]*wirepb.WatchEvent, cursor) {
	var d state.Delta
	f.machine.Read(func(s *state.Store) { d = s.Full() })
	voters := f.voters.Load()
	event := &wirepb.WatchEvent{
		Revision: d.Revision,
		Full:     true,
		Entries:  d.Put,
		Voters:   voters.voters,
	}
	c := cursor{revision: d.Revision, voters: voters.version}
	if withUpstreams {
		u := f.registry.ChangesSince(0, true)
		event.UpstreamsFull = true
		event.Upstreams = u.Put
		c.upstreams = u.Version
	}
	return splitEvent(event), c
}

// changesSince returns the events that bring a watcher from a cursor to the
// current state, and the cursor after them.
func (f *eventFeed) changesSince(from cursor, withUpstreams bool) ([]*wirepb.WatchEvent, cursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cachedFrom == from && f.cachedWithUpstreams == withUpstreams && f.isCurrent(f.cachedTo, withUpstreams) {
		return f.cachedEvents, f.cachedTo
	}
	if f.isCurrent(from, withUpstreams) {
		return nil, from
	}
	f.cachedEvents, f.cachedTo = f.buildChanges(from, withUpstreams)
	f.cachedFrom, f.cachedWithUpstreams = from, withUpstreams
	return f.cachedEvents, f.cachedTo
}

func (f *eventFeed) isCurrent(c cursor, withUpstreams bool) bool {
	return c.revision == f.machine.Revision() &&
		c.voters == f.voters.Load().version &&
		(!withUpstreams || c.upstreams == f.registry.Version())
}

func (f *eventFeed) buildChanges(from cursor, withUpstreams bool) ([]*wirepb.WatchEvent, cursor) {
	var d state.Delta
	f.machine.Read(func(s *state.Store) { d = s.Since(from.revision) })
	voters := f.voters.Load()
	event := &wirepb.WatchEvent{Revision: d.Revision, Full: d.Full, Entries: d.Put, Removed: d.Removed}
	if d.Full || voters.version != from.voters {
		event.Voters = voters.voters
	}
	to := cursor{revision: d.Revision, voters: voters.version}
	if withUpstreams {
		u := f.registry.ChangesSince(from.upstreams, false)
		event.UpstreamsFull = u.Full
		event.Upstreams = u.Put
		event.UpstreamsRemoved = u.Removed
		to.upstreams = u.Version
	}
	event.LiveEntries = uint32(f.liveEntries())
	return splitEvent(event), to
}

// splitEvent divides an event into parts that each fit in a frame. All parts
// but the last have More set.
func splitEvent(event *wirepb.WatchEvent) []*wirepb.WatchEvent {
	if proto.Size(event) <= maxEventBytes {
		return []*wirepb.WatchEvent{event}
	}
	first := &wirepb.WatchEvent{
		Revision:         event.Revision,
		Full:             event.Full,
		Removed:          event.Removed,
		Voters:           event.Voters,
		UpstreamsFull:    event.UpstreamsFull,
		UpstreamsRemoved: event.UpstreamsRemoved,
		LiveEntries:      event.LiveEntries,
	}
	parts := []*wirepb.WatchEvent{first}
	size := proto.Size(first)
	partFor := func(n int) *wirepb.WatchEvent {
		if size+n > maxEventBytes {
			parts = append(parts, &wirepb.WatchEvent{Revision: event.Revision})
			size = 0
		}
		size += n
		return parts[len(parts)-1]
	}
	for _, e := range event.Entries {
		part := partFor(proto.Size(e))
		part.Entries = append(part.Entries, e)
	}
	for _, a := range event.Upstreams {
		part := partFor(proto.Size(a))
		part.Upstreams = append(part.Upstreams, a)
	}
	for _, part := range parts[:len(parts)-1] {
		part.More = true
	}
	return parts
}
