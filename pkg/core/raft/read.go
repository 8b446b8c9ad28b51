package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// reads holds the ReadIndex requests of a leader. One round of heartbeats is
// under way at a time; requests that arrive meanwhile share the next one.
type reads struct {
	round   uint64 // number of the last round started
	running []pendingRead
	waiting []pendingRead
	index   uint64 // commit index when the running round started
}

type pendingRead struct {
	from    uint64
	context uint64
}

// ReadIndex asks for an index that covers everything committed before the
// call. The answer is a ReadState with the same context.
func (n *Node) ReadIndex(context uint64) {
	switch {
	case n.role == Leader:
		n.addRead(pendingRead{from: n.cfg.ID, context: context})
	case n.lead != None:
		n.send(&wirepb.RaftMessage{Type: uint32(MsgReadIndex), To: n.lead, Context: context})
	default:
		n.out.ReadStates = append(n.out.ReadStates, ReadState{Context: context, Rejected: true})
	}
}

func (n *Node) handleReadIndex(m *wirepb.RaftMessage) {
	r := pendingRead{from: m.From, context: m.Context}
	if n.role != Leader {
		n.answerRead(r, 0, true)
		return
	}
	n.addRead(r)
}

func (n *Node) handleReadIndexReply(m *wirepb.RaftMessage) {
	n.out.ReadStates = append(n.out.ReadStates, ReadState{Context: m.Context, Index: m.LogIndex, Rejected: m.Reject})
}

func (n *Node) addRead(r pendingRead) {
	n.reads.waiting = append(n.reads.waiting, r)
	n.startRead()
}

// startRead begins a round when none is under way. A new leader waits until it
// committed an entry of its term, because only then its commit index covers
// everything committed before.
func (n *Node) startRead() {
	r := &n.reads
	if len(r.running) > 0 || len(r.waiting) == 0 || !n.committedInTerm() {
		return
	}
	r.round++
	r.running, r.waiting = r.waiting, nil
	r.index = n.log.commit
	n.heartbeatElapsed = 0
	n.broadcastHeartbeat()
	n.finishRead()
}

func (n *Node) acknowledgeRead(p *progress, round uint64) {
	p.readAck = max(p.readAck, round)
	n.finishRead()
}

// finishRead answers the running round once a quorum confirmed that this node
// still was the leader after the round had started.
func (n *Node) finishRead() {
	r := &n.reads
	confirmed := func(id uint64) bool {
		p := n.progress[id]
		return id == n.cfg.ID || (p != nil && p.readAck >= r.round)
	}
	if len(r.running) == 0 || (!n.quorumOf(confirmed) && !n.off.readQuorum) {
		return
	}
	done := r.running
	r.running = nil
	for _, read := range done {
		n.answerRead(read, r.index, false)
	}
	n.startRead()
}

func (n *Node) answerRead(r pendingRead, index uint64, reject bool) {
	if r.from == n.cfg.ID {
		n.out.ReadStates = append(n.out.ReadStates, ReadState{Context: r.context, Index: index, Rejected: reject})
		return
	}
	n.send(&wirepb.RaftMessage{
		Type: uint32(MsgReadIndexReply), To: r.from, Context: r.context, LogIndex: index, Reject: reject,
	})
}

// rejectReads answers the open requests of a leader that stepped down.
func (n *Node) rejectReads() {
	r := &n.reads
	open := append(r.running, r.waiting...)
	r.running, r.waiting = nil, nil
	for _, read := range open {
		n.answerRead(read, 0, true)
	}
}
