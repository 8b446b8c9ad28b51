package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// RegistrationLease is how long an upstream stays registered without a
	// heartbeat.
	RegistrationLease = 1500 * time.Millisecond
	// sweepInterval bounds the delay until an expired lease is detected.
	sweepInterval = 100 * time.Millisecond
	// departedRetention is how long the incarnation of a removed upstream is
	// kept, so that its late messages are refused.
	departedRetention = 10 * time.Minute
	// maxRegistryChanges bounds the changes kept for watchers that fall
	// behind.
	maxRegistryChanges   = 32_768
	maxUpstreams         = 50_000
	maxAnnouncementBytes = 64 << 10
)

// States of an upstream.
const (
	stateAnnounced = "announced"
	stateServing   = "serving"
	stateDraining  = "draining"
	stateLeft      = "left"
	stateEjected   = "ejected"
)

// registration is one upstream until it leaves, is replaced or its lease
// expires.
type registration struct {
	host          string
	stream        agentStream
	lastHeartbeat atomic.Int64 // Unix nanoseconds of the last heartbeat
	ended         atomic.Bool

	// Guarded by Registry.mu.
	announcement *wirepb.Announcement
	state        string
}

// agentStream sends orders and errors to the agent of an upstream.
type agentStream interface {
	sendOrder(ctx context.Context, o *wirepb.Order) (*wirepb.OrderResult, error)
	closeWithError(err error)
}

type departedUpstream struct {
	incarnation uint64
	at          time.Time
}

// Registry holds the upstreams that agents keep registered with this replica.
// Its methods take the current time as an argument.
type Registry struct {
	mu            sync.RWMutex
	registrations map[string]*registration
	departed      map[string]departedUpstream
	version       uint64
	changedHosts  []string // hosts of the latest changes; the last one belongs to version
	lastSweep     time.Time
	// lifecycle holds the transitions of the upstream states. All upstreams
	// share one state machine, because one for each takes several kilobytes.
	lifecycle *fsm.FSM
	onChange  func(urgent bool)
}

// NewRegistry returns an empty registry. onChange is called after each change
// and must not block; a change is urgent when an upstream stops accepting
// work.
func NewRegistry(onChange func(urgent bool)) *Registry {
	live := []string{stateAnnounced, stateServing, stateDraining}
	return &Registry{
		registrations: make(map[string]*registration),
		departed:      make(map[string]departedUpstream),
		onChange:      onChange,
		lifecycle: fsm.NewFSM(stateAnnounced, fsm.Events{
			{Name: "serve", Src: live, Dst: stateServing},
			{Name: "drain", Src: live, Dst: stateDraining},
			{Name: "leave", Src: live, Dst: stateLeft},
			{Name: "eject", Src: live, Dst: stateEjected},
		}, nil),
	}
}

// Register adds an upstream. An incarnation below the highest known one is
// refused, also after that one has left or expired. The same incarnation may
// register again: an agent keeps its incarnation across restarts of its engine
// and network failures. A delayed duplicate of a registration is therefore
// accepted and lasts until its lease expires.
func (r *Registry) Register(now time.Time, a *wirepb.Announcement, stream agentStream) (*registration, error) {
	if err := checkAnnouncement(a); err != nil {
		return nil, err
	}
	r.mu.Lock()
	reg, replaced, err := r.add(now, a, stream)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if replaced != nil {
		replaced.stream.closeWithError(fault.New(fault.StaleEpoch, "registration was replaced by a newer one"))
	}
	r.onChange(a.GetState() == stateDraining)
	return reg, nil
}

func (r *Registry) add(now time.Time, a *wirepb.Announcement, stream agentStream) (reg, replaced *registration, err error) {
	if d, ok := r.departed[a.Host]; ok && a.Incarnation < d.incarnation {
		return nil, nil, staleIncarnation(a, d.incarnation, "has left or expired")
	}
	replaced = r.registrations[a.Host]
	if replaced != nil && a.Incarnation < replaced.announcement.Incarnation {
		return nil, nil, staleIncarnation(a, replaced.announcement.Incarnation, "is registered")
	}
	if replaced == nil && len(r.registrations) >= maxUpstreams {
		return nil, nil, fault.New(fault.Overloaded, "%d upstreams are registered, which is the limit", maxUpstreams)
	}
	reg = &registration{host: a.Host, stream: stream, announcement: a, state: stateAnnounced}
	reg.lastHeartbeat.Store(now.UnixNano())
	if err := r.transition(reg, lifecycleEvent(a)); err != nil {
		return nil, nil, err
	}
	if replaced != nil {
		replaced.ended.Store(true)
	}
	r.registrations[a.Host] = reg
	delete(r.departed, a.Host)
	r.recordChange(a.Host)
	return reg, replaced, nil
}

func staleIncarnation(a *wirepb.Announcement, known uint64, what string) error {
	err := fault.New(fault.StaleEpoch, "incarnation %d of %s: incarnation %d %s", a.Incarnation, a.Host, known, what)
	err.Revision = known // for this error, Revision carries the highest known incarnation
	return err.WithField("announcement.incarnation")
}

func checkAnnouncement(a *wirepb.Announcement) error {
	if a.GetHost() == "" {
		return fault.New(fault.Invalid, "host is missing").WithField("announcement.host")
	}
	if a.GetAgentAddress() == "" {
		return fault.New(fault.Invalid, "agent address is missing").WithField("announcement.agent_address")
	}
	if size := proto.Size(a); size > maxAnnouncementBytes {
		return fault.New(fault.Invalid, "announcement has %d bytes; the limit is %d", size, maxAnnouncementBytes).WithField("announcement")
	}
	return nil
}

func lifecycleEvent(a *wirepb.Announcement) string {
	if a.GetState() == stateDraining {
		return "drain"
	}
	return "serve"
}

// transition applies a lifecycle event to one upstream.
func (r *Registry) transition(reg *registration, event string) error {
	r.lifecycle.SetState(reg.state)
	err := r.lifecycle.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return fault.Wrap(err, fault.Conflict, "upstream %s is %s", reg.host, reg.state)
	}
	reg.state = r.lifecycle.Current()
	return nil
}

// Heartbeat renews the lease. The announcement is nil when it did not change.
func (r *Registry) Heartbeat(now time.Time, reg *registration, a *wirepb.Announcement) error {
	if reg.ended.Load() {
		return fault.New(fault.StaleEpoch, "registration of %s has ended", reg.host).WithField("announcement.incarnation")
	}
	if a == nil {
		reg.lastHeartbeat.Store(now.UnixNano())
		return nil
	}
	if err := checkAnnouncement(a); err != nil {
		return err
	}
	if err := r.update(now, reg, a); err != nil {
		return err
	}
	r.onChange(a.GetState() == stateDraining)
	return nil
}

func (r *Registry) update(now time.Time, reg *registration, a *wirepb.Announcement) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reg.ended.Load() {
		return staleIncarnation(a, reg.announcement.Incarnation, "has ended")
	}
	if a.Host != reg.host || a.Incarnation < reg.announcement.Incarnation {
		return staleIncarnation(a, reg.announcement.Incarnation, "is registered on this stream")
	}
	if err := r.transition(reg, lifecycleEvent(a)); err != nil {
		return err
	}
	reg.lastHeartbeat.Store(now.UnixNano())
	reg.announcement = a
	r.recordChange(reg.host)
	return nil
}

// Deregister removes an upstream that accepts no more work.
func (r *Registry) Deregister(now time.Time, reg *registration) {
	r.mu.Lock()
	removed := r.remove(now, reg, "leave")
	r.mu.Unlock()
	if removed {
		r.onChange(true)
	}
}

// remove ends a registration and keeps its incarnation for departedRetention.
// The caller holds mu.
func (r *Registry) remove(now time.Time, reg *registration, event string) bool {
	if reg.ended.Load() || r.registrations[reg.host] != reg {
		return false
	}
	if r.transition(reg, event) != nil {
		return false
	}
	reg.ended.Store(true)
	delete(r.registrations, reg.host)
	r.departed[reg.host] = departedUpstream{incarnation: reg.announcement.Incarnation, at: now}
	r.recordChange(reg.host)
	return true
}

// Sweep removes upstreams whose lease has expired and returns them. After a
// pause of this process it extends all leases by the length of the pause.
func (r *Registry) Sweep(now time.Time) []*registration {
	r.mu.Lock()
	if !r.lastSweep.IsZero() && now.Sub(r.lastSweep) > RegistrationLease/2 {
		r.extendLeases(now, now.Sub(r.lastSweep))
	}
	r.lastSweep = now
	expired := r.removeExpired(now)
	r.pruneDeparted(now)
	r.mu.Unlock()
	if len(expired) > 0 {
		r.onChange(true)
	}
	return expired
}

func (r *Registry) extendLeases(now time.Time, pause time.Duration) {
	for _, reg := range r.registrations {
		seen := reg.lastHeartbeat.Load()
		reg.lastHeartbeat.CompareAndSwap(seen, max(seen, min(seen+int64(pause), now.UnixNano())))
	}
}

func (r *Registry) removeExpired(now time.Time) []*registration {
	var expired []*registration
	limit := now.Add(-RegistrationLease).UnixNano()
	for _, reg := range r.registrations {
		if reg.lastHeartbeat.Load() <= limit && r.remove(now, reg, "eject") {
			expired = append(expired, reg)
		}
	}
	return expired
}

func (r *Registry) pruneDeparted(now time.Time) {
	for host, d := range r.departed {
		if now.Sub(d.at) > departedRetention {
			delete(r.departed, host)
		}
	}
}

// recordChange records that the upstream on the host changed. The caller holds
// mu.
func (r *Registry) recordChange(host string) {
	r.version++
	r.changedHosts = append(r.changedHosts, host)
	if len(r.changedHosts) > maxRegistryChanges {
		r.changedHosts = slices.Clone(r.changedHosts[maxRegistryChanges/2:])
	}
}
