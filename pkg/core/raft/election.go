package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// forcedElection marks the vote requests of an election that the leader asked
// for; voters grant them although they hear the leader.
const forcedElection uint64 = 1

// resetElection starts a new random time-out in [ElectionTicks, 2*ElectionTicks).
func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Random(n.cfg.ElectionTicks)
}

// inLease reports whether the leader was heard within the least election
// time-out, so that an election would only disturb it.
func (n *Node) inLease() bool {
	if n.off.checkQuorum {
		return false
	}
	return n.role == Leader || (n.lead != None && n.electionElapsed < n.cfg.ElectionTicks)
}

// mayCampaign reports whether this node is a voter, or is one until its
// removal is committed: it may be the only node whose log holds the removal,
// and then no other could win.
func (n *Node) mayCampaign() bool {
	v := findVoter(n.VotersAt(n.log.commit), n.cfg.ID)
	if v != nil && v.Member != 0 && v.Member != n.cfg.Member {
		return false // the others know this id with another disk
	}
	return n.isVoter(n.cfg.ID) || (v != nil && !v.Learner)
}

// campaign starts with a pre-vote unless skipPreVote is set.
func (n *Node) campaign(skipPreVote bool) {
	if !n.mayCampaign() {
		return
	}
	n.lead = None
	if skipPreVote {
		n.stand(0)
		return
	}
	n.move(eventProbe)
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.countVotes() > 0 {
		n.stand(0)
		return
	}
	n.requestVotes(MsgPreVote, n.term+1, 0)
}

func (n *Node) stand(flag uint64) {
	n.lead = None
	n.setTerm(n.term+1, n.cfg.ID)
	n.move(eventStand)
	n.resetElection()
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.countVotes() > 0 {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term, flag)
}

func (n *Node) requestVotes(kind MessageType, term, flag uint64) {
	for _, v := range n.Voters() {
		if v.Learner || v.Id == n.cfg.ID {
			continue
		}
		m := &wirepb.RaftMessage{
			Type: uint32(kind), To: v.Id, Term: term, Context: flag,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		}
		if kind == MsgPreVote {
			n.send(m)
			continue
		}
		// The candidate's vote for itself must be durable before others count.
		n.sendDurable(m)
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
		return // answer to an earlier round
	}
	n.votes[m.From] = !m.Reject
	switch n.countVotes() {
	case 1:
		n.stand(0)
	case -1:
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) handleVote(m *wirepb.RaftMessage) {
	free := n.vote == m.From || (n.vote == None && n.lead == None)
	grant := free && n.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		n.setTerm(n.term, m.From)
		n.electionElapsed = 0
	}
	n.sendDurable(&wirepb.RaftMessage{Type: uint32(MsgVoteReply), To: m.From, Reject: !grant})
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

// countVotes returns 1 when a quorum granted its vote, -1 when a quorum can no
// longer be reached, and 0 otherwise.
func (n *Node) countVotes() int {
	granted, refused, voters := 0, 0, 0
	for _, v := range n.Voters() {
		if v.Learner {
			continue
		}
		voters++
		vote, known := n.votes[v.Id]
		switch {
		case known && vote:
			granted++
		case known:
			refused++
		}
	}
	quorum := voters/2 + 1
	switch {
	case granted >= quorum:
		return 1
	case refused > voters-quorum:
		return -1
	default:
		return 0
	}
}

func (n *Node) becomeLeader() {
	n.move(eventWin)
	n.lead = n.cfg.ID
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.votes = nil
	n.progress = map[uint64]*progress{}
	n.trackFollowers()
	n.appendLocal(EntryNoOp, nil)
	n.broadcastAppend()
}

// quorumActive reports whether a quorum answered since the last check.
func (n *Node) quorumActive() bool {
	if n.off.checkQuorum {
		return true
	}
	active := func(id uint64) bool {
		p := n.progress[id]
		return id == n.cfg.ID || (p != nil && p.active)
	}
	ok := n.quorumOf(active)
	for _, p := range n.progress {
		p.active = false
	}
	return ok
}

// TransferLeader asks a voter to take over. It reports whether the transfer
// was started; it is given up after one election time-out.
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

// BestFollower returns the voter that holds most of the log and answered
// lately, or None.
func (n *Node) BestFollower() uint64 {
	best, match := None, uint64(0)
	for _, v := range n.Voters() {
		p := n.progress[v.Id]
		if v.Learner || v.Id == n.cfg.ID || p == nil || p.state != replicating {
			continue
		}
		if best == None || p.match > match {
			best, match = v.Id, p.match
		}
	}
	return best
}

// finishTransfer lets the chosen voter start its election once it holds the
// whole log.
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
	n.stand(forcedElection)
}
