package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// InstallSnapshot handles a snapshot that the leader sent. It reports whether the
// snapshot replaced the log: the caller must then restore its state machine from
// it, and the snapshot becomes part of the next Write.
func (n *Node) InstallSnapshot(meta *wirepb.SnapshotMeta, from, term uint64) bool {
	if term < n.term || (n.cluster != 0 && meta.Cluster != n.cluster) || from == n.cfg.ID {
		return false
	}
	if n.role == Leader && term == n.term {
		return false
	}
	if term > n.term {
		n.becomeFollower(term, from)
	}
	n.acceptLeader(&wirepb.RaftMessage{From: from})
	if meta.Index <= n.log.commit {
		n.confirmSnapshot(from, n.log.commit)
		return false
	}
	if n.log.matches(meta.Index, meta.Term) {
		n.commitTo(meta.Index)
		n.confirmSnapshot(from, meta.Index)
		return false
	}
	n.replaceLog(meta)
	n.confirmSnapshot(from, meta.Index)
	return true
}

func (n *Node) replaceLog(meta *wirepb.SnapshotMeta) {
	if n.cluster == 0 {
		n.cluster = meta.Cluster
		n.hardStateDirty = true
	}
	n.log.reset(meta)
	n.truncSeq = n.seq + 1
	n.snapshot = meta
	n.voterSets = []votersAt{newVotersAt(meta.Index, meta.Voters)}
	n.votersChanged()
}

func (n *Node) confirmSnapshot(to, index uint64) {
	n.sendAfterSync(&wirepb.RaftMessage{Type: uint32(MsgAppendReply), To: to, LogIndex: index})
}
