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

// changeSignal wakes all goroutines that wait for a change. The channel
// returned by next is closed by the following broadcast.
type changeSignal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newChangeSignal() *changeSignal { return &changeSignal{ch: make(chan struct{})} }

func (s *changeSignal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

func (s *changeSignal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// requestStatusReport requests a status report to the other replicas after
// progress of a local watcher. It does not block.
func (c *Control) requestStatusReport() {
	select {
	case c.reportRequests <- struct{}{}:
	default:
	}
}

// statusReportLoop sends the status of the local watchers to the other
// replicas at each interval and on request, with at least
// peerStatusMinInterval between two reports.
func (c *Control) statusReportLoop() {
	ticker := time.NewTicker(peerStatusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.reportRequests:
		case <-ticker.C:
		}
		c.sendStatusReport()
		if !delay.Wait(c.ctx, peerStatusMinInterval) {
			return
		}
	}
}

func (c *Control) sendStatusReport() {
	status := c.watchers.progress(c.machine.Revision())
	status.From = c.opts.ID
	status.TimeUnixMs = c.opts.Now().UnixMilli()
	status.Entries = c.watchers.entries()
	c.peers.recordEntries(c.opts.Now(), status.Entries)
	c.transport.Broadcast(&wirepb.Frame{Body: &wirepb.Frame_PeerStatus{PeerStatus: status}})
	c.progressChanged.broadcast()
}

// awaitConfirmation waits until all watchers of all reporting replicas have
// confirmed the revision, or the limit has passed, and returns the last
// result.
func (c *Control) awaitConfirmation(ctx context.Context, revision uint64, limit time.Duration) *operators.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := c.opts.Now()
	for {
		next := c.progressChanged.next()
		result := c.confirmation(revision)
		result.ElapsedMs = uint64(c.opts.Now().Sub(started) / time.Millisecond)
		if result.Confirmed || ctx.Err() != nil {
			return result
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
}

// confirmation combines the status reports of all voters and learners; only
// these serve watchers. A replica without a valid report is listed as silent. A
// replica that has not applied the revision, but reports no lagging watcher, is
// itself listed as lagging. Learners without watchers are skipped.
func (c *Control) confirmation(revision uint64) *operators.Confirmation {
	reports := c.peers.currentReports(c.opts.Now())
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
			continue // a learner without watchers is still catching up
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
