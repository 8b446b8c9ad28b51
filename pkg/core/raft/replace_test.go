package raft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// runWithout runs rounds in which the stopped peers stay stopped, until done returns
// true. It reports whether that happened.
func (m *model) runWithout(rounds int, done func() bool, stopped ...*peer) bool {
	for range rounds {
		if done() {
			return true
		}
		for _, p := range m.peers {
			if slices.Contains(stopped, p) {
				continue
			}
			if p.node == nil {
				m.restart(p)
			}
			p.node.Tick()
			m.process(p)
			m.persist(p)
		}
		for n := len(m.inFlight) + len(m.transfers); n > 0; n-- {
			m.network(faults{})
		}
	}
	return done()
}

// currentLeader returns the running leader of the highest term that has committed an
// entry of its term, or nil.
func (m *model) currentLeader() *peer {
	var lead *peer
	for _, p := range m.peers {
		if p.node != nil && p.node.role == Leader && p.node.committedInTerm() && (lead == nil || p.node.term > lead.node.term) {
			lead = p
		}
	}
	return lead
}

// smallStep takes one step of one node: a tick, a write or a message.
func (m *model) smallStep(stopped ...*peer) {
	p := m.peers[m.rng.IntN(len(m.peers))]
	if p.node == nil || slices.Contains(stopped, p) {
		return
	}
	switch m.rng.IntN(6) {
	case 0:
		p.node.Tick()
		m.process(p)
	case 1, 2:
		m.persist(p)
	default:
		m.network(faults{})
	}
}

// replacementSurvives replaces a lost voter and kills the leader after a number of small
// steps. It returns whether the cluster then still commits after the loss of one more
// voter.
func replacementSurvives(seed uint64, size, steps int, disabled disabledSafeguards) (bool, error) {
	m := newModel(seed, size, disabled)
	lead := runUntilLeader(m, m.peers...)
	lost := m.nextPeer(lead)
	m.crash(lost)
	added := m.addPeer(&wirepb.SnapshotMeta{}, 0)
	if err := lead.node.ReplaceVoter(&wirepb.Voter{Id: added.id}, lost.id); err != nil {
		return false, err
	}
	m.process(lead)
	for range steps {
		m.smallStep(lost)
	}
	m.crash(lead)
	// The new replica asks each leader to be added until it is a voter.
	isVoter := func() bool {
		current := m.currentLeader()
		if current == nil {
			return false
		}
		if !current.node.isVoter(added.id) {
			_ = current.node.ReplaceVoter(&wirepb.Voter{Id: added.id}, lost.id)
			m.process(current)
		}
		v := findVoter(current.node.VotersAt(current.node.Commit()), added.id)
		return v != nil && !v.Learner && v.Replaces == None
	}
	if !m.runWithout(2000, isVoter, lost) {
		return false, m.err
	}
	// The voter that led at first is lost for good.
	before := m.highestCommit
	commits := func() bool {
		if current := m.currentLeader(); current != nil {
			m.propose(current)
		}
		return m.highestCommit > before+3
	}
	return m.runWithout(2000, commits, lost, lead), m.err
}

// Guards against a replacement of which a killed leader leaves a part behind: a voter
// that never answers then counts for the quorum, and the loss of one more voter stops
// the cluster.
func TestReplaceVoter_SurvivesLossOfLeaderAtEachStep(t *testing.T) {
	for _, size := range []int{3, 5} {
		stopped := 0
		for steps := range 200 {
			survives, err := replacementSurvives(uint64(steps), size, steps, disabledSafeguards{})
			assert.NilError(t, err)
			assert.Assert(t, survives, "%d voters, leader killed after %d steps: the cluster stopped", size, steps)
			if steps%10 > 0 {
				continue
			}
			if survives, _ = replacementSurvives(uint64(steps), size, steps, disabledSafeguards{jointReplacement: true}); !survives {
				stopped++
			}
		}
		t.Logf("%d voters: added without a joint configuration, the cluster stopped in %d of 20 schedules", size, stopped)
		assert.Assert(t, size > 3 || stopped > 0, "the test does not detect a missing joint configuration")
	}
}

// Guards against violations of safety while voters are replaced and leaders, links and
// disks fail, and against a replacement that is neither completed nor undone after the
// faults have ended.
func TestReplaceVoter_HoldsUnderRandomFaults(t *testing.T) {
	replaced := 0
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.voterChange = rapid.IntRange(300, 1000).Draw(t, "voterChanges")
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "nodes"), disabledSafeguards{})
		assert.NilError(t, m.run(rapid.IntRange(2000, 8000).Draw(t, "steps"), f))
		settled := m.healAndConverge()
		assert.NilError(t, m.err)
		assert.Assert(t, settled || m.diskReplaced, "no progress after the faults ended")
		for _, e := range m.committedEntries {
			if e.Type != EntryVoters {
				continue
			}
			voters, err := DecodeVoters(e.Data)
			assert.NilError(t, err)
			if c := newVotersAt(e.Index, voters); c.isJoint() {
				replaced++
			}
		}
	})
	t.Logf("%d joint configurations committed", replaced)
	assert.Assert(t, replaced > 0)
}

// Guards against a replaced voter that still counts: it neither wins an election nor
// helps a leader to commit.
func TestReplaceVoter_ReplacedVoterDoesNotCount(t *testing.T) {
	m := newModel(4, 3, disabledSafeguards{})
	lead := runUntilLeader(m, m.peers...)
	old, third := m.nextPeer(lead), m.nextPeer(m.nextPeer(lead))
	added := m.addPeer(&wirepb.SnapshotMeta{}, 0)
	assert.NilError(t, lead.node.ReplaceVoter(&wirepb.Voter{Id: added.id}, old.id))
	m.process(lead)
	assert.Assert(t, m.runWithout(500, func() bool {
		return lead.node.voterSetCommitted() && findVoter(lead.node.Voters(), old.id) == nil
	}))
	m.isolate(third)
	m.isolate(added)
	before := m.highestCommit
	m.propose(lead)
	m.runRounds(4 * DefaultElectionTicks)
	assert.Equal(t, m.highestCommit, before)
	assert.Assert(t, lead.node.role != Leader, "the leader counts the replaced voter as active")
	assert.Assert(t, old.node.role != Leader)
	clear(m.blockedLinks)
	assert.Assert(t, m.runWithout(500, func() bool { return m.currentLeader() != nil && m.currentLeader() != old }))
	assert.NilError(t, m.err)
}

// Guards against replacements that cannot be made, and against a repeated request that
// starts a second change.
func TestReplaceVoter_ChecksRequest(t *testing.T) {
	m := newModel(5, 3, disabledSafeguards{})
	lead := runUntilLeader(m, m.peers...)
	old := m.nextPeer(lead)
	added := m.addPeer(&wirepb.SnapshotMeta{}, 0)
	m.isolate(added)
	replace := func(id, replaced uint64) error { return lead.node.ReplaceVoter(&wirepb.Voter{Id: id}, replaced) }
	assert.Assert(t, fault.Is(m.nextPeer(lead).node.ReplaceVoter(&wirepb.Voter{Id: added.id}, lead.id), fault.NotLeader))
	assert.Assert(t, fault.Is(replace(added.id, added.id), fault.Invalid))
	assert.Assert(t, fault.Is(replace(added.id, 99), fault.Invalid))
	assert.NilError(t, replace(added.id, old.id))
	last := lead.node.Last()
	assert.NilError(t, replace(added.id, old.id))
	assert.Equal(t, lead.node.Last(), last, "a repeated request appended a change")
	assert.Assert(t, fault.Is(replace(9, old.id), fault.Conflict), "a second change started before the first was committed")
	m.runRounds(20)
	// The learner is lost with its disk, and another one takes its place.
	second := m.addPeer(&wirepb.SnapshotMeta{}, 0)
	assert.NilError(t, replace(second.id, added.id))
	m.process(lead)
	assert.Assert(t, m.runWithout(500, func() bool {
		return lead.node.voterSetCommitted() && findVoter(lead.node.Voters(), old.id) == nil
	}, added))
	assert.Assert(t, findVoter(lead.node.Voters(), added.id) == nil)
	assert.Equal(t, lead.node.voterCount(), 3)
	assert.NilError(t, m.err)
}
