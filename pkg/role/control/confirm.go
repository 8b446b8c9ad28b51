package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// signal wakes all goroutines that wait for a change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// progressed tells the others soon that watchers of this replica advanced.
func (c *Control) progressed() {
	select {
	case c.report <- struct{}{}:
	default:
	}
}

// reportLoop sends the state of the local watchers to the other replicas, at
// intervals and soon after progress.
func (c *Control) reportLoop() {
	ticker := time.NewTicker(peerStatusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.report:
		case <-ticker.C:
		}
		c.sendReport()
		if !delay.Wait(c.ctx, peerStatusMinGap) {
			return
		}
	}
}

func (c *Control) sendReport() {
	status := c.watchers.progress(c.machine.Revision())
	status.From = c.opts.ID
	status.TimeUnixMs = c.opts.Now().UnixMilli()
	status.Entries = c.watchers.entries()
	c.peers.sawEntries(c.opts.Now(), status.Entries)
	c.transport.Broadcast(&wirepb.Frame{Body: &wirepb.Frame_PeerStatus{PeerStatus: status}})
	c.advanced.raise()
}

// confirm waits until every watcher of every reporting replica has confirmed
// the revision, or until the limit.
func (c *Control) confirm(ctx context.Context, revision uint64, limit time.Duration) *operators.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := c.opts.Now()
	for {
		next := c.advanced.next()
		result := c.confirmation(revision)
		result.ElapsedMS = uint64(c.opts.Now().Sub(started) / time.Millisecond)
		if result.Confirmed || ctx.Err() != nil {
			return result
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
}

// confirmation joins the progress of all replicas. A replica that reports but
// has not applied the revision counts as lagging itself. Replicas outside the
// set of voters serve nobody.
func (c *Control) confirmation(revision uint64) *operators.Confirmation {
	reports := c.peers.fresh(c.opts.Now())
	reports[c.opts.ID] = c.watchers.progress(c.machine.Revision())
	voters := c.node.Status().Voters
	out := &operators.Confirmation{Confirmed: true}
	for _, v := range voters {
		id := v.GetId()
		r := reports[id]
		if r == nil {
			out.SilentReplicas = append(out.SilentReplicas, id)
			continue
		}
		if v.GetLearner() && r.GetWatchers() == 0 {
			continue // still catching up
		}
		out.Watchers += int(r.GetWatchers())
		if r.GetConfirmedRevision() >= revision {
			continue
		}
		out.Confirmed = false
		out.LaggingTotal += max(1, int(r.GetLaggingTotal()))
		if r.GetLaggingTotal() == 0 {
			out.LaggingHosts = append(out.LaggingHosts, replicaName(id))
		}
		out.LaggingHosts = append(out.LaggingHosts, r.GetLagging()...)
	}
	slices.Sort(out.LaggingHosts)
	out.LaggingHosts = out.LaggingHosts[:min(len(out.LaggingHosts), maxLaggingListed)]
	return out
}
