package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"

	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// States of the upstream on this host.
const (
	stateLeft    = "left"    // not announced, or has left
	stateServing = "serving" // announced, and heartbeats arrive
	stateEjected = "ejected" // no heartbeats, or refuses connections
	// stateDraining is announced while an operator's drain is in force.
	stateDraining = "draining"
)

// maxCachedPrefixes limits the cached prefixes that are tracked for load
// reports.
const maxCachedPrefixes = 4096

// upstreamSnapshot is an immutable description of the announced upstream.
type upstreamSnapshot struct {
	announced *upstreams.Announcement
	wire      *wirepb.Announcement
}

// checkLayersHeld refuses a model version, layers or an adapter that the engine
// does not hold.
func (u *upstreamSnapshot) checkLayersHeld(model, version, adapter string, ref *wirepb.StageRef) error {
	for i := range u.announced.Models {
		m := &u.announced.Models[i]
		if m.Model != model || m.Version != version || m.FirstLayer != ref.FirstLayer || m.LastLayer != ref.LastLayer {
			continue
		}
		if adapter == "" || slices.Contains(m.Adapters, adapter) {
			return nil
		}
	}
	return fault.New(fault.NotFound, "layers %d to %d of model %.64q version %.64q with adapter %.64q are not held",
		ref.FirstLayer, ref.LastLayer, model, version, adapter).WithField("model").WithOutcome(fault.NotRun)
}

// upstreamState tracks the announcements, heartbeats and reports of the
// upstream. It implements upstreams.ReportHandler.
type upstreamState struct {
	baseAnnouncement wirepb.Announcement // the agent's own fields
	heartbeatTimeout time.Duration       // longest time without a heartbeat
	now              func() time.Time
	log              logs.Logger
	onSlotsChanged   func(int)
	changed          chan struct{}
	current          atomic.Pointer[upstreamSnapshot]

	mu             sync.Mutex
	stateMachine   *fsm.FSM
	lastHeartbeat  time.Time
	load           upstreams.LoadReport
	loadReceivedAt time.Time
	prefixes       prefixSet

	announcedBefore bool
	draining        atomic.Bool // an operator's drain is in force
	selfReports     selfreport.Book
}

func newUpstreamState(baseAnnouncement *wirepb.Announcement, heartbeatTimeout time.Duration, now func() time.Time, log logs.Logger, onSlotsChanged func(int)) *upstreamState {
	events := fsm.Events{
		{Name: "announce", Src: []string{stateLeft, stateEjected}, Dst: stateServing},
		{Name: "leave", Src: []string{stateServing, stateEjected}, Dst: stateLeft},
		{Name: "eject", Src: []string{stateServing}, Dst: stateEjected},
	}
	u := &upstreamState{
		heartbeatTimeout: heartbeatTimeout,
		now:              now,
		log:              log,
		onSlotsChanged:   onSlotsChanged,
		changed:          make(chan struct{}, 1),
		stateMachine:     fsm.NewFSM(stateLeft, events, nil),
		prefixes:         newPrefixSet(maxCachedPrefixes),
	}
	copyAgentFields(&u.baseAnnouncement, baseAnnouncement)
	return u
}

func copyAgentFields(to, from *wirepb.Announcement) {
	to.Host, to.DataCentre, to.Region = from.Host, from.DataCentre, from.Region
	to.AgentAddress, to.Incarnation = from.AgentAddress, from.Incarnation
}

// currentUpstream returns the upstream that takes work, or nil.
func (u *upstreamState) currentUpstream() *upstreamSnapshot { return u.current.Load() }

// announcement returns the announcement for control, or nil. The pointer stays
// the same while nothing changes.
func (u *upstreamState) announcement() *wirepb.Announcement {
	if v := u.currentUpstream(); v != nil {
		return v.wire
	}
	return nil
}

// HandleAnnouncement implements upstreams.ReportHandler.
func (u *upstreamState) HandleAnnouncement(a *upstreams.Announcement) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastHeartbeat = u.now()
	old := u.current.Load()
	if old != nil && sameAnnouncement(old.announced, a) {
		return nil
	}
	if old == nil || old.announced.RunID != a.RunID {
		u.prefixes = newPrefixSet(maxCachedPrefixes) // a new instance starts with an empty cache
	}
	if old == nil && u.announcedBefore {
		u.raiseIncarnation(u.baseAnnouncement.Incarnation)
	}
	u.announcedBefore = true
	_ = u.stateMachine.Event(context.Background(), "announce") // no-op in stateServing
	u.current.Store(&upstreamSnapshot{announced: a, wire: u.wireAnnouncement(a)})
	u.onSlotsChanged(int(a.Slots))
	u.log.Info("upstream announced", logs.Str("name", a.Name), logs.Str("address", a.Address))
	u.notify()
	return nil
}

// setDraining sets whether new work is refused on an operator's order. Work in
// progress continues.
func (u *upstreamState) setDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining.Swap(on) != on {
		u.announceAgain()
	}
}

// refreshAnnouncement announces the upstream anew with its present state.
func (u *upstreamState) refreshAnnouncement() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announceAgain()
}

// announceAgain does so for a caller that holds mu.
func (u *upstreamState) announceAgain() {
	if v := u.current.Load(); v != nil {
		u.current.Store(&upstreamSnapshot{announced: v.announced, wire: u.wireAnnouncement(v.announced)})
	}
	u.notify()
}

// raiseIncarnation sets an incarnation above known. It is taken from the clock,
// so that a later process starts above it, and is at least known+1 because the
// clock may have been set back.
func (u *upstreamState) raiseIncarnation(known uint64) {
	u.baseAnnouncement.Incarnation = max(uint64(u.now().UnixNano()), known+1)
}

// incarnation returns the current incarnation.
func (u *upstreamState) incarnation() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.baseAnnouncement.Incarnation
}

// HandleStaleIncarnation announces the upstream under a new incarnation after
// control has refused the current one, for example because the lease expired or
// the upstream left. known is the highest incarnation that control has.
func (u *upstreamState) HandleStaleIncarnation(known uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known < u.baseAnnouncement.Incarnation {
		return // already raised after the refusal by another replica
	}
	u.raiseIncarnation(known)
	if v := u.current.Load(); v != nil {
		u.current.Store(&upstreamSnapshot{announced: v.announced, wire: u.wireAnnouncement(v.announced)})
	}
	u.log.Info("incarnation raised", logs.Uint("refused", known))
	u.notify()
}

func sameAnnouncement(a, b *upstreams.Announcement) bool {
	return a.Name == b.Name && a.Kind == b.Kind && a.Address == b.Address && a.Accelerator == b.Accelerator &&
		a.Slots == b.Slots && a.KVTokens == b.KVTokens && a.ChecksFencing == b.ChecksFencing && a.RunID == b.RunID &&
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
	if u.draining.Load() || u.selfReports.Get(processOf(a)).Leaving {
		w.State = stateDraining
	}
	copyAgentFields(w, &u.baseAnnouncement)
	for _, m := range a.Models {
		w.Models = append(w.Models, &wirepb.ModelHeld{
			Model: m.Model, Version: m.Version, FirstLayer: m.FirstLayer, LastLayer: m.LastLayer, Adapters: m.Adapters,
		})
	}
	return w
}

// notify wakes the registration. Notifications are coalesced.
func (u *upstreamState) notify() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// HandleDeparture implements upstreams.ReportHandler.
func (u *upstreamState) HandleDeparture() { u.withdraw("leave", "upstream left") }

// withdraw withdraws the announcement. Work in progress continues.
func (u *upstreamState) withdraw(event, reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stateMachine.Event(context.Background(), event) != nil {
		return
	}
	u.current.Store(nil)
	u.log.Warn(reason)
	u.notify()
}

// ejectIfCurrent ejects an upstream that refused a connection, unless it has
// announced itself again since.
func (u *upstreamState) ejectIfCurrent(v *upstreamSnapshot) {
	if u.current.Load() == v {
		u.withdraw("eject", "upstream refuses connections")
	}
}

// checkHeartbeat ejects an upstream whose heartbeats have stopped.
func (u *upstreamState) checkHeartbeat() {
	u.mu.Lock()
	silent := u.current.Load() != nil && u.now().Sub(u.lastHeartbeat) > u.heartbeatTimeout
	u.mu.Unlock()
	if silent {
		u.withdraw("eject", "upstream heartbeat stopped")
	}
}

// HandleLoad implements upstreams.ReportHandler.
func (u *upstreamState) HandleLoad(l *upstreams.LoadReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load = *l
	u.loadReceivedAt = u.now()
}

// HandleCacheEvents implements upstreams.ReportHandler.
func (u *upstreamState) HandleCacheEvents(c *upstreams.CacheEvents) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prefixes.apply(c)
}

// notePrefixes records the prefix hashes of a request's prompt.
func (u *upstreamState) notePrefixes(hashes []uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prefixes.noteUsed(hashes)
}

// addEngineLoad fills in the load and the cached prefixes that the engine last
// reported.
func (u *upstreamState) addEngineLoad(r *wirepb.LoadReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Prefixes = u.prefixes.report(maxReportedPrefixes)
	if u.loadReceivedAt.IsZero() {
		return
	}
	r.EngineRunning = u.load.Running
	r.EngineQueued = u.load.Queued
	r.EngineKvFreeTokens = u.load.FreeKVTokens
	r.EngineAgeMs = uint32((u.now().Sub(u.loadReceivedAt) + u.load.Age()) / time.Millisecond)
}
