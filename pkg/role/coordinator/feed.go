package coordinator

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// updateInterval is the longest time between two updates to a watcher. Several fit in the
	// time after which a watcher gives up.
	updateInterval = 200 * time.Millisecond
	updateTimeout  = time.Second
)

// watchers counts the open watches and notifies them of changes.
type watchers struct {
	mu           sync.Mutex
	changed      chan struct{}
	urgent       chan struct{}
	gateways     int
	coordinators int
}

func (w *watchers) init() { w.changed, w.urgent = make(chan struct{}), make(chan struct{}) }

// signalChange wakes all goroutines that wait for the first channel of nextChange.
func (w *watchers) signalChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// signalUrgent is signalChange for a change that is sent without minUpdateSpacing: streams
// pause until gateways know that an engine of their path is lost.
func (w *watchers) signalUrgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	close(w.urgent)
	w.changed, w.urgent = make(chan struct{}), make(chan struct{})
}

// nextChange returns a channel that the next change closes, and one that the next urgent
// change closes as well.
func (w *watchers) nextChange() (changed, urgent <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed, w.urgent
}

// add adds n to the number of open watches of coordinators or of gateways. n is
// negative when a watch ends.
func (w *watchers) add(replica bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if replica {
		w.coordinators += n
	} else {
		w.gateways += n
	}
}

// gatewayCount returns the number of gateways that watch.
func (w *watchers) gatewayCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gateways
}

func (w *watchers) watcherCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gateways + w.coordinators
}

// serveWatch sends updates to a watcher for as long as this replica leads.
func (c *Coordinator) serveWatch(s *wire.Stream, peer link.Identity, w *wirepb.FleetWatch) {
	c.watchers.add(w.GetReplica(), 1)
	defer c.watchers.add(w.GetReplica(), -1)
	err := c.sendUpdates(s, w)
	c.log.Debug("Watch ended.", logs.Str("watcher", peer.Host), logs.Err(err))
	_ = s.SetDeadline(time.Now().Add(updateTimeout))
	_ = s.WriteError(err)
}

// minUpdateSpacing is the time from a change to the update that contains it, so that
// several changes share one update.
const minUpdateSpacing = 40 * time.Millisecond

// urgentUpdateSpacing replaces minUpdateSpacing for an urgent change. The polls of the engines
// of one lost host end within a few milliseconds, and each update is collected by the owner
// once for each watcher.
const urgentUpdateSpacing = 4 * time.Millisecond

const (
	// maxLoadBytesPerSecond bounds the rate at which the loads of engines, which are their
	// utilisation as last reported, are sent to all watchers together. Small hosts have links
	// of little more, and configuration changes share the link.
	maxLoadBytesPerSecond = 1_200_000
	// instanceUpdateBytes is the usual size of an instance in an update.
	instanceUpdateBytes = 114
	// maxLoadDelay bounds the age of the loads that gateways know. Between updates, gateways
	// count the requests that they send themselves.
	maxLoadDelay = 5 * time.Second
)

// loadInterval returns the least time between two updates with loads at which the traffic
// stays below maxLoadBytesPerSecond. It is at most maxLoadDelay, so that very large fleets
// exceed the rate. It is zero where it would not exceed pollInterval: loads are then sent
// as they change, because gateways select better with newer ones.
func loadInterval(engines, watchers int) time.Duration {
	bytesPerUpdate := float64(engines) * instanceUpdateBytes * float64(watchers)
	interval := time.Duration(bytesPerUpdate / maxLoadBytesPerSecond * float64(time.Second))
	if interval <= pollInterval {
		return 0
	}
	return min(interval, maxLoadDelay)
}

// loadInterval returns the interval for the current fleet. It runs on the owner.
func (c *Coordinator) loadInterval() time.Duration {
	return loadInterval(len(c.polls), c.watchers.watcherCount())
}

const (
	// maxInstancesPerUpdate bounds an update to about 15 kB, so that it arrives before the
	// watcher gives up even when many are sent at once.
	maxInstancesPerUpdate = 128
	// maxConcurrentTransfers bounds the watchers that are sent a registry of more than one
	// update at the same time. The others get the configuration and wait: after a change of
	// the leader all watchers connect anew, and transfers to all of them would occupy the link
	// for longer than a watcher waits for an update.
	maxConcurrentTransfers = 8
)

// watcherState is what a watcher has been sent.
type watcherState struct {
	firstUpdate  bool // no update has been sent yet
	version      uint64
	revision     uint64
	loadRevision uint64
	loadsSentAt  time.Time
	// needsTransfer is set from when the whole registry, which takes several updates, is to be
	// sent until all of it has been sent. transferring is set while the watcher holds one of
	// the transfer slots.
	needsTransfer, transferring bool
	// sentWhileTakingOver is set from when all known instances were sent until takeOverTime has
	// passed, when the watcher is told to drop the others.
	sentWhileTakingOver bool
	promptRevision      uint64
	// pending holds the instances of a transfer that are not sent yet. Later changes follow
	// after them.
	pending []*wirepb.Instance
}

// sendUpdates sends updates until the watch fails, and returns the cause.
func (c *Coordinator) sendUpdates(s *wire.Stream, w *wirepb.FleetWatch) error {
	state := watcherState{firstUpdate: true, version: w.GetVersion()}
	defer func() {
		if state.transferring {
			<-c.transferSlots
		}
	}()
	for {
		changed, urgent := c.watchers.nextChange()
		update, err := c.nextUpdate(w, &state)
		if err != nil {
			return err
		}
		_ = s.SetDeadline(time.Now().Add(updateTimeout))
		if err := c.writeUpdate(s, update); err != nil {
			return err
		}
		if state.transferring && state.pending == nil {
			<-c.transferSlots
			state.transferring, state.needsTransfer = false, false
		}
		if state.pending != nil || state.needsTransfer && c.beginTransfer(&state) {
			continue
		}
		if !c.waitForChange(changed, urgent) {
			return fault.New(fault.Draining, "coordinator is shutting down")
		}
	}
}

// writeUpdate sends an update. An instance that cannot be encoded does not keep the others
// from being sent.
func (c *Coordinator) writeUpdate(s *wire.Stream, u *wirepb.FleetUpdate) error {
	frame := &wirepb.Frame{Body: &wirepb.Frame_FleetUpdate{FleetUpdate: u}}
	err := s.Write(frame)
	if !fault.Is(err, fault.Protocol) {
		return err
	}
	complete := len(u.Instances)
	u.Instances = slices.DeleteFunc(slices.Clone(u.Instances), func(in *wirepb.Instance) bool {
		_, e := proto.Marshal(in)
		if e != nil {
			c.metrics.droppedInstances.Inc()
			c.log.Warn("Instance not sent to watchers.", logs.Str("instance", strconv.Quote(in.GetId())), logs.Err(e))
		}
		return e != nil
	})
	if len(u.Instances) == complete {
		return err
	}
	return s.Write(frame)
}

// mergeInstances records the instances that a watcher knew. It runs on the owner.
func (c *Coordinator) mergeInstances(now time.Time, instances []*wirepb.Instance, from string) {
	if err := c.registry.Merge(now, instances); err != nil {
		c.metrics.refusedInstances.Inc()
		c.log.Warn("Instance of a watcher refused.", logs.Str("watcher", from), logs.Err(err))
	}
}

func (c *Coordinator) beginTransfer(state *watcherState) bool {
	select {
	case c.transferSlots <- struct{}{}:
		state.transferring = true
	default:
	}
	return state.transferring
}

// waitForChange waits until the next update is due. It returns false when the coordinator
// shuts down.
func (c *Coordinator) waitForChange(changed, urgent <-chan struct{}) bool {
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-changed:
	}
	timer.Reset(minUpdateSpacing)
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-urgent:
	}
	timer.Reset(urgentUpdateSpacing)
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextUpdate returns an update with what the watcher has not been sent yet.
func (c *Coordinator) nextUpdate(w *wirepb.FleetWatch, state *watcherState) (*wirepb.FleetUpdate, error) {
	ctx, cancel := context.WithTimeout(c.ctx, updateTimeout)
	defer cancel()
	u := &wirepb.FleetUpdate{Entries: uint32(c.watchers.gatewayCount())}
	err := c.runOnOwnerIfLeader(ctx, func() {
		now := time.Now()
		if state.firstUpdate && now.Sub(c.leaderSince) < takeOverTime {
			c.mergeInstances(now, w.GetInstances(), w.GetHost())
			c.registry.RecordLeft(now, w.GetLeft())
			c.prompts.Merge(coordinators.DecodeQuarantines(now, w.GetQuarantines()))
		}
		c.collectUpdate(now, u, state)
		c.collectPromptParts(now, u, state)
	})
	if err != nil {
		return nil, err
	}
	status := c.node.Status()
	u.Term = status.Term
	for _, v := range status.Voters {
		u.Control = append(u.Control, v.GetPeerAddress())
	}
	current, compressed := c.stateMachine.current()
	u.Version = current
	if current > state.version {
		u.Document = compressed
	}
	state.version, state.firstUpdate = max(state.version, current), false
	return u, nil
}

// collectUpdate adds the instances that the watcher has not been sent yet. It runs on the
// owner.
func (c *Coordinator) collectUpdate(now time.Time, u *wirepb.FleetUpdate, state *watcherState) {
	if state.pending == nil {
		c.collectChanges(now, u, state)
		if u.Full && len(u.Instances) > maxInstancesPerUpdate {
			if !state.transferring {
				u.Full, u.Instances, u.Removed = false, nil, nil
				state.needsTransfer, state.revision = true, 0
				return
			}
			state.pending = u.Instances
		}
	}
	if state.pending != nil {
		n := min(maxInstancesPerUpdate, len(state.pending))
		u.Instances, state.pending = state.pending[:n], state.pending[n:]
		if u.Full = len(state.pending) == 0; u.Full {
			state.pending = nil
		}
	}
	switch {
	case now.Sub(c.leaderSince) < takeOverTime:
		// Instances that have not announced themselves to this leader yet may still exist.
		state.sentWhileTakingOver = state.sentWhileTakingOver || u.Full
		u.Full = false
	case state.sentWhileTakingOver && state.pending == nil:
		u.Full, state.sentWhileTakingOver = true, false
	}
}

func (c *Coordinator) collectChanges(now time.Time, u *wirepb.FleetUpdate, state *watcherState) {
	loadRevision := uint64(registry.SkipLoads)
	if now.Sub(state.loadsSentAt) >= c.loadInterval() {
		loadRevision = state.loadRevision
	}
	u.Full, u.Instances, u.Removed = c.registry.ChangesSince(state.revision, loadRevision)
	state.revision = c.registry.Revision()
	if u.Full || loadRevision != registry.SkipLoads {
		state.loadRevision, state.loadsSentAt = c.registry.LoadRevision(), now
	}
}

// takeOverTime is the time in which a new leader learns of all instances, from its
// watchers and from the instances themselves.
const takeOverTime = 3 * time.Second
