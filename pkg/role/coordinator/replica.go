package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replica"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// changeTimeout covers the transfer of a snapshot.
	changeTimeout = 10 * time.Second
	// snapshotEntries keeps the log within a small disk: an entry holds a whole
	// compressed configuration.
	snapshotEntries = 200
	segmentSize     = 4 << 20
)

// openReplica continues from the disk, founds a cluster with the other
// founders, or waits to be added to one.
func (c *Coordinator) openReplica() error {
	o := c.opts
	if o.Dir == "" {
		c.log.Info("Without a disk: forwards to the leader and never votes.")
		return nil
	}
	id, exists, err := replica.StoredID(o.Dir)
	if err != nil {
		return err
	}
	own := founderAt(o.InitialVoters, o.Self.GetPeerAddress())
	founder := o.Bootstrap && own != nil
	switch {
	case exists:
		o.Self.Id = id
	case founder:
		o.Self.Id = own.GetId()
	default:
		if o.Self.Id, err = newID(); err != nil {
			return err
		}
	}
	c.transport = replicalink.NewTransport(o.Self.GetId(), nil, c.pool, o.Log.Part("transport"))
	c.transport.Dropped = c.metrics.dropped.Inc
	options := replica.Options{
		ID: o.Self.GetId(), Dir: o.Dir, Join: !exists && !founder,
		StateMachine: c.machine, Transport: c.transport, Log: o.Log,
		ElectionTimeout: o.ElectionTimeout, Heartbeat: o.Heartbeat,
		SnapshotEntries: snapshotEntries, SegmentSize: segmentSize, TrailingEntries: snapshotEntries,
		MaxProposalBytes: maxPacked,
	}
	if founder {
		options.Bootstrap = o.InitialVoters
	}
	node, err := replica.Open(options)
	if err != nil {
		return err
	}
	c.node = node
	c.transport.SetLeaderTerm(func() (uint64, bool) {
		s := node.Status()
		return s.Term, s.Leader == s.ID
	})
	c.log.Info("Replica opened.", logs.Uint("id", o.Self.GetId()), logs.Int("founder", bit(founder)), logs.Int("from_disk", bit(exists)))
	return nil
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// founderAt returns the founder with an address, or nil.
func founderAt(founders []*wirepb.Voter, address string) *wirepb.Voter {
	for _, v := range founders {
		if v.GetPeerAddress() == address {
			return v
		}
	}
	return nil
}

// newID returns an id that was never used before. The upper bit keeps it apart
// from the ids of founders.
func newID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fault.Wrap(err, fault.Internal, "draw a replica id")
	}
	return binary.BigEndian.Uint64(b[:]) | 1<<63, nil
}

// joinLoop asks to be added while this replica is no voter, and makes itself known
// to the seeds while it is one.
func (c *Coordinator) joinLoop() {
	if c.node == nil {
		return
	}
	for delay.Wait(c.ctx, joinInterval) {
		s := c.node.Status()
		if s.Forming || s.Failed != nil {
			continue
		}
		if votes(s.Voters, s.ID) && !c.wasRemoved(s) {
			c.removeDeparted(s)
			c.tellSeeds(s)
			continue
		}
		for _, address := range c.otherReplicas() {
			if err := c.askToJoin(address); err != nil {
				c.log.Info("Not yet a voter.", logs.Str("asked", address), logs.Err(err))
				continue
			}
			break
		}
	}
}

// tellSeeds makes this voter known to seeds that are no voters. Entries and further
// replicas may know nobody else, and those seeds may know only each other.
func (c *Coordinator) tellSeeds(s replica.Status) {
	for _, seed := range *c.seeds.Load() {
		if slices.ContainsFunc(s.Voters, func(v *wirepb.Voter) bool { return v.GetPeerAddress() == seed }) {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, joinTimeout)
		if _, err := c.pool.Exchange(ctx, seed, c.joinFrame()); !fault.Is(err, fault.NotLeader) {
			c.log.Debug("Seed does not answer.", logs.Str("address", seed), logs.Err(err))
		}
		cancel()
	}
}

func (c *Coordinator) joinFrame() *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Join{Join: &wirepb.JoinRequest{Voter: c.opts.Self}}}
}

// wasRemoved reports whether the leader counts this replica out although its own
// log does not tell so yet: nothing is sent to removed voters.
func (c *Coordinator) wasRemoved(s replica.Status) bool {
	v := c.mirror.View()
	if s.Leader != 0 || time.Since(v.ReceivedAt) > watchFresh {
		return false
	}
	return !slices.Contains(v.ControlReplicas, c.opts.Self.GetPeerAddress())
}

func votes(voters []*wirepb.Voter, id uint64) bool {
	for _, v := range voters {
		if v.GetId() == id {
			return !v.GetLearner()
		}
	}
	return false
}

func (c *Coordinator) askToJoin(address string) error {
	ctx, cancel := context.WithTimeout(c.ctx, joinTimeout)
	defer cancel()
	frame := c.joinFrame()
	reply, err := c.pool.Exchange(ctx, address, frame)
	if leader := fault.As(err); leader != nil && leader.Leader != "" {
		reply, err = c.pool.Exchange(ctx, leader.Leader, frame)
	}
	if err != nil {
		return err
	}
	c.transport.Know(reply.GetJoinReply().GetVoters())
	return nil
}

// serveJoin names the voters, so that the joining replica can answer them, and
// then adds it.
func (c *Coordinator) serveJoin(s *wire.Stream, request *wirepb.JoinRequest) {
	if !c.IsLeader() {
		c.mirror.AddReplica(request.GetVoter().GetPeerAddress())
		_ = s.WriteError(c.notLeader())
		return
	}
	reply := &wirepb.JoinReply{Voters: c.node.Status().Voters}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_JoinReply{JoinReply: reply}}); err != nil {
		c.log.Debug("Join not answered.", logs.Err(err))
		return
	}
	if !c.joining.TryLock() {
		return // another replica is being added
	}
	defer c.joining.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	joining := proto.CloneOf(request.GetVoter())
	if err := c.admit(ctx, joining); err != nil {
		c.log.Info("Voter not added.", logs.Uint("id", joining.GetId()), logs.Str("address", joining.GetPeerAddress()), logs.Err(err))
	}
}

// admit adds a voter, and removes the one that it replaces.
func (c *Coordinator) admit(ctx context.Context, joining *wirepb.Voter) error {
	if !c.IsLeader() {
		return c.notLeader()
	}
	var gone uint64
	var refused error
	members := c.node.Status().Voters
	err := c.call(ctx, func() { gone, refused = admission(c.memberStates(members), joining) })
	if err == nil {
		err = refused
	}
	if err != nil {
		return err
	}
	if err := c.node.ChangeVoter(ctx, joining, false); err != nil {
		return err
	}
	c.log.Info("Voter added.", logs.Uint("id", joining.GetId()), logs.Str("address", joining.GetPeerAddress()), logs.Uint("in_place_of", gone))
	if gone == 0 {
		return nil
	}
	if err := c.node.ChangeVoter(c.ctx, &wirepb.Voter{Id: gone}, true); err != nil {
		c.log.Warn("Replaced voter not removed.", logs.Uint("id", gone), logs.Err(err))
		return nil // the new one votes, and the next to join replaces the old one
	}
	c.log.Info("Voter removed.", logs.Uint("id", gone))
	return nil
}

// removeDeparted removes a voter that only makes the quorum larger.
func (c *Coordinator) removeDeparted(s replica.Status) {
	if !c.IsLeader() || !c.joining.TryLock() {
		return
	}
	defer c.joining.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	var gone uint64
	err := c.call(ctx, func() {
		if c.leading {
			gone = departed(c.memberStates(s.Voters))
		}
	})
	if err != nil || gone == 0 {
		return
	}
	if err := c.node.ChangeVoter(ctx, &wirepb.Voter{Id: gone}, true); err != nil {
		c.log.Warn("Departed voter not removed.", logs.Uint("id", gone), logs.Err(err))
		return
	}
	c.log.Info("Voter removed.", logs.Uint("id", gone), logs.Str("reason", "it does not answer"))
}

// memberStates runs on the owner. Silence counts from the time at which this
// replica began to lead: followers send nothing to each other.
func (c *Coordinator) memberStates(members []*wirepb.Voter) []memberState {
	now := time.Now()
	var out []memberState
	for _, v := range members {
		m := memberState{id: v.GetId(), address: v.GetPeerAddress(), learner: v.GetLearner(), heard: true}
		if v.GetId() != c.opts.Self.GetId() {
			heard := c.heard[v.GetId()]
			if m.heard = heard.After(c.ledSince); !m.heard {
				heard = c.ledSince
			}
			m.silence = now.Sub(heard)
		}
		out = append(out, m)
	}
	return out
}

func (c *Coordinator) notLeader() error {
	err := fault.New(fault.NotLeader, "this replica does not lead").WithOutcome(fault.NotRun)
	if leader := c.leaderPeer(); leader != c.opts.Self.GetPeerAddress() {
		err.Leader = leader
	}
	return err
}
