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
	// changeTimeout covers the transfer of a snapshot to the new voter.
	changeTimeout = 10 * time.Second
	// snapshotEntries keeps the log small enough for a small disk: each entry holds a whole
	// compressed configuration.
	snapshotEntries = 200
	segmentSize     = 4 << 20
)

// openReplica restarts the replica from its data folder, bootstraps a cluster as one of
// the initial voters, or opens an empty replica that waits to be added to a cluster.
func (c *Coordinator) openReplica() error {
	o := c.opts
	if o.Dir == "" {
		c.log.Info("No data folder is set: forwards requests to the leader and never votes.")
		return nil
	}
	id, exists, err := replica.StoredID(o.Dir)
	if err != nil {
		return err
	}
	own := initialVoterAt(o.InitialVoters, o.Self.GetPeerAddress())
	isInitialVoter := o.Bootstrap && own != nil
	switch {
	case exists:
		o.Self.Id = id
	case isInitialVoter:
		o.Self.Id = own.GetId()
	default:
		if o.Self.Id, err = newID(); err != nil {
			return err
		}
	}
	c.transport = replicalink.NewTransport(o.Self.GetId(), nil, c.pool, o.Log.Component("transport"))
	c.transport.OnMessageDropped = c.metrics.droppedMessages.Inc
	options := replica.Options{
		ID: o.Self.GetId(), Dir: o.Dir, Join: !exists && !isInitialVoter,
		StateMachine: c.stateMachine, Transport: c.transport, Log: o.Log,
		ElectionTimeout: o.ElectionTimeout, HeartbeatInterval: o.HeartbeatInterval,
		SnapshotEntries: snapshotEntries, SegmentBytes: segmentSize, TrailingEntries: snapshotEntries,
		MaxProposalBytes: maxCompressedBytes,
	}
	if isInitialVoter {
		options.Bootstrap = o.InitialVoters
	}
	node, err := replica.Open(options)
	if err != nil {
		return err
	}
	c.node = node
	c.metrics.membership(o.Self.GetId(), func() []*wirepb.Voter { return node.Status().CommittedVoters })
	c.transport.SetLeaderTermFunc(func() (uint64, bool) {
		s := node.Status()
		return s.Term, s.Leader == s.ID
	})
	c.log.Info("Replica opened.", logs.Uint("id", o.Self.GetId()), logs.Int("founder", boolToInt(isInitialVoter)), logs.Int("from_disk", boolToInt(exists)))
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// initialVoterAt returns the initial voter with an address, or nil.
func initialVoterAt(initialVoters []*wirepb.Voter, address string) *wirepb.Voter {
	for _, v := range initialVoters {
		if v.GetPeerAddress() == address {
			return v
		}
	}
	return nil
}

// newID returns a random replica id that was never used before. Its top bit is set, which
// keeps it apart from the configured ids of the initial voters.
func newID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fault.Wrap(err, fault.Internal, "generate a replica id")
	}
	return binary.BigEndian.Uint64(b[:]) | 1<<63, nil
}

// joinLoop asks the leader to add this replica while it is not a voter. While it is one,
// it announces itself to the seeds.
func (c *Coordinator) joinLoop() {
	if c.node == nil {
		return
	}
	for delay.Wait(c.ctx, joinInterval) {
		s := c.node.Status()
		if s.Bootstrapping || s.FatalError != nil {
			continue
		}
		if isVotingMember(s.Voters, s.ID) && !c.wasRemoved(s) {
			c.removeRedundantVoter(s)
			c.announceToSeeds(s)
			continue
		}
		for _, address := range c.otherCoordinators() {
			if err := c.requestJoin(address); err != nil {
				c.log.Info("Not yet a voter.", logs.Str("asked", address), logs.Err(err))
				continue
			}
			break
		}
	}
}

// announceToSeeds sends a join request to the seeds that are not voters. They refuse it,
// but remember the address of this voter: gateways and joining replicas may be configured
// with those seeds only, and the seeds may know only each other.
func (c *Coordinator) announceToSeeds(s replica.Status) {
	for _, seed := range *c.seeds.Load() {
		if slices.ContainsFunc(s.Voters, func(v *wirepb.Voter) bool { return v.GetPeerAddress() == seed }) {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, joinTimeout)
		if _, err := c.pool.Exchange(ctx, seed, c.joinFrame()); !fault.Is(err, fault.NotLeader) {
			c.log.Debug("Seed not reached.", logs.Str("address", seed), logs.Err(err))
		}
		cancel()
	}
}

func (c *Coordinator) joinFrame() *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Join{Join: &wirepb.JoinRequest{Voter: c.opts.Self}}}
}

// wasRemoved reports whether the leader no longer lists this replica although its own log
// still does: a removed voter is sent no further log entries.
func (c *Coordinator) wasRemoved(s replica.Status) bool {
	v := c.leaderWatch.View()
	if s.Leader != 0 || time.Since(v.ReceivedAt) > watchMaxAge {
		return false
	}
	return !slices.Contains(v.CoordinatorAddresses, c.opts.Self.GetPeerAddress())
}

// isVotingMember reports whether a replica is a voter and no replacement of another one
// by it is in progress: until then, the cluster may need the voters of before.
func isVotingMember(voters []*wirepb.Voter, id uint64) bool {
	for _, v := range voters {
		if v.GetId() == id {
			return !v.GetLearner() && v.GetReplaces() == 0
		}
	}
	return false
}

func (c *Coordinator) requestJoin(address string) error {
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
	c.transport.SetJoinPeers(reply.GetJoinReply().GetVoters())
	return nil
}

// serveJoin answers with the current voters, so that the joining replica can reply to
// their messages, and then adds it.
func (c *Coordinator) serveJoin(s *wire.Stream, request *wirepb.JoinRequest) {
	if !c.IsLeader() {
		c.leaderWatch.AddCoordinator(request.GetVoter().GetPeerAddress())
		_ = s.WriteError(c.notLeaderError())
		return
	}
	reply := &wirepb.JoinReply{Voters: c.node.Status().Voters}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_JoinReply{JoinReply: reply}}); err != nil {
		c.log.Debug("Join reply not sent.", logs.Err(err))
		return
	}
	if !c.joining.TryLock() {
		return // another change of the voters is in progress
	}
	defer c.joining.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	joining := proto.CloneOf(request.GetVoter())
	if err := c.addVoter(ctx, joining); err != nil {
		c.log.Info("Voter not added.", logs.Uint("id", joining.GetId()), logs.Str("address", joining.GetPeerAddress()), logs.Err(err))
	}
}

// addVoter adds a voter. If it replaces a member, both are one change.
func (c *Coordinator) addVoter(ctx context.Context, joining *wirepb.Voter) error {
	if !c.IsLeader() {
		return c.notLeaderError()
	}
	var removedID uint64
	var admissionErr error
	members := c.node.Status().Voters
	err := c.runOnOwner(ctx, func() { removedID, admissionErr = decideAdmission(c.memberStates(members), joining) })
	if err == nil {
		err = admissionErr
	}
	if err != nil {
		return err
	}
	if removedID != 0 {
		err = c.node.ReplaceVoter(ctx, joining, removedID)
	} else {
		err = c.node.ChangeVoter(ctx, joining, false)
	}
	if err != nil {
		return err
	}
	c.log.Info("Voter added.", logs.Uint("id", joining.GetId()), logs.Str("address", joining.GetPeerAddress()), logs.Uint("in_place_of", removedID))
	return nil
}

// removeRedundantVoter removes a lost voter that only enlarges the quorum.
func (c *Coordinator) removeRedundantVoter(s replica.Status) {
	if !c.IsLeader() || !c.joining.TryLock() {
		return
	}
	defer c.joining.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	var removedID uint64
	err := c.runOnOwner(ctx, func() {
		if c.leading {
			removedID = redundantVoter(c.memberStates(s.Voters))
		}
	})
	if err != nil || removedID == 0 {
		return
	}
	if err := c.node.ChangeVoter(ctx, &wirepb.Voter{Id: removedID}, true); err != nil {
		c.log.Warn("Departed voter not removed.", logs.Uint("id", removedID), logs.Err(err))
		return
	}
	c.log.Info("Voter removed.", logs.Uint("id", removedID), logs.Str("reason", "it does not answer"))
}

// memberStates returns the members as the leader sees them. It runs on the owner. Silence
// counts from the start of this leadership at the earliest, because followers send each
// other no messages.
func (c *Coordinator) memberStates(members []*wirepb.Voter) []memberState {
	now := time.Now()
	var out []memberState
	for _, v := range members {
		m := memberState{id: v.GetId(), address: v.GetPeerAddress(), learner: v.GetLearner()}
		if v.GetId() != c.opts.Self.GetId() {
			lastMessage := c.lastRaftMessage[v.GetId()]
			if lastMessage.Before(c.leaderSince) {
				lastMessage = c.leaderSince
			}
			m.silence = now.Sub(lastMessage)
		}
		out = append(out, m)
	}
	return out
}

func (c *Coordinator) notLeaderError() error {
	err := fault.New(fault.NotLeader, "this replica is not the leader").WithOutcome(fault.NotRun)
	if leader := c.leaderPeerAddress(); leader != c.opts.Self.GetPeerAddress() {
		err.Leader = leader
	}
	return err
}
