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

// accepts refuses messages for another node, from another cluster, from a
// replaced disk, and from nodes outside the configuration. A leader may be
// unknown to a follower whose log lacks the entry that added it, so requests
// of leaders and candidates pass here and are judged by their own rules.
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

// adoptCluster takes the identity of the cluster from the first leader that
// contacts a joining node.
func (n *Node) adoptCluster(m *wirepb.RaftMessage) bool {
	if m.Cluster == 0 {
		return true
	}
	switch MessageType(m.Type) {
	case MsgAppend, MsgHeartbeat:
		n.cluster = m.Cluster
		n.hardDirty = true
		return true
	default:
		return false
	}
}

// raiseTerm follows a higher term, unless the message must not disturb a
// cluster that has a leader. It reports whether to go on with the message.
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

// handleOldTerm tells the sender about the newer term where it would
// otherwise wait forever: a leader that a node with a higher term ignores, and
// a pre-candidate that cannot win.
func (n *Node) handleOldTerm(m *wirepb.RaftMessage) {
	switch MessageType(m.Type) {
	case MsgAppend, MsgHeartbeat:
		n.sendDurable(&wirepb.RaftMessage{Type: uint32(MsgAppendReply), To: m.From, Reject: true, LogIndex: m.LogIndex})
	case MsgPreVote:
		n.send(&wirepb.RaftMessage{Type: uint32(MsgPreVoteReply), To: m.From, Reject: true})
	}
}

func (n *Node) becomeFollower(term, lead uint64) {
	if term > n.term {
		n.setTerm(term, None)
	}
	n.lead = lead
	n.transferTo = None
	n.votes = nil
	n.progress = nil
	n.move(eventStepDown)
	n.rejectReads()
	n.resetElection()
}
