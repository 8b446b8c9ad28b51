package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// votersAt is the configuration that the log entry at index introduced. It takes
// effect when the entry is appended, before it is committed.
//
// While a voter is replaced, the configuration is joint: an election, a commit and a
// read need a majority of the old voters and one of the new voters. Outside a joint
// configuration incoming and outgoing are None.
type votersAt struct {
	index    uint64
	voters   []*wirepb.Voter
	incoming uint64 // counts only for the majority of the new voters
	outgoing uint64 // counts only for the majority of the old voters
}

func newVotersAt(index uint64, voters []*wirepb.Voter) votersAt {
	c := votersAt{index: index, voters: voters}
	for _, v := range voters {
		if v.Learner || v.Replaces == None {
			continue
		}
		if replaced := findVoter(voters, v.Replaces); replaced != nil && !replaced.Learner {
			c.incoming, c.outgoing = v.Id, replaced.Id
		}
	}
	return c
}

// isJoint reports whether a replacement of a voter is in progress.
func (c *votersAt) isJoint() bool { return c.outgoing != None }

// majorityOf reports whether more than half of the voters but the excluded one
// satisfy ok.
func (c *votersAt) majorityOf(excluded uint64, ok func(id uint64) bool) bool {
	voters, good := 0, 0
	for _, v := range c.voters {
		if v.Learner || v.Id == excluded {
			continue
		}
		voters++
		if ok(v.Id) {
			good++
		}
	}
	return good > voters/2
}

// quorumOf reports whether a majority of the old voters and one of the new voters
// satisfy ok.
func (c *votersAt) quorumOf(ok func(id uint64) bool) bool {
	if !c.majorityOf(c.incoming, ok) {
		return false
	}
	return !c.isJoint() || c.majorityOf(c.outgoing, ok)
}

// catchUpEntries is the number of entries that a learner may lack when it becomes a
// voter. They usually fit in one append message, so that a commit which needs its
// acknowledgement does not wait long.
const catchUpEntries = 16

// voterSet returns the configuration in effect.
func (n *Node) voterSet() *votersAt { return &n.voterSets[len(n.voterSets)-1] }

// Voters returns the configuration in effect, learners included.
func (n *Node) Voters() []*wirepb.Voter { return n.voterSet().voters }

// VotersAt returns the configuration that was in effect at index, learners
// included.
func (n *Node) VotersAt(index uint64) []*wirepb.Voter {
	for i := len(n.voterSets) - 1; i > 0; i-- {
		if n.voterSets[i].index <= index {
			return n.voterSets[i].voters
		}
	}
	return n.voterSets[0].voters
}

// EncodeVoters encodes a configuration as the data of an EntryVoters entry.
func EncodeVoters(voters []*wirepb.Voter) ([]byte, error) {
	b, err := proto.Marshal(&wirepb.SnapshotMeta{Voters: voters})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode voters")
	}
	return b, nil
}

// DecodeVoters decodes the configuration from the data of an EntryVoters entry.
func DecodeVoters(data []byte) ([]*wirepb.Voter, error) {
	m := &wirepb.SnapshotMeta{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "decode voters")
	}
	return m.Voters, nil
}

func findVoter(voters []*wirepb.Voter, id uint64) *wirepb.Voter {
	for _, v := range voters {
		if v.Id == id {
			return v
		}
	}
	return nil
}

func (n *Node) isVoter(id uint64) bool {
	v := findVoter(n.Voters(), id)
	return v != nil && !v.Learner
}

// activateVoters puts the configuration of an appended entry, if it has one, into
// effect.
func (n *Node) activateVoters(e *wirepb.LogEntry) {
	if e.Type != EntryVoters {
		return
	}
	voters, err := DecodeVoters(e.Data)
	if err != nil {
		// The leader encoded it, and checksums protect it on disk and on the wire.
		panic("raft: entry holds no configuration: " + err.Error())
	}
	n.voterSets = append(n.voterSets, newVotersAt(e.Index, voters))
	n.votersChanged()
}

// revertVoters removes the configurations of the entries truncated from the given
// index on.
func (n *Node) revertVoters(from uint64) {
	changed := false
	for len(n.voterSets) > 1 && n.voterSet().index >= from {
		n.voterSets = n.voterSets[:len(n.voterSets)-1]
		changed = true
	}
	if changed {
		n.votersChanged()
	}
}

func (n *Node) votersChanged() {
	n.out.Voters = n.Voters()
	if n.role == Leader {
		n.trackFollowers()
	}
}

// trackFollowers adds a progress for each new node of the configuration and
// removes the progress of nodes outside it.
func (n *Node) trackFollowers() {
	for _, v := range n.Voters() {
		if n.progress[v.Id] != nil {
			continue
		}
		p := &progress{next: n.log.last() + 1, active: true}
		if v.Id == n.cfg.ID {
			p.match = n.log.stable
		}
		n.progress[v.Id] = p
	}
	for id := range n.progress {
		if findVoter(n.Voters(), id) == nil {
			delete(n.progress, id)
		}
	}
}

// ChangeVoter starts a change of the configuration: it removes v, or adds it as a
// learner that becomes a voter once it has caught up. Only one change may be
// uncommitted, and the leader must have committed an entry of its term. A change
// that is already in effect is not an error.
func (n *Node) ChangeVoter(v *wirepb.Voter, remove bool) error {
	if err := n.checkVoterChange(); err != nil {
		return err
	}
	known := findVoter(n.Voters(), v.Id)
	switch {
	case !remove && known != nil && known.PeerAddress != v.PeerAddress:
		return fault.New(fault.Conflict, "voter %d has address %s", v.Id, known.PeerAddress).WithOutcome(fault.NotRun)
	case remove && known == nil, !remove && known != nil:
		return nil
	case remove && !known.Learner && n.voterCount() == 1:
		return fault.New(fault.Invalid, "the last voter cannot be removed").WithOutcome(fault.NotRun)
	case v.Id == None:
		return fault.New(fault.Invalid, "voter without id").WithField("id").WithOutcome(fault.NotRun)
	case remove:
		return n.appendVoters(withoutVoter(n.Voters(), v.Id))
	}
	return n.appendVoters(append(slices.Clone(n.Voters()), n.newLearner(v, None)))
}

// ReplaceVoter starts the replacement of a voter by v as one change. V joins as a
// learner. Once it has caught up, a joint configuration in which a quorum needs both
// majorities makes v a voter, and the configuration after it no longer contains the
// replaced one. A leader that fails at any point leaves either a learner, which has
// no influence on a quorum, or a joint configuration, which the next leader
// completes. A replacement that is in progress or in effect is not an error.
func (n *Node) ReplaceVoter(v *wirepb.Voter, replacedID uint64) error {
	known, replaced := findVoter(n.Voters(), v.Id), findVoter(n.Voters(), replacedID)
	switch {
	case n.role != Leader:
		return errNotLeader()
	case v.Id == None || v.Id == replacedID:
		return fault.New(fault.Invalid, "voter %d cannot replace voter %d", v.Id, replacedID).WithField("id").WithOutcome(fault.NotRun)
	case known != nil && known.PeerAddress != v.PeerAddress:
		return fault.New(fault.Conflict, "voter %d has address %s", v.Id, known.PeerAddress).WithOutcome(fault.NotRun)
	case known != nil && (replaced == nil || known.Replaces == replacedID):
		return nil
	case replaced == nil:
		return fault.New(fault.Invalid, "voter %d does not exist", replacedID).WithField("old").WithOutcome(fault.NotRun)
	case known != nil && !known.Learner:
		return n.ChangeVoter(replaced, true)
	}
	if err := n.checkVoterChange(); err != nil {
		return err
	}
	if replaced.Learner {
		replacedID = replaced.Replaces
	}
	// A learner that was to replace the same voter is lost or too late.
	voters := slices.DeleteFunc(slices.Clone(n.Voters()), func(other *wirepb.Voter) bool {
		return other.Id == v.Id || other.Learner && (other.Id == replaced.Id || (replacedID != None && other.Replaces == replacedID))
	})
	return n.appendVoters(append(voters, n.newLearner(v, replacedID)))
}

func (n *Node) newLearner(v *wirepb.Voter, replaces uint64) *wirepb.Voter {
	added := proto.CloneOf(v)
	added.Learner = !n.disabled.learnerCatchUp
	added.Member = 0
	added.Replaces = replaces
	return added
}

func errNotLeader() error {
	return fault.New(fault.NotLeader, "not the leader").WithOutcome(fault.NotRun)
}

// checkVoterChange returns an error unless a change of the configuration may start.
func (n *Node) checkVoterChange() error {
	switch {
	case n.role != Leader:
		return errNotLeader()
	case !n.canChangeVoters():
		return fault.New(fault.Conflict, "another voter change is in progress").WithOutcome(fault.NotRun)
	}
	return nil
}

func (n *Node) canChangeVoters() bool { return n.voterSetCommitted() && !n.voterSet().isJoint() }

// voterSetCommitted reports whether the configuration in effect and an entry of this
// leader's term are committed.
func (n *Node) voterSetCommitted() bool {
	return n.voterSet().index <= n.log.commit && n.committedInTerm()
}

// completeReplacement ends a committed joint configuration: the incoming voter stays,
// the outgoing one is removed.
func (n *Node) completeReplacement() {
	c := n.voterSet()
	if n.role != Leader || !c.isJoint() || !n.voterSetCommitted() {
		return
	}
	voters := withoutVoter(c.voters, c.outgoing)
	i := slices.IndexFunc(voters, func(v *wirepb.Voter) bool { return v.Id == c.incoming })
	voters[i] = proto.CloneOf(voters[i])
	voters[i].Replaces = None
	// Encoding fails only for invalid UTF-8, which the entry that added the voter ruled
	// out.
	_ = n.appendVoters(voters)
}

func (n *Node) voterCount() int {
	count := 0
	for _, v := range n.Voters() {
		if !v.Learner {
			count++
		}
	}
	return count
}

func withoutVoter(voters []*wirepb.Voter, id uint64) []*wirepb.Voter {
	return slices.DeleteFunc(slices.Clone(voters), func(v *wirepb.Voter) bool { return v.Id == id })
}

func (n *Node) appendVoters(voters []*wirepb.Voter) error {
	data, err := EncodeVoters(voters)
	if err != nil {
		return err
	}
	n.appendLocal(EntryVoters, data)
	n.broadcastAppend()
	return nil
}

// promote turns a learner that has caught up into a voter and records the member
// ID of its disk. If it replaces a voter, the configuration becomes joint.
func (n *Node) promote(id uint64, p *progress) {
	v := findVoter(n.Voters(), id)
	if v == nil || !v.Learner || p == nil || p.state != replicating || !n.canChangeVoters() {
		return
	}
	if p.match+catchUpEntries < n.log.last() {
		return
	}
	voter := proto.CloneOf(v)
	voter.Learner = false
	voter.Member = p.member
	if n.disabled.jointReplacement || findVoter(n.Voters(), v.Replaces) == nil {
		voter.Replaces = None
	}
	voters := slices.Clone(n.Voters())
	voters[slices.Index(voters, v)] = voter
	// Encoding fails only for invalid UTF-8, which the entry that added the learner
	// ruled out.
	_ = n.appendVoters(voters)
}
