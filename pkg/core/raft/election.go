package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// forcedElection is the context of vote requests in an election that the leader
// started by a leadership transfer. Voters consider them although they still hear
// from the leader.
const forcedElection uint64 = 1

// resetElectionTimer starts a new random timeout in
// [ElectionTicks, 2*ElectionTicks).
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Random(n.cfg.ElectionTicks)
}

// maxElectionBackoff limits how often the election timeout is doubled.
const maxElectionBackoff = 4

// electionBackoff returns how often the election timeout is doubled: once for each
// election since the last leader but the first. An election takes a sync of the candidate
// and one of a voter, so with a fixed timeout none succeeds while syncs take longer.
func (n *Node) electionBackoff() uint64 {
	if n.lead != None || n.term <= n.leaderTerm {
		return 0
	}
	return min(n.term-n.leaderTerm-1, maxElectionBackoff)
}

// setLeader records the leader of the current term, or that none is known.
func (n *Node) setLeader(id uint64) {
	n.lead = id
	if id != None {
		n.leaderTerm = max(n.leaderTerm, n.term)
	}
}

// inLease reports whether this node is the leader or heard from the leader within
// the minimum election timeout. An election would then disrupt a working leader.
func (n *Node) inLease() bool {
	if n.disabled.checkQuorum {
		return false
	}
	return n.role == Leader || (n.lead != None && n.electionElapsed < n.cfg.ElectionTicks)
}

// canCampaign reports whether this node may start an election: it is a voter, or
// its removal is not yet committed. A removed node may be the only one whose log
// holds the removal, and then no other node could win.
func (n *Node) canCampaign() bool {
	v := findVoter(n.VotersAt(n.log.commit), n.cfg.ID)
	if v != nil && v.Member != 0 && v.Member != n.cfg.Member {
		return false // the other nodes know this ID with another data directory
	}
	return n.isVoter(n.cfg.ID) || (v != nil && !v.Learner)
}

// campaign starts an election, preceded by a pre-vote unless skipPreVote is set.
func (n *Node) campaign(skipPreVote bool) {
	if !n.canCampaign() {
		return
	}
	n.lead = None
	if skipPreVote {
		n.startElection(0)
		return
	}
	n.fireEvent(eventPreVote)
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.countVotes() > 0 {
		n.startElection(0)
		return
	}
	n.requestVotes(MsgPreVote, n.term+1, 0)
}

func (n *Node) startElection(voteContext uint64) {
	n.lead = None
	n.setHardState(n.term+1, n.cfg.ID)
	n.fireEvent(eventStartElection)
	n.resetElectionTimer()
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.countVotes() > 0 {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term, voteContext)
}

func (n *Node) requestVotes(kind MessageType, term, voteContext uint64) {
	for _, v := range n.Voters() {
		if v.Learner || v.Id == n.cfg.ID {
			continue
		}
		m := &wirepb.RaftMessage{
			Type: uint32(kind), To: v.Id, Term: term, Context: voteContext,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		}
		if kind == MsgPreVote {
			n.send(m)
			continue
		}
		// The candidate's vote for itself must be durable before others are counted.
		n.sendAfterSync(m)
	}
}

func (n *Node) handlePreVote(m *wirepb.RaftMessage) {
	if n.inLease() {
		return
	}
	grant := m.Term > n.term && n.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &wirepb.RaftMessage{Type: uint32(MsgPreVoteReply), To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m *wirepb.RaftMessage) {
	if n.role != PreCandidate {
		return
	}
	if !m.Reject && m.Term != n.term+1 {
		return // reply to an earlier pre-vote
	}
	n.votes[m.From] = !m.Reject
	switch n.countVotes() {
	case 1:
		n.startElection(0)
	case -1:
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) handleVote(m *wirepb.RaftMessage) {
	free := n.vote == m.From || (n.vote == None && n.lead == None)
	grant := free && n.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		n.setHardState(n.term, m.From)
		n.electionElapsed = 0
	}
	n.sendAfterSync(&wirepb.RaftMessage{Type: uint32(MsgVoteReply), To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m *wirepb.RaftMessage) {
	if n.role != Candidate {
		return
	}
	n.votes[m.From] = !m.Reject
	switch n.countVotes() {
	case 1:
		n.becomeLeader()
	case -1:
		n.becomeFollower(n.term, None)
	}
}

// countVotes returns 1 if a quorum granted its vote, -1 if a quorum can no longer
// be reached, and 0 otherwise.
func (n *Node) countVotes() int {
	c := n.voterSet()
	granted := func(id uint64) bool { return n.votes[id] }
	mayGrant := func(id uint64) bool {
		vote, known := n.votes[id]
		return vote || !known
	}
	switch {
	case c.quorumOf(granted):
		return 1
	case !c.quorumOf(mayGrant):
		return -1
	default:
		return 0
	}
}

func (n *Node) becomeLeader() {
	n.fireEvent(eventWin)
	n.setLeader(n.cfg.ID)
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.votes = nil
	n.progress = map[uint64]*progress{}
	n.trackFollowers()
	n.appendLocal(EntryNoOp, nil)
	n.broadcastAppend()
}

// quorumActive reports whether a quorum replied since the last call.
func (n *Node) quorumActive() bool {
	if n.disabled.checkQuorum {
		return true
	}
	active := func(id uint64) bool {
		p := n.progress[id]
		return id == n.cfg.ID || (p != nil && p.active)
	}
	ok := n.voterSet().quorumOf(active)
	for _, p := range n.progress {
		p.active = false
	}
	return ok
}

// TransferLeader starts a transfer of the leadership to a voter and reports
// whether it was started. A transfer is abandoned after one election timeout.
func (n *Node) TransferLeader(to uint64) bool {
	p := n.progress[to]
	if n.role != Leader || to == n.cfg.ID || p == nil || !n.isVoter(to) {
		return false
	}
	n.transferTo = to
	n.electionElapsed = 0
	n.finishTransfer(to, p)
	return true
}

// BestFollower returns the voter with the highest acknowledged index among the other
// voters in the replicating state, or None.
func (n *Node) BestFollower() uint64 {
	best, match := None, uint64(0)
	for _, v := range n.Voters() {
		p := n.progress[v.Id]
		if v.Learner || v.Id == n.cfg.ID || v.Id == n.voterSet().outgoing || p == nil || p.state != replicating {
			continue
		}
		if best == None || p.match > match {
			best, match = v.Id, p.match
		}
	}
	return best
}

// finishTransfer tells the target of a leadership transfer to start its election
// once it holds the whole log.
func (n *Node) finishTransfer(id uint64, p *progress) {
	if n.transferTo != id || p.match < n.log.last() {
		return
	}
	n.send(&wirepb.RaftMessage{Type: uint32(MsgTimeoutNow), To: id})
}

func (n *Node) handleTimeoutNow(m *wirepb.RaftMessage) {
	if n.role != Follower || n.lead != m.From || !n.isVoter(n.cfg.ID) {
		return
	}
	n.startElection(forcedElection)
}
