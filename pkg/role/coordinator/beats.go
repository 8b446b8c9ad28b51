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

// beatRelay answers announcements that repeat what the leader knows already, so that
// the leader's work does not grow with every announcement of every instance. The
// leader gets the ids of those that were heard, several in one message.
type beatRelay struct {
	mu sync.Mutex
	// known are the announcements that the leader has taken from this process.
	known map[string]*wirepb.Instance
	// heard are ids, starts and sequences since the last message.
	heard map[string]*wirepb.Instance
	// confirmed is when the leader last answered.
	confirmed time.Time
	// fresh is the time for which an answer of the leader counts.
	fresh time.Duration
}

func newBeatRelay(fresh time.Duration) *beatRelay {
	return &beatRelay{known: make(map[string]*wirepb.Instance), heard: make(map[string]*wirepb.Instance), fresh: fresh}
}

// repeats notes an announcement that repeats one which the leader has taken, and
// reports whether it does. While the leader does not answer nothing does.
func (b *beatRelay) repeats(now time.Time, in *wirepb.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known[in.GetId()]
	if known == nil || now.Sub(b.confirmed) > b.fresh || in.GetSequence() <= known.GetSequence() {
		return false
	}
	next := proto.CloneOf(in)
	next.Sequence = known.GetSequence()
	if !proto.Equal(known, next) {
		return false
	}
	known.Sequence = in.GetSequence()
	b.heard[in.GetId()] = &wirepb.Instance{Id: in.GetId(), BornUnixMs: in.GetBornUnixMs(), Sequence: in.GetSequence()}
	return true
}

// taken notes an announcement that the leader has taken.
func (b *beatRelay) taken(now time.Time, in *wirepb.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed = now
	if in.GetLeft() {
		delete(b.known, in.GetId())
		return
	}
	b.known[in.GetId()] = proto.CloneOf(in)
}

// take returns what was heard since the last call.
func (b *beatRelay) take() []*wirepb.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*wirepb.Instance, 0, len(b.heard))
	for _, in := range b.heard {
		out = append(out, in)
	}
	clear(b.heard)
	return out
}

// answered takes the leader's answer: the ids that it does not know are announced in
// full the next time.
func (b *beatRelay) answered(now time.Time, unknown []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed = now
	for _, id := range unknown {
		delete(b.known, id)
	}
}

// forget drops everything: another process leads, which may know less.
func (b *beatRelay) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.known)
	clear(b.heard)
}

// relaysPerBeat is the number of messages to the leader in the usual time between two
// announcements of an instance.
const relaysPerBeat = 3

// relayLoop tells the leader which instances were heard.
func (c *Coordinator) relayLoop() {
	leader := ""
	for delay.Wait(c.ctx, c.opts.BeatInterval/relaysPerBeat) {
		current := c.leaderPeer()
		if current != leader || c.Leads() {
			c.relay.forget()
			leader = current
		}
		heard := c.relay.take()
		if leader == "" || len(heard) == 0 {
			continue
		}
		unknown, err := c.tellHeard(leader, heard)
		if err != nil {
			c.log.Info("Leader not told of announcements.", logs.Int("instances", len(heard)), logs.Err(err))
			c.relay.forget() // all are announced in full again
			continue
		}
		c.relay.answered(time.Now(), unknown)
	}
}

func (c *Coordinator) tellHeard(leader string, heard []*wirepb.Instance) (unknown []string, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	frame := &wirepb.Frame{Body: &wirepb.Frame_FleetUpdate{FleetUpdate: &wirepb.FleetUpdate{Instances: heard}}}
	reply, err := c.pool.Exchange(ctx, leader, frame)
	if err != nil {
		return nil, err
	}
	return reply.GetFleetUpdate().GetRemoved(), nil
}

// serveHeard takes the ids of instances that another replica heard, and answers with
// those that are not known.
func (c *Coordinator) serveHeard(s *wire.Stream, u *wirepb.FleetUpdate) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	var unknown []string
	err := c.callLeading(ctx, func() {
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
