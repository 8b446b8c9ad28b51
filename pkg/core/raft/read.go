package raft

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// readQueue holds the ReadIndex requests of a leader. One round of heartbeats runs
// at a time; requests that arrive meanwhile share the next round.
type readQueue struct {
	round   uint64 // number of the last round started
	running []pendingRead
	waiting []pendingRead
	index   uint64 // commit index when the running round started
}

type pendingRead struct {
	from    uint64
	context uint64
}

// ReadIndex requests an index that covers everything committed before the call.
// The result is a ReadState with the same context.
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
		n.replyRead(r, 0, true)
		return
	}
	n.addRead(r)
}

func (n *Node) handleReadIndexReply(m *wirepb.RaftMessage) {
	n.out.ReadStates = append(n.out.ReadStates, ReadState{Context: m.Context, Index: m.LogIndex, Rejected: m.Reject})
}

func (n *Node) addRead(r pendingRead) {
	n.readQueue.waiting = append(n.readQueue.waiting, r)
	n.startReadRound()
}

// startReadRound starts a round unless one is running. A new leader waits until it
// has committed an entry of its term, because only then does its commit index
// cover everything committed before.
func (n *Node) startReadRound() {
	r := &n.readQueue
	if len(r.running) > 0 || len(r.waiting) == 0 || !n.committedInTerm() {
		return
	}
	r.round++
	r.running, r.waiting = r.waiting, nil
	r.index = n.log.commit
	n.heartbeatElapsed = 0
	n.broadcastHeartbeat()
	n.finishReadRound()
}

func (n *Node) acknowledgeRead(p *progress, round uint64) {
	p.readAck = max(p.readAck, round)
	n.finishReadRound()
}

// finishReadRound answers the requests of the running round once a quorum has
// confirmed that this node was still the leader after the round started.
func (n *Node) finishReadRound() {
	r := &n.readQueue
	confirmed := func(id uint64) bool {
		p := n.progress[id]
		return id == n.cfg.ID || (p != nil && p.readAck >= r.round)
	}
	if len(r.running) == 0 || (!n.voterSet().quorumOf(confirmed) && !n.disabled.readQuorum) {
		return
	}
	done := r.running
	r.running = nil
	for _, read := range done {
		n.replyRead(read, r.index, false)
	}
	n.startReadRound()
}

func (n *Node) replyRead(r pendingRead, index uint64, reject bool) {
	if r.from == n.cfg.ID {
		n.out.ReadStates = append(n.out.ReadStates, ReadState{Context: r.context, Index: index, Rejected: reject})
		return
	}
	n.send(&wirepb.RaftMessage{
		Type: uint32(MsgReadIndexReply), To: r.from, Context: r.context, LogIndex: index, Reject: reject,
	})
}

// rejectReads rejects the outstanding requests of a leader that steps down.
func (n *Node) rejectReads() {
	r := &n.readQueue
	outstanding := append(r.running, r.waiting...)
	r.running, r.waiting = nil, nil
	for _, read := range outstanding {
		n.replyRead(read, 0, true)
	}
}
