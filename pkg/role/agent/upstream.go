package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// States of the upstream beside the agent.
const (
	stateLeft    = "left"    // never announced, or withdrew
	stateServing = "serving" // announced, heartbeats arrive
	stateEjected = "ejected" // silent or refuses connections
	// stateDraining is announced while an operator's drain is in force.
	stateDraining = "draining"
)

// maxKnownPrefixes bounds the cached prefixes remembered for load reports.
const maxKnownPrefixes = 4096

// upstreamView is an immutable description of the announced upstream.
type upstreamView struct {
	announced *upstreams.Announcement
	wire      *wirepb.Announcement
}

// holds refuses layers that the engine does not hold.
func (u *upstreamView) holds(model, version, adapter string, ref *wirepb.StageRef) error {
	for i := range u.announced.Models {
		m := &u.announced.Models[i]
		if m.Model != model || m.Version != version || m.FirstLayer != ref.FirstLayer || m.LastLayer != ref.LastLayer {
			continue
		}
		if adapter == "" || slices.Contains(m.Adapters, adapter) {
			return nil
		}
	}
	return fault.New(fault.NotFound, "layers %d to %d of model %.64q %.64q with adapter %.64q are not held",
		ref.FirstLayer, ref.LastLayer, model, version, adapter).WithField("model").WithOutcome(fault.NotRun)
}

// upstreamState follows the announcements of the upstream. It implements
// upstreams.Events.
type upstreamState struct {
	identity wirepb.Announcement // fields of the agent itself
	limit    time.Duration       // longest silence
	now      func() time.Time
	log      logs.Logger
	onSlots  func(int)
	changed  chan struct{}
	current  atomic.Pointer[upstreamView]

	mu       sync.Mutex
	machine  *fsm.FSM
	heard    time.Time
	load     upstreams.LoadReport
	loadAt   time.Time
	prefixes prefixSet

	announcedBefore bool
	draining        atomic.Bool // an operator's drain is in force
}

func newUpstreamState(identity *wirepb.Announcement, limit time.Duration, now func() time.Time, log logs.Logger, onSlots func(int)) *upstreamState {
	events := fsm.Events{
		{Name: "announce", Src: []string{stateLeft, stateEjected}, Dst: stateServing},
		{Name: "leave", Src: []string{stateServing, stateEjected}, Dst: stateLeft},
		{Name: "eject", Src: []string{stateServing}, Dst: stateEjected},
	}
	u := &upstreamState{
		limit:    limit,
		now:      now,
		log:      log,
		onSlots:  onSlots,
		changed:  make(chan struct{}, 1),
		machine:  fsm.NewFSM(stateLeft, events, nil),
		prefixes: newPrefixSet(maxKnownPrefixes),
	}
	copyIdentity(&u.identity, identity)
	return u
}

func copyIdentity(to, from *wirepb.Announcement) {
	to.Host, to.DataCentre, to.Region = from.Host, from.DataCentre, from.Region
	to.AgentAddress, to.Incarnation = from.AgentAddress, from.Incarnation
}

// view returns the upstream that takes work, or nil.
func (u *upstreamState) view() *upstreamView { return u.current.Load() }

// announcement returns what control is told, or nil. The pointer stays the
// same while nothing changes.
func (u *upstreamState) announcement() *wirepb.Announcement {
	if v := u.view(); v != nil {
		return v.wire
	}
	return nil
}

// HandleAnnouncement implements upstreams.Events.
func (u *upstreamState) HandleAnnouncement(a *upstreams.Announcement) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = u.now()
	old := u.current.Load()
	if old != nil && sameAnnouncement(old.announced, a) {
		return nil
	}
	if old == nil || old.announced.Instance != a.Instance {
		u.prefixes = newPrefixSet(maxKnownPrefixes) // the cache of another run
	}
	if old == nil && u.announcedBefore {
		u.raiseIncarnation(u.identity.Incarnation)
	}
	u.announcedBefore = true
	_ = u.machine.Event(context.Background(), "announce") // no-op while serving
	u.current.Store(&upstreamView{announced: a, wire: u.wireAnnouncement(a)})
	u.onSlots(int(a.Slots))
	u.log.Info("upstream announced", logs.Str("name", a.Name), logs.Str("address", a.Address))
	u.notify()
	return nil
}

// drain stops or resumes new work at the order of an operator. Work in progress
// goes on.
func (u *upstreamState) drain(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining.Swap(on) == on {
		return
	}
	if v := u.current.Load(); v != nil {
		u.current.Store(&upstreamView{announced: v.announced, wire: u.wireAnnouncement(v.announced)})
	}
	u.notify()
}

// raiseIncarnation moves past a known incarnation. The clock keeps the number
// above those of later processes' predecessors; it may have been set back.
func (u *upstreamState) raiseIncarnation(known uint64) {
	u.identity.Incarnation = max(uint64(u.now().UnixNano()), known+1)
}

// incarnation returns the incarnation that was last announced.
func (u *upstreamState) incarnation() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.identity.Incarnation
}

// Fenced announces the upstream under a new incarnation after control has
// refused a known one, because its lease had passed or it had left.
func (u *upstreamState) Fenced(known uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known < u.identity.Incarnation {
		return // another replica has already refused it
	}
	u.raiseIncarnation(known)
	if v := u.current.Load(); v != nil {
		u.current.Store(&upstreamView{announced: v.announced, wire: u.wireAnnouncement(v.announced)})
	}
	u.log.Info("incarnation raised", logs.Uint("refused", known))
	u.notify()
}

func sameAnnouncement(a, b *upstreams.Announcement) bool {
	return a.Name == b.Name && a.Kind == b.Kind && a.Address == b.Address && a.Accelerator == b.Accelerator &&
		a.Slots == b.Slots && a.KVTokens == b.KVTokens && a.ChecksFencing == b.ChecksFencing && a.Instance == b.Instance &&
		slices.Equal(a.Services, b.Services) && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b upstreams.ModelShard) bool {
	return a.Model == b.Model && a.Version == b.Version && a.FirstLayer == b.FirstLayer && a.LastLayer == b.LastLayer &&
		slices.Equal(a.Adapters, b.Adapters)
}

func (u *upstreamState) wireAnnouncement(a *upstreams.Announcement) *wirepb.Announcement {
	w := &wirepb.Announcement{
		Kind: a.Kind, Services: a.Services, Accelerator: a.Accelerator, Slots: a.Slots, KvTokens: a.KVTokens,
		ChecksFencing: a.ChecksFencing, State: stateServing,
	}
	if u.draining.Load() {
		w.State = stateDraining
	}
	copyIdentity(w, &u.identity)
	for _, m := range a.Models {
		w.Models = append(w.Models, &wirepb.ModelHeld{
			Model: m.Model, Version: m.Version, FirstLayer: m.FirstLayer, LastLayer: m.LastLayer, Adapters: m.Adapters,
		})
	}
	return w
}

// notify wakes the registration. Values are coalesced.
func (u *upstreamState) notify() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// HandleDeparture implements upstreams.Events.
func (u *upstreamState) HandleDeparture() { u.withdraw("leave", "upstream left") }

// withdraw ends the announcement. Work in progress goes on.
func (u *upstreamState) withdraw(event, reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.machine.Event(context.Background(), event) != nil {
		return
	}
	u.current.Store(nil)
	u.log.Warn(reason)
	u.notify()
}

// refused ejects the upstream that refused a connection, unless it has
// announced itself anew since.
func (u *upstreamState) refused(v *upstreamView) {
	if u.current.Load() == v {
		u.withdraw("eject", "upstream refuses connections")
	}
}

// check ejects an upstream whose heartbeat stopped.
func (u *upstreamState) check() {
	u.mu.Lock()
	silent := u.current.Load() != nil && u.now().Sub(u.heard) > u.limit
	u.mu.Unlock()
	if silent {
		u.withdraw("eject", "upstream heartbeat stopped")
	}
}

// HandleLoad implements upstreams.Events.
func (u *upstreamState) HandleLoad(l *upstreams.LoadReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load = *l
	u.loadAt = u.now()
}

// HandleCacheEvents implements upstreams.Events.
func (u *upstreamState) HandleCacheEvents(c *upstreams.CacheEvents) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prefixes.apply(c)
}

// used notes the prompt of a request by its prefix hashes.
func (u *upstreamState) used(hashes []uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prefixes.use(hashes)
}

// engineReport fills in what the engine last reported.
func (u *upstreamState) engineReport(r *wirepb.LoadReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Prefixes = u.prefixes.report(reportedPrefixes)
	if u.loadAt.IsZero() {
		return
	}
	r.EngineRunning = u.load.Running
	r.EngineQueued = u.load.Queued
	r.EngineKvFreeTokens = u.load.KVFreeTokens
	r.EngineAgeMs = uint32((u.now().Sub(u.loadAt) + u.load.Age()) / time.Millisecond)
}
