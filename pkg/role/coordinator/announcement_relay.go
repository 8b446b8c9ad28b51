package coordinator

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// announcementRelay answers announcements that repeat what the leader already knows, so
// that the load of the leader does not grow with every announcement of every instance. The
// leader is sent the ids of the instances that announced themselves, several in one message.
type announcementRelay struct {
	mu sync.Mutex
	// acceptedByLeader holds, by instance id, the announcements that the leader has accepted
	// from this process.
	acceptedByLeader map[string]*wirepb.Instance
	// unreportedInstances holds the ids, start times and sequence numbers of the instances
	// whose repeated announcements the leader has not been sent yet.
	unreportedInstances map[string]*wirepb.Instance
	// lastReply is when the leader last answered.
	lastReply time.Time
	// replyMaxAge is how long after its last answer the leader is taken to be reachable.
	replyMaxAge time.Duration
}

func newAnnouncementRelay(replyMaxAge time.Duration) *announcementRelay {
	return &announcementRelay{acceptedByLeader: make(map[string]*wirepb.Instance), unreportedInstances: make(map[string]*wirepb.Instance), replyMaxAge: replyMaxAge}
}

// recordRepeat reports whether an announcement repeats one that the leader has accepted,
// and if so records the instance for the next message to the leader. It returns false while
// the leader does not answer.
func (r *announcementRelay) recordRepeat(now time.Time, in *wirepb.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted := r.acceptedByLeader[in.GetId()]
	if accepted == nil || now.Sub(r.lastReply) > r.replyMaxAge || in.GetSequence() <= accepted.GetSequence() {
		return false
	}
	next := proto.CloneOf(in)
	next.Sequence = accepted.GetSequence()
	if !proto.Equal(accepted, next) {
		return false
	}
	accepted.Sequence = in.GetSequence()
	r.unreportedInstances[in.GetId()] = &wirepb.Instance{Id: in.GetId(), BornUnixMs: in.GetBornUnixMs(), Sequence: in.GetSequence()}
	return true
}

// recordAccepted records an announcement that the leader has accepted.
func (r *announcementRelay) recordAccepted(now time.Time, in *wirepb.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply = now
	if in.GetLeft() {
		delete(r.acceptedByLeader, in.GetId())
		return
	}
	r.acceptedByLeader[in.GetId()] = proto.CloneOf(in)
}

// takeUnreported returns the instances to report to the leader and removes them.
func (r *announcementRelay) takeUnreported() []*wirepb.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*wirepb.Instance, 0, len(r.unreportedInstances))
	for _, in := range r.unreportedInstances {
		out = append(out, in)
	}
	clear(r.unreportedInstances)
	return out
}

// recordReply records an answer of the leader. Instances that it does not know are
// announced in full the next time.
func (r *announcementRelay) recordReply(now time.Time, unknown []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply = now
	for _, id := range unknown {
		delete(r.acceptedByLeader, id)
	}
}

// forgetAll drops all state, because a new leader may not know what the previous one did.
func (r *announcementRelay) forgetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.acceptedByLeader)
	clear(r.unreportedInstances)
}

// relaysPerAnnouncement is the number of messages to the leader in one announcement
// interval.
const relaysPerAnnouncement = 3

// relayLoop periodically sends the leader the instances whose announcements were answered
// here.
func (c *Coordinator) relayLoop() {
	leader := ""
	for delay.Wait(c.ctx, c.opts.AnnouncementInterval/relaysPerAnnouncement) {
		current := c.leaderPeerAddress()
		if current != leader || c.IsLeader() {
			c.relay.forgetAll()
			leader = current
		}
		unreported := c.relay.takeUnreported()
		if leader == "" || len(unreported) == 0 {
			continue
		}
		unknown, err := c.sendUnreported(leader, unreported)
		if err != nil {
			c.log.Info("Leader not told of announcements.", logs.Int("instances", len(unreported)), logs.Err(err))
			c.relay.forgetAll() // all instances are announced in full again
			continue
		}
		c.relay.recordReply(time.Now(), unknown)
	}
}

func (c *Coordinator) sendUnreported(leader string, unreported []*wirepb.Instance) (unknown []string, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	frame := &wirepb.Frame{Body: &wirepb.Frame_FleetUpdate{FleetUpdate: &wirepb.FleetUpdate{Instances: unreported}}}
	reply, err := c.pool.Exchange(ctx, leader, frame)
	if err != nil {
		return nil, err
	}
	return reply.GetFleetUpdate().GetRemoved(), nil
}

// serveRefresh renews the lifetimes of the instances that announced themselves to another
// coordinator, and answers with the ids that are not known.
func (c *Coordinator) serveRefresh(s *wire.Stream, u *wirepb.FleetUpdate) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	var unknown []string
	err := c.runOnOwnerIfLeader(ctx, func() {
		now := time.Now()
		for _, in := range u.GetInstances() {
			if !c.registry.Refresh(now, in.GetId(), in.GetBornUnixMs(), in.GetSequence()) {
				unknown = append(unknown, in.GetId())
			}
		}
	})
	if err != nil {
		_ = s.WriteError(err)
		return
	}
	_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_FleetUpdate{FleetUpdate: &wirepb.FleetUpdate{Removed: unknown}}})
}
