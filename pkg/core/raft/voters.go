package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// votersAt is the configuration that the log entry at index introduced. It takes
// effect when the entry is appended, before it is committed.
type votersAt struct {
	index  uint64
	voters []*wirepb.Voter
}

// catchUpEntries is the number of entries that a learner may lack when it becomes a
// voter. They usually fit in one append message, so that a commit which needs its
// acknowledgement does not wait long.
const catchUpEntries = 16

// Voters returns the configuration in effect, learners included.
func (n *Node) Voters() []*wirepb.Voter { return n.voterSets[len(n.voterSets)-1].voters }

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

// quorumOf reports whether more than half of the voters satisfy ok.
func (n *Node) quorumOf(ok func(id uint64) bool) bool {
	voters, good := 0, 0
	for _, v := range n.Voters() {
		if v.Learner {
			continue
		}
		voters++
		if ok(v.Id) {
			good++
		}
	}
	return good > voters/2
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
	n.voterSets = append(n.voterSets, votersAt{index: e.Index, voters: voters})
	n.votersChanged()
}

// revertVoters removes the configurations of the entries truncated from the given
// index on.
func (n *Node) revertVoters(from uint64) {
	changed := false
	for len(n.voterSets) > 1 && n.voterSets[len(n.voterSets)-1].index >= from {
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
	if n.role != Leader {
		return fault.New(fault.NotLeader, "not the leader").WithOutcome(fault.NotRun)
	}
	if !n.canChangeVoters() {
		return fault.New(fault.Conflict, "another voter change is in progress").WithOutcome(fault.NotRun)
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
	added := proto.CloneOf(v)
	added.Learner = !n.disabled.learnerCatchUp
	added.Member = 0
	return n.appendVoters(append(slices.Clone(n.Voters()), added))
}

func (n *Node) canChangeVoters() bool {
	return n.voterSets[len(n.voterSets)-1].index <= n.log.commit && n.committedInTerm()
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
// ID of its disk.
func (n *Node) promote(id uint64, p *progress) {
	v := findVoter(n.Voters(), id)
	if v == nil || !v.Learner || p.state != replicating || !n.canChangeVoters() {
		return
	}
	if p.match+catchUpEntries < n.log.last() {
		return
	}
	voter := proto.CloneOf(v)
	voter.Learner = false
	voter.Member = p.member
	voters := slices.Clone(n.Voters())
	voters[slices.Index(voters, v)] = voter
	// Encoding fails only for invalid UTF-8, which the entry that added the learner
	// ruled out.
	_ = n.appendVoters(voters)
}
