package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// updateInterval is the longest time between two updates to a watcher,
	// several to the time after which it gives up.
	updateInterval = 200 * time.Millisecond
	updateTimeout  = time.Second
)

// watchers wakes the streams to the entries.
type watchers struct {
	mu       sync.Mutex
	changed  chan struct{}
	entries  int
	replicas int
}

func (w *watchers) init() { w.changed = make(chan struct{}) }

func (w *watchers) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watchers) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// add counts watchers that come, or go with a negative n.
func (w *watchers) add(replica bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if replica {
		w.replicas += n
	} else {
		w.entries += n
	}
}

// count returns the number of entries that watch.
func (w *watchers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries
}

func (w *watchers) all() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries + w.replicas
}

// serveWatch sends updates for as long as this replica leads.
func (c *Coordinator) serveWatch(s *wire.Stream, peer link.Identity, w *wirepb.FleetWatch) {
	c.watchers.add(w.GetReplica(), 1)
	defer c.watchers.add(w.GetReplica(), -1)
	err := c.feed(s, w)
	c.log.Debug("Watch ended.", logs.Str("watcher", peer.Host), logs.Err(err))
	_ = s.SetDeadline(time.Now().Add(updateTimeout))
	_ = s.WriteError(err)
}

// spacing keeps a burst of changes from becoming as many updates.
const spacing = 40 * time.Millisecond

const (
	// feedRate is the most at which loads of engines are sent to all watchers together,
	// in bytes a second. Small hosts have links of little more, and changes of the
	// configuration have to pass beside the loads.
	feedRate = 1_200_000
	// loadBytes is the usual size of an instance in an update.
	loadBytes = 114
	// slowestLoads bounds the age of loads; entries count what they send themselves.
	slowestLoads = 5 * time.Second
)

// loadInterval is the least time between two updates with loads, so that the feed keeps
// to its rate however many engines and watchers there are. It is zero where loads may
// go out as they change: entries place better the newer they are.
func loadInterval(engines, watchers int) time.Duration {
	round := float64(engines) * loadBytes * float64(watchers)
	interval := time.Duration(round / feedRate * float64(time.Second))
	if interval <= pollInterval {
		return 0
	}
	return min(interval, slowestLoads)
}

// loadInterval runs on the owner.
func (c *Coordinator) loadInterval() time.Duration {
	return loadInterval(len(c.polls), c.watchers.all())
}

const (
	// chunkInstances bounds an update, about 15 kB, so that it arrives within the time
	// after which a watcher gives up, also where many are sent at once.
	chunkInstances = 128
	// maxTransfers bounds the watchers that are sent more than one such chunk at once.
	// The others get the configuration and wait: after a change of the leader all
	// watch anew, and together they would fill the link for longer than they wait.
	maxTransfers = 8
)

// watchState is what a watcher has been sent.
type watchState struct {
	first    bool
	version  uint64
	revision uint64
	loads    uint64
	loadsAt  time.Time
	// waiting is set while the watcher lacks all instances and there are too many for
	// one update; transfer, while it counts among those that are sent them.
	waiting, transfer bool
	// pending is the rest of a transfer. Changes follow after it.
	pending []*wirepb.Instance
}

// feed sends updates until the watch fails, and returns why.
func (c *Coordinator) feed(s *wire.Stream, w *wirepb.FleetWatch) error {
	state := watchState{first: true, version: w.GetVersion()}
	defer func() {
		if state.transfer {
			<-c.transfers
		}
	}()
	for {
		wake := c.watchers.wait()
		update, err := c.nextUpdate(w, &state)
		if err != nil {
			return err
		}
		_ = s.SetDeadline(time.Now().Add(updateTimeout))
		if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_FleetUpdate{FleetUpdate: update}}); err != nil {
			return err
		}
		if state.transfer && state.pending == nil {
			<-c.transfers
			state.transfer, state.waiting = false, false
		}
		if state.pending != nil || state.waiting && c.beginTransfer(&state) {
			continue
		}
		if !c.pause(wake) {
			return fault.New(fault.Draining, "coordinator stops")
		}
	}
}

func (c *Coordinator) beginTransfer(state *watchState) bool {
	select {
	case c.transfers <- struct{}{}:
		state.transfer = true
	default:
	}
	return state.transfer
}

// pause waits until there is something to send. It returns false at the end of
// the process.
func (c *Coordinator) pause(wake <-chan struct{}) bool {
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
	}
	timer.Reset(spacing)
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextUpdate collects what a watcher lacks.
func (c *Coordinator) nextUpdate(w *wirepb.FleetWatch, state *watchState) (*wirepb.FleetUpdate, error) {
	ctx, cancel := context.WithTimeout(c.ctx, updateTimeout)
	defer cancel()
	u := &wirepb.FleetUpdate{Entries: uint32(c.watchers.count())}
	err := c.callLeading(ctx, func() {
		now := time.Now()
		if state.first && now.Sub(c.ledSince) < takeOverTime {
			c.registry.Merge(now, w.GetInstances())
		}
		c.collect(now, u, state)
	})
	if err != nil {
		return nil, err
	}
	status := c.node.Status()
	u.Term = status.Term
	for _, v := range status.Voters {
		u.Control = append(u.Control, v.GetPeerAddress())
	}
	current, packed := c.machine.current()
	u.Version = current
	if current > state.version {
		u.Document = packed
	}
	state.version, state.first = max(state.version, current), false
	return u, nil
}

// collect runs on the owner.
func (c *Coordinator) collect(now time.Time, u *wirepb.FleetUpdate, state *watchState) {
	if state.pending == nil {
		c.collectChanges(now, u, state)
		if u.Full && len(u.Instances) > chunkInstances {
			if !state.transfer {
				u.Full, u.Instances, u.Removed = false, nil, nil
				state.waiting, state.revision = true, 0
				return
			}
			state.pending = u.Instances
		}
	}
	if state.pending != nil {
		n := min(chunkInstances, len(state.pending))
		u.Instances, state.pending = state.pending[:n], state.pending[n:]
		if u.Full = len(state.pending) == 0; u.Full {
			state.pending = nil
		}
	}
	if now.Sub(c.ledSince) < takeOverTime {
		u.Full = false // what was not announced again yet is not gone
	}
}

func (c *Coordinator) collectChanges(now time.Time, u *wirepb.FleetUpdate, state *watchState) {
	loads := uint64(registry.SkipLoads)
	if now.Sub(state.loadsAt) >= c.loadInterval() {
		loads = state.loads
	}
	u.Full, u.Instances, u.Removed = c.registry.ChangesSince(state.revision, loads)
	state.revision = c.registry.Revision()
	if u.Full || loads != registry.SkipLoads {
		state.loads, state.loadsAt = c.registry.LoadRevision(), now
	}
}

// takeOverTime is the time in which a new leader hears of all instances from
// its watchers and from the instances themselves.
const takeOverTime = 3 * time.Second
