package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// Step handles a message from another node.
func (n *Node) Step(m *wirepb.RaftMessage) {
	if !n.accepts(m) {
		return
	}
	kind := MessageType(m.Type)
	switch {
	case kind == MsgReadIndex:
		n.handleReadIndex(m)
		return
	case kind == MsgReadIndexReply:
		n.handleReadIndexReply(m)
		return
	case m.Term > n.term:
		if !n.raiseTerm(m) {
			return
		}
	case m.Term < n.term:
		n.handleOldTerm(m)
		return
	}
	n.dispatch(kind, m)
}

func (n *Node) dispatch(kind MessageType, m *wirepb.RaftMessage) {
	switch kind {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
	case MsgVote:
		n.handleVote(m)
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// accepts reports whether a message may be handled. It rejects messages to another
// node, from another cluster, from a replaced disk, and from nodes outside the
// configuration. Because the log may lack the entry that added a node, appends and
// heartbeats are accepted from unknown nodes too, and so are vote requests of
// unknown candidates with an up-to-date log.
func (n *Node) accepts(m *wirepb.RaftMessage) bool {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == None {
		return false
	}
	if n.cluster != 0 && m.Cluster != n.cluster {
		return false
	}
	if n.cluster == 0 && !n.adoptCluster(m) {
		return false
	}
	v := findVoter(n.Voters(), m.From)
	if v != nil {
		return v.Member == 0 || v.Member == m.Member
	}
	switch MessageType(m.Type) {
	case MsgAppend, MsgHeartbeat:
		return true
	case MsgPreVote, MsgVote:
		return n.role != Leader && n.log.upToDate(m.LogIndex, m.LogTerm)
	default:
		return false
	}
}

// adoptCluster sets the cluster identity of a joining node from the first leader
// that contacts it. It reports whether the message may be handled.
func (n *Node) adoptCluster(m *wirepb.RaftMessage) bool {
	if m.Cluster == 0 {
		return true
	}
	switch MessageType(m.Type) {
	case MsgAppend, MsgHeartbeat:
		n.cluster = m.Cluster
		n.hardStateDirty = true
		return true
	default:
		return false
	}
}

// raiseTerm adopts the higher term of a message, except for pre-votes and granted
// pre-vote replies. It reports whether the message is to be handled: a vote request
// is dropped within the lease of the leader (see inLease), unless the leader forced
// the election.
func (n *Node) raiseTerm(m *wirepb.RaftMessage) bool {
	switch MessageType(m.Type) {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
		n.becomeFollower(m.Term, None)
	case MsgVote:
		if n.inLease() && m.Context != forcedElection {
			return false
		}
		n.becomeFollower(m.Term, None)
	case MsgAppend, MsgHeartbeat:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

// handleOldTerm replies with the newer term to senders that would otherwise wait
// forever: a leader whose messages this node ignores, and a pre-candidate that
// cannot win.
func (n *Node) handleOldTerm(m *wirepb.RaftMessage) {
	switch MessageType(m.Type) {
	case MsgAppend, MsgHeartbeat:
		n.sendAfterSync(&wirepb.RaftMessage{Type: uint32(MsgAppendReply), To: m.From, Reject: true, LogIndex: m.LogIndex})
	case MsgPreVote:
		n.send(&wirepb.RaftMessage{Type: uint32(MsgPreVoteReply), To: m.From, Reject: true})
	}
}

func (n *Node) becomeFollower(term, lead uint64) {
	if term > n.term {
		n.setHardState(term, None)
	}
	n.setLeader(lead)
	n.transferTo = None
	n.votes = nil
	n.progress = nil
	n.fireEvent(eventStepDown)
	n.rejectReads()
	n.resetElectionTimer()
}
