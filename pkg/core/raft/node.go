package raft

import (
	"github.com/looplab/fsm"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Node is one member of a cluster. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	term     uint64
	vote     uint64
	lead     uint64
	cluster  uint64
	role     Role
	machine  *fsm.FSM
	log      *entryLog
	configs  []configAt
	votes    map[uint64]bool
	progress map[uint64]*progress

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	transferTo       uint64

	reads reads

	seq       uint64 // of the last Write handed out
	acked     uint64 // of the last Write known to be durable
	truncSeq  uint64 // first Write after the last truncation
	marks     []writeMark
	gated     []gatedMessage
	hardDirty bool
	snapshot  *wirepb.SnapshotMeta // installed, not yet handed out in a Write

	out Output
	off mechanisms
}

// mechanisms switches single safeguards off, so that tests can show that they
// notice the loss. Only tests set it.
type mechanisms struct {
	preVote, checkQuorum, readQuorum, catchUp, syncGate bool
}

// writeMark remembers what a Write that is not yet durable contains.
type writeMark struct {
	seq  uint64
	last uint64
}

// gatedMessage waits until the Write seq is durable.
type gatedMessage struct {
	seq uint64
	msg *wirepb.RaftMessage
}

// New returns a node that continues from the durable state in cfg.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg:     cfg,
		term:    cfg.HardState.Term,
		vote:    cfg.HardState.Vote,
		cluster: cfg.Cluster,
		role:    Follower,
		machine: newRoleMachine(),
		log:     newEntryLog(cfg.Snapshot, cfg.Entries),
	}
	n.configs = []configAt{{index: cfg.Snapshot.Index, voters: cfg.Snapshot.Voters}}
	for _, e := range cfg.Entries {
		if e.Index > cfg.Snapshot.Index {
			n.noteConfig(e)
		}
	}
	if t := n.log.lastTerm(); t > n.term {
		// The entries became durable and the hard state of the same write did not.
		n.setTerm(t, None)
	}
	n.resetElection()
	n.out.Voters = n.Voters()
	return n
}

// Tick advances the logical clock.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.resetElection()
		n.campaign(n.off.preVote)
	}
}

func (n *Node) tickLeader() {
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferTo = None
		if !n.quorumActive() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	n.tickSnapshots()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// Propose appends commands to the log of the leader. It returns the index of
// the first one and its term, or false when this node cannot take proposals.
func (n *Node) Propose(commands [][]byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTo != None {
		return 0, 0, false
	}
	first := n.log.last() + 1
	for _, data := range commands {
		n.appendLocal(EntryCommand, data)
	}
	n.broadcastAppend()
	return first, n.term, true
}

func (n *Node) appendLocal(kind uint32, data []byte) {
	e := &wirepb.LogEntry{Index: n.log.last() + 1, Term: n.term, Type: kind, Data: data}
	n.log.append(e)
	n.noteConfig(e)
}

// Persisted tells that all writes up to seq are durable.
func (n *Node) Persisted(seq uint64) {
	n.acked = max(n.acked, seq)
	for len(n.marks) > 0 && n.marks[0].seq <= seq {
		mark := n.marks[0]
		n.marks = n.marks[1:]
		if mark.seq >= n.truncSeq {
			n.log.stable = max(n.log.stable, mark.last)
		}
	}
	n.releaseGated()
	n.acknowledgeSelf()
}

// acknowledgeSelf counts the leader's own durable entries.
func (n *Node) acknowledgeSelf() {
	if n.role != Leader {
		return
	}
	own := n.log.stable
	if n.off.syncGate {
		own = n.log.last()
	}
	if p := n.progress[n.cfg.ID]; p != nil && p.acknowledge(own) {
		n.advanceCommit()
	}
}

// TakeOutput returns the pending output and clears it.
func (n *Node) TakeOutput() Output {
	n.acknowledgeSelfWhenUngated()
	n.out.Write = n.takeWrite()
	if n.log.applied < n.log.commit {
		n.out.Committed = n.log.slice(n.log.applied+1, n.log.commit+1, 0)
		n.log.applied = n.log.commit
	}
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) acknowledgeSelfWhenUngated() {
	if n.off.syncGate {
		n.acknowledgeSelf()
	}
}

func (n *Node) takeWrite() *Write {
	if !n.dirty() {
		return nil
	}
	n.seq++
	w := &Write{Seq: n.seq, Snapshot: n.snapshot}
	if n.hardDirty {
		w.HardState = &HardState{Term: n.term, Vote: n.vote}
	}
	last := n.log.last()
	w.Entries = n.log.slice(n.log.unsaved, last+1, 0)
	n.log.unsaved = last + 1
	n.hardDirty = false
	n.snapshot = nil
	n.marks = append(n.marks, writeMark{seq: n.seq, last: last})
	return w
}

func (n *Node) dirty() bool {
	return n.hardDirty || n.snapshot != nil || n.log.unsaved <= n.log.last()
}

// send hands out a message at once.
func (n *Node) send(m *wirepb.RaftMessage) {
	n.stamp(m)
	n.out.Messages = append(n.out.Messages, m)
}

// sendDurable hands out a message once everything it depends on is durable.
func (n *Node) sendDurable(m *wirepb.RaftMessage) {
	n.stamp(m)
	seq := n.seq
	if n.dirty() {
		seq++
	}
	if seq <= n.acked || n.off.syncGate {
		n.out.Messages = append(n.out.Messages, m)
		return
	}
	n.gated = append(n.gated, gatedMessage{seq: seq, msg: m})
}

func (n *Node) stamp(m *wirepb.RaftMessage) {
	m.From = n.cfg.ID
	m.Member = n.cfg.Member
	m.Cluster = n.cluster
	if m.Term == 0 {
		m.Term = n.term
	}
}

func (n *Node) releaseGated() {
	i := 0
	for i < len(n.gated) && n.gated[i].seq <= n.acked {
		n.out.Messages = append(n.out.Messages, n.gated[i].msg)
		i++
	}
	n.gated = n.gated[i:]
}

func (n *Node) setTerm(term, vote uint64) {
	if n.term == term && n.vote == vote {
		return
	}
	n.term = term
	n.vote = vote
	n.hardDirty = true
}

// Compact drops log entries up to index, which a durable snapshot covers. Not
// more than so many entries and bytes before it stay for slow followers.
func (n *Node) Compact(index uint64, entries, bytes int) {
	index = min(index, n.log.applied, n.log.stable)
	n.log.compact(n.log.behind(index, entries, bytes))
}

// TermAt returns the term of a held entry.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Role returns the role.
func (n *Node) Role() Role { return n.role }

// Term returns the term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the known leader, or None.
func (n *Node) Leader() uint64 { return n.lead }

// Cluster returns the identity of the cluster, or zero before it is known.
func (n *Node) Cluster() uint64 { return n.cluster }

// Last returns the index of the last entry.
func (n *Node) Last() uint64 { return n.log.last() }

// Commit returns the highest committed index that is known.
func (n *Node) Commit() uint64 { return n.log.commit }

// Stable returns the last index known to be durable here.
func (n *Node) Stable() uint64 { return n.log.stable }
