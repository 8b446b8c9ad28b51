package raft

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// runUntilLeader ticks the given peers without faults until one of them leads and has
// committed an entry of its term. It returns that peer, or nil if none does in time.
func runUntilLeader(m *model, peers ...*peer) *peer {
	for range 2000 {
		for _, p := range peers {
			p.node.Tick()
			m.process(p)
			m.persist(p)
		}
		for n := len(m.inFlight); n > 0; n-- {
			m.network(faults{})
		}
		for _, p := range peers {
			if p.node.role == Leader && p.node.committedInTerm() {
				return p
			}
		}
	}
	return nil
}

func (m *model) runRounds(count int) {
	for range count {
		for _, p := range m.peers {
			p.node.Tick()
			m.process(p)
			m.persist(p)
		}
		for n := len(m.inFlight); n > 0; n-- {
			m.network(faults{})
		}
	}
}

func (m *model) isolate(p *peer) {
	for _, other := range m.peers {
		m.blockedLinks[[2]uint64{p.id, other.id}] = true
		m.blockedLinks[[2]uint64{other.id, p.id}] = true
	}
}

func (m *model) nextPeer(lead *peer) *peer { return m.peers[lead.id%uint64(len(m.peers))] }

// Guards against a node that raises the term while it is isolated and deposes the
// leader when its connection is restored.
func TestPreVote_ReturningNodeDoesNotDeposeLeader(t *testing.T) {
	leadershipLost := func(disabled disabledSafeguards) bool {
		m := newModel(5, 3, disabled)
		lead := runUntilLeader(m, m.peers...)
		term := lead.node.term
		m.isolate(m.nextPeer(lead))
		m.runRounds(100)
		clear(m.blockedLinks)
		m.runRounds(100)
		return lead.node.role != Leader || lead.node.term != term
	}
	assert.Assert(t, !leadershipLost(disabledSafeguards{}))
	assert.Assert(t, leadershipLost(disabledSafeguards{preVote: true}), "the test does not detect missing pre-votes")
}

// Guards against a leader that stays leader although it reaches no quorum.
func TestCheckQuorum_IsolatedLeaderStepsDown(t *testing.T) {
	deposed := func(disabled disabledSafeguards) bool {
		m := newModel(6, 3, disabled)
		lead := runUntilLeader(m, m.peers...)
		m.isolate(lead)
		m.runRounds(2 * DefaultElectionTicks)
		return lead.node.role != Leader
	}
	assert.Assert(t, deposed(disabledSafeguards{}))
	assert.Assert(t, !deposed(disabledSafeguards{checkQuorum: true}), "the test does not detect a missing quorum check")
}

// Guards against a new voter that counts towards the quorum while its log is empty:
// with one of three voters down, nothing could commit until the new one caught up.
func TestChangeVoter_LearnerCatchesUpBeforeItVotes(t *testing.T) {
	stalled := func(disabled disabledSafeguards) bool {
		m := newModel(7, 3, disabled)
		lead := runUntilLeader(m, m.peers...)
		m.isolate(m.nextPeer(lead))
		added := m.addPeer(&wirepb.SnapshotMeta{}, 0)
		m.isolate(added)
		assert.NilError(t, lead.node.ChangeVoter(&wirepb.Voter{Id: added.id}, false))
		m.process(lead)
		before := m.highestCommit
		m.propose(lead)
		m.runRounds(5)
		return m.highestCommit < before+2
	}
	assert.Assert(t, !stalled(disabledSafeguards{}))
	assert.Assert(t, stalled(disabledSafeguards{learnerCatchUp: true}), "the test does not detect a missing catch-up")
}

// Guards against messages from a node outside the configuration, a replaced disk or
// another cluster that raise the term, depose the leader or change its log.
func TestStep_MessagesFromNonMembersAreIgnored(t *testing.T) {
	m := newModel(8, 3, disabledSafeguards{})
	lead := runUntilLeader(m, m.peers...)
	term, last := lead.node.term, lead.node.Last()
	messages := []*wirepb.RaftMessage{
		{From: 9, Member: 9, Cluster: testCluster},
		{From: lead.id%3 + 1, Member: 99, Cluster: testCluster},
		{From: 9, Member: 9, Cluster: 5},
	}
	for _, s := range messages {
		for kind := MsgPreVote; kind <= MsgTimeoutNow; kind++ {
			s.Type, s.To, s.Term, s.Reject = uint32(kind), lead.id, term+9, true
			if s.From == 9 && s.Cluster == testCluster && (kind == MsgAppend || kind == MsgHeartbeat) {
				continue // could come from a leader that was added by an entry this log lacks
			}
			m.deliver(s)
		}
	}
	assert.Equal(t, lead.node.term, term)
	assert.Equal(t, lead.node.role, Leader)
	assert.Equal(t, lead.node.Last(), last)
}

// Guards against a follower that helps to depose a leader from which it hears.
func TestStep_VoteRequestsIgnoredWithinLease(t *testing.T) {
	m := newModel(9, 3, disabledSafeguards{})
	lead := runUntilLeader(m, m.peers...)
	m.runRounds(DefaultHeartbeatTicks)
	voter, candidate := m.nextPeer(lead), m.nextPeer(m.nextPeer(lead))
	inFlightBefore := len(m.inFlight)
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		m.deliver(&wirepb.RaftMessage{
			Type: uint32(kind), From: candidate.id, To: voter.id, Member: candidate.id, Cluster: testCluster,
			Term: voter.node.term + 5, LogIndex: 1000, LogTerm: 1000,
		})
		assert.Equal(t, voter.node.term, lead.node.term)
		assert.Equal(t, len(m.inFlight), inFlightBefore)
	}
}

// Guards against a new leader that commits entries of earlier terms by counting
// replicas, or changes voters, before it has committed an entry of its own term.
func TestNewLeader_CommitsOnlyAfterEntryOfItsTerm(t *testing.T) {
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

// Guards against counting an entry as durable when the write that became durable
// held an earlier entry at the same index, which has been replaced since.
func TestPersisted_ReplacedEntryIsNotDurable(t *testing.T) {
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

// Guards against a cluster that cannot elect a leader because the only node whose
// log holds a removal is the removed node.
func TestChangeVoter_RemovedNodeCompletesItsRemoval(t *testing.T) {
	m := newModel(10, 2, disabledSafeguards{})
	lead := runUntilLeader(m, m.peers...)
	m.isolate(lead)
	assert.NilError(t, lead.node.ChangeVoter(&wirepb.Voter{Id: lead.id}, true))
	m.runRounds(3 * DefaultElectionTicks)
	assert.Assert(t, lead.node.role != Leader)
	assert.Assert(t, m.healAndConverge())
	assert.NilError(t, m.err)
	assert.Equal(t, len(m.nextPeer(lead).node.Voters()), 1)
}
