package raft

import (
	"slices"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func (n *Node) broadcastAppend() {
	for _, v := range n.Voters() {
		n.sendAppends(v.Id, false)
	}
	n.acknowledgeSelf()
}

// sendAppends sends the entries that the follower lacks, as far as the in-flight
// limit allows. With force it sends at least an empty append, whose reply tells how
// far the follower's log matches.
func (n *Node) sendAppends(id uint64, force bool) {
	p := n.progress[id]
	if p == nil || id == n.cfg.ID {
		return
	}
	for !p.blocked(n.cfg.MaxInflight) && (force || p.next <= n.log.last()) {
		force = false
		if !n.sendAppend(id, p) {
			return
		}
	}
}

func (n *Node) sendAppend(id uint64, p *progress) bool {
	prevTerm, held := n.log.term(p.next - 1)
	if !held {
		n.requestSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.last()+1, n.cfg.MaxAppendBytes)
	n.send(&wirepb.RaftMessage{
		Type: uint32(MsgAppend), To: id, LogIndex: p.next - 1, LogTerm: prevTerm,
		Commit: n.log.commit, Entries: entries,
	})
	p.sent(p.next+uint64(len(entries))-1, len(entries))
	return true
}

func (n *Node) requestSnapshot(id uint64, p *progress) {
	p.state = snapshotting
	p.snapshotTicks = 0
	p.inflight = nil
	n.out.SnapshotTargets = append(n.out.SnapshotTargets, findVoter(n.Voters(), id))
}

// tickSnapshots sends an append to each follower that did not confirm its snapshot
// within SnapshotRetryTicks. A follower that still needs a snapshot is listed in
// Output.SnapshotTargets again.
func (n *Node) tickSnapshots() {
	for id, p := range n.progress {
		if p.state != snapshotting {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= n.cfg.SnapshotRetryTicks {
			p.probe()
			n.sendAppends(id, true)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, v := range n.Voters() {
		if v.Id == n.cfg.ID {
			continue
		}
		p := n.progress[v.Id]
		m := &wirepb.RaftMessage{
			Type: uint32(MsgHeartbeat), To: v.Id, Context: n.readQueue.round,
			Commit: min(n.log.commit, p.match),
		}
		if v.Learner && p.match == 0 {
			// A joining node needs the addresses to reply before it holds any entry.
			m.Snapshot = &wirepb.SnapshotMeta{Voters: n.Voters()}
		}
		n.send(m)
	}
}

// senderProgress marks the sender of a reply as active and returns its progress, or
// nil if this node is not the leader or does not know the sender.
func (n *Node) senderProgress(m *wirepb.RaftMessage) *progress {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return nil
	}
	if p.member != 0 && p.member != m.Member {
		p.reset(n.log.last())
	}
	p.member = m.Member
	p.active = true
	return p
}

func (n *Node) handleAppendReply(m *wirepb.RaftMessage) {
	p := n.senderProgress(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	if m.LogIndex > n.log.last() {
		return
	}
	advanced := p.acknowledge(m.LogIndex)
	if p.state == probing || (p.state == snapshotting && p.match >= n.log.base) {
		p.replicate()
	}
	if advanced {
		n.advanceCommit()
	}
	n.afterAck(m.From, p)
}

func (n *Node) afterAck(id uint64, p *progress) {
	if n.role != Leader {
		return
	}
	n.promote(id, p)
	n.finishTransfer(id, p)
	n.sendAppends(id, false)
}

func (n *Node) handleReject(m *wirepb.RaftMessage, p *progress) {
	switch {
	case p.state == snapshotting, m.LogIndex <= p.match && p.match > 0:
		return
	case p.state == probing && m.LogIndex != p.next-1:
		return // reply to an earlier append
	}
	hint, _ := n.log.conflictHint(m.RejectHint, m.LogTerm)
	if hint < n.log.base {
		hint = m.RejectHint
	}
	p.state = probing
	p.next = max(min(m.LogIndex, hint+1), p.match+1)
	p.paused = false
	p.inflight = nil
	n.sendAppends(m.From, true)
}

func (n *Node) handleHeartbeatReply(m *wirepb.RaftMessage) {
	p := n.senderProgress(m)
	if p == nil {
		return
	}
	n.acknowledgeRead(p, m.Context)
	if p.match >= n.log.last() || p.state == snapshotting {
		n.afterAck(m.From, p)
		return
	}
	// An append or its reply may have been lost. The reply to another append tells
	// how far the follower's log matches.
	p.paused = false
	if len(p.inflight) >= n.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	n.sendAppends(m.From, true)
}

// advanceCommit raises the commit index to the highest index that a quorum holds
// durably, if the entry there is of the current term.
func (n *Node) advanceCommit() {
	index := n.quorumMatch()
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	n.startReadRound()
	if !n.isVoter(n.cfg.ID) && n.voterSet().index <= index {
		n.broadcastCommit()
		n.becomeFollower(n.term, None)
		return
	}
	n.completeReplacement()
	n.promoteAll()
	n.broadcastCommit()
}

// broadcastCommit sends the commit index to the followers in the replicating state,
// along with pending entries or in an empty append.
func (n *Node) broadcastCommit() {
	for _, v := range n.Voters() {
		p := n.progress[v.Id]
		if p != nil && p.state == replicating {
			n.sendAppends(v.Id, true)
		}
	}
}

func (n *Node) promoteAll() {
	for _, v := range n.Voters() {
		if v.Learner {
			n.promote(v.Id, n.progress[v.Id])
		}
	}
}

// quorumMatch returns the highest index that a quorum holds durably.
func (n *Node) quorumMatch() uint64 {
	c := n.voterSet()
	match := n.majorityMatch(c.incoming)
	if c.isJoint() {
		match = min(match, n.majorityMatch(c.outgoing))
	}
	return match
}

// majorityMatch returns the highest index that a majority of the voters but the
// excluded one holds durably.
func (n *Node) majorityMatch(excluded uint64) uint64 {
	var matches []uint64
	for _, v := range n.Voters() {
		if !v.Learner && v.Id != excluded {
			matches = append(matches, n.progress[v.Id].match)
		}
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}

// committedInTerm reports whether the leader has committed an entry of its term.
// Only then does its commit index cover everything committed in earlier terms.
func (n *Node) committedInTerm() bool { return n.log.matches(n.log.commit, n.term) }
