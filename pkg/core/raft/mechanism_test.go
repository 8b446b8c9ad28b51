package raft

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// quiet runs without faults until a node leads.
func quiet(m *model, ticking ...*peer) *peer {
	for range 2000 {
		for _, p := range ticking {
			p.node.Tick()
			m.process(p)
			m.persist(p)
		}
		for n := len(m.flight); n > 0; n-- {
			m.network(faults{})
		}
		for _, p := range ticking {
			if p.node.role == Leader && p.node.committedInTerm() {
				return p
			}
		}
	}
	return nil
}

func (m *model) rounds(count int) {
	for range count {
		for _, p := range m.peers {
			p.node.Tick()
			m.process(p)
			m.persist(p)
		}
		for n := len(m.flight); n > 0; n-- {
			m.network(faults{})
		}
	}
}

func (m *model) isolate(p *peer) {
	for _, other := range m.peers {
		m.cut[[2]uint64{p.id, other.id}] = true
		m.cut[[2]uint64{other.id, p.id}] = true
	}
}

func (m *model) follower(lead *peer) *peer { return m.peers[lead.id%uint64(len(m.peers))] }

// Guards against a node that was cut off raising the term and deposing the
// leader when it returns.
func TestPreVoteKeepsLeader(t *testing.T) {
	disturbed := func(off mechanisms) bool {
		m := newModel(5, 3, off)
		lead := quiet(m, m.peers...)
		term := lead.node.term
		m.isolate(m.follower(lead))
		m.rounds(100)
		clear(m.cut)
		m.rounds(100)
		return lead.node.role != Leader || lead.node.term != term
	}
	assert.Assert(t, !disturbed(mechanisms{}))
	assert.Assert(t, disturbed(mechanisms{preVote: true}), "the test does not notice missing pre-votes")
}

// Guards against a leader that goes on believing in itself without a quorum.
func TestCheckQuorumDeposesIsolatedLeader(t *testing.T) {
	deposed := func(off mechanisms) bool {
		m := newModel(6, 3, off)
		lead := quiet(m, m.peers...)
		m.isolate(lead)
		m.rounds(2 * DefaultElectionTicks)
		return lead.node.role != Leader
	}
	assert.Assert(t, deposed(mechanisms{}))
	assert.Assert(t, !deposed(mechanisms{checkQuorum: true}), "the test does not notice a missing check of the quorum")
}

// Guards against a new voter that counts for the quorum while its log is
// empty: with one of three nodes down, nothing could commit until it caught up.
func TestLearnerCatchesUpBeforeItVotes(t *testing.T) {
	stalled := func(off mechanisms) bool {
		m := newModel(7, 3, off)
		lead := quiet(m, m.peers...)
		m.isolate(m.follower(lead))
		added := m.addPeer(&wirepb.SnapshotMeta{}, 0)
		m.isolate(added)
		assert.NilError(t, lead.node.ChangeVoter(&wirepb.Voter{Id: added.id}, false))
		m.process(lead)
		before := m.highest
		m.propose(lead)
		m.rounds(5)
		return m.highest < before+2
	}
	assert.Assert(t, !stalled(mechanisms{}))
	assert.Assert(t, stalled(mechanisms{catchUp: true}), "the test does not notice a missing catch-up")
}

// Guards against a node outside the configuration, a replaced disk or another
// cluster raising the term, taking over the log or filling a quorum.
func TestStrangersDoNotDisturb(t *testing.T) {
	m := newModel(8, 3, mechanisms{})
	lead := quiet(m, m.peers...)
	term, last := lead.node.term, lead.node.Last()
	strangers := []*wirepb.RaftMessage{
		{From: 9, Member: 9, Cluster: testCluster},
		{From: lead.id%3 + 1, Member: 99, Cluster: testCluster},
		{From: 9, Member: 9, Cluster: 5},
	}
	for _, s := range strangers {
		for kind := MsgPreVote; kind <= MsgTimeoutNow; kind++ {
			s.Type, s.To, s.Term, s.Reject = uint32(kind), lead.id, term+9, true
			if s.From == 9 && s.Cluster == testCluster && (kind == MsgAppend || kind == MsgHeartbeat) {
				continue // how a leader that this node's log does not name yet looks like
			}
			m.deliver(s)
		}
	}
	assert.Equal(t, lead.node.term, term)
	assert.Equal(t, lead.node.role, Leader)
	assert.Equal(t, lead.node.Last(), last)
}

// Guards against a follower that helps to depose a leader it hears.
func TestVotesAreIgnoredWhileLeaderIsHeard(t *testing.T) {
	m := newModel(9, 3, mechanisms{})
	lead := quiet(m, m.peers...)
	m.rounds(DefaultHeartbeatTicks)
	voter, candidate := m.follower(lead), m.follower(m.follower(lead))
	under := len(m.flight)
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		m.deliver(&wirepb.RaftMessage{
			Type: uint32(kind), From: candidate.id, To: voter.id, Member: candidate.id, Cluster: testCluster,
			Term: voter.node.term + 5, LogIndex: 1000, LogTerm: 1000,
		})
		assert.Equal(t, voter.node.term, lead.node.term)
		assert.Equal(t, len(m.flight), under)
	}
}

// Guards against a new leader that commits entries of earlier terms by counting
// copies, or changes voters, before it committed an entry of its own term.
func TestNewLeaderWaitsForItsTerm(t *testing.T) {
	voters := []*wirepb.Voter{{Id: 1}, {Id: 2}, {Id: 3}}
	n := New(Config{
		ID: 1, Random: func(int) int { return 0 }, HardState: HardState{Term: 3},
		Snapshot: &wirepb.SnapshotMeta{Voters: voters},
		Entries:  []*wirepb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	reply := func(kind MessageType, index uint64) {
		n.Step(&wirepb.RaftMessage{Type: uint32(kind), From: 2, To: 1, Term: 4, LogIndex: index})
		if out := n.TakeOutput(); out.Write != nil {
			n.Persisted(out.Write.Seq)
		}
	}
	n.campaign(false)
	reply(MsgPreVoteReply, 0)
	reply(MsgVoteReply, 0)
	assert.Equal(t, n.role, Leader)
	reply(MsgAppendReply, 2)
	assert.Equal(t, n.Commit(), uint64(0))
	err := n.ChangeVoter(&wirepb.Voter{Id: 4}, false)
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
	reply(MsgAppendReply, 3)
	assert.Equal(t, n.Commit(), uint64(3))
}

// Guards against counting an entry as durable that an older write held, when
// it was replaced in the meantime.
func TestReplacedEntryIsNotDurable(t *testing.T) {
	n := New(Config{
		ID: 1, Random: func(int) int { return 0 },
		Snapshot: &wirepb.SnapshotMeta{Voters: []*wirepb.Voter{{Id: 1}, {Id: 2}, {Id: 3}}},
	})
	var writes []uint64
	for term := uint64(1); term <= 2; term++ {
		n.Step(&wirepb.RaftMessage{
			Type: uint32(MsgAppend), From: term + 1, To: 1, Term: term,
			Entries: []*wirepb.LogEntry{{Index: 1, Term: term}},
		})
		writes = append(writes, n.TakeOutput().Write.Seq)
	}
	n.Persisted(writes[0])
	assert.Equal(t, n.Stable(), uint64(0))
	n.Persisted(writes[1])
	assert.Equal(t, n.Stable(), uint64(1))
}

// Guards against a cluster that can't elect a leader because the only node
// that holds a removal is the removed one.
func TestRemovedHolderCompletesRemoval(t *testing.T) {
	m := newModel(10, 2, mechanisms{})
	lead := quiet(m, m.peers...)
	m.isolate(lead)
	assert.NilError(t, lead.node.ChangeVoter(&wirepb.Voter{Id: lead.id}, true))
	m.rounds(3 * DefaultElectionTicks)
	assert.Assert(t, lead.node.role != Leader)
	assert.Assert(t, m.settle())
	assert.NilError(t, m.err)
	assert.Equal(t, len(m.follower(lead).node.Voters()), 1)
}
