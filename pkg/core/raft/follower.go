package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

func (n *Node) handleAppend(m *wirepb.RaftMessage) {
	if !n.acceptLeader(m) {
		return
	}
	reply := &wirepb.RaftMessage{Type: uint32(MsgAppendReply), To: m.From}
	if m.LogIndex < n.log.commit && !n.log.matches(m.LogIndex, m.LogTerm) {
		// Committed entries are never replaced. The reply makes the leader continue
		// after them.
		reply.LogIndex = n.log.commit
		n.sendAfterSync(reply)
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.RejectHint, reply.LogTerm = n.log.conflictHint(m.LogIndex, m.LogTerm)
		n.send(reply)
		return
	}
	last, ok := n.appendNew(m)
	if !ok {
		return
	}
	n.commitTo(min(m.Commit, last))
	reply.LogIndex = last
	n.sendAfterSync(reply)
}

// appendNew adds the entries that the log lacks and removes those that conflict.
// It returns the last index that now matches the leader's log, or false if the
// message is invalid.
func (n *Node) appendNew(m *wirepb.RaftMessage) (uint64, bool) {
	last := m.LogIndex + uint64(len(m.Entries))
	if !contiguous(m) {
		return 0, false
	}
	for i, e := range m.Entries {
		if n.log.matches(e.Index, e.Term) || e.Index <= n.log.base {
			continue
		}
		if e.Index <= n.log.commit {
			return 0, false
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.truncSeq = n.seq + 1
			n.revertVoters(e.Index)
		}
		for _, added := range m.Entries[i:] {
			n.log.append(added)
			n.activateVoters(added)
		}
		break
	}
	return last, true
}

func contiguous(m *wirepb.RaftMessage) bool {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+uint64(i)+1 {
			return false
		}
	}
	return true
}

func (n *Node) handleHeartbeat(m *wirepb.RaftMessage) {
	if !n.acceptLeader(m) {
		return
	}
	if len(n.Voters()) == 0 && m.Snapshot != nil {
		n.out.Voters = m.Snapshot.Voters
	}
	// The leader sends a commit index up to which this node ID has confirmed the
	// log, but it may have done so with another data directory, so the log may be
	// shorter.
	n.commitTo(min(m.Commit, n.log.last()))
	n.send(&wirepb.RaftMessage{Type: uint32(MsgHeartbeatReply), To: m.From, Context: m.Context})
}

// acceptLeader accepts the sender as the leader of the current term, and reports
// false if the term has another leader.
func (n *Node) acceptLeader(m *wirepb.RaftMessage) bool {
	if n.role == Leader || (n.lead != None && n.lead != m.From) {
		return false // a term has one leader, so the message is invalid
	}
	if n.role != Follower {
		n.becomeFollower(n.term, m.From)
	}
	n.setLeader(m.From)
	n.electionElapsed = 0
	return true
}

func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }
