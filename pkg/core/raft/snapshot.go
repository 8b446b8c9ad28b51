package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// InstallSnapshot replaces the log by a snapshot that the leader sent. It
// reports whether the caller must restore its state machine from it; the
// snapshot becomes part of the next Write.
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
	n.followLeader(&wirepb.RaftMessage{From: from})
	if meta.Index <= n.log.commit {
		n.confirmSnapshot(from, n.log.commit)
		return false
	}
	if n.log.matches(meta.Index, meta.Term) {
		n.commitTo(meta.Index)
		n.confirmSnapshot(from, meta.Index)
		return false
	}
	n.installed(meta)
	n.confirmSnapshot(from, meta.Index)
	return true
}

func (n *Node) installed(meta *wirepb.SnapshotMeta) {
	if n.cluster == 0 {
		n.cluster = meta.Cluster
		n.hardDirty = true
	}
	n.log.reset(meta)
	n.truncSeq = n.seq + 1
	n.snapshot = meta
	n.configs = []configAt{{index: meta.Index, voters: meta.Voters}}
	n.configChanged()
}

func (n *Node) confirmSnapshot(to, index uint64) {
	n.sendDurable(&wirepb.RaftMessage{Type: uint32(MsgAppendReply), To: to, LogIndex: index})
}
