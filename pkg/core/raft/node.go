package raft

import (
	"github.com/looplab/fsm"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Node is one node of a cluster. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	term      uint64
	vote      uint64
	lead      uint64
	cluster   uint64
	role      Role
	roleFSM   *fsm.FSM
	log       *entryLog
	voterSets []votersAt
	votes     map[uint64]bool
	progress  map[uint64]*progress

	electionElapsed  int
	electionTimeout  int
	leaderTerm       uint64 // highest term with a known leader; at the start, the term of the hard state
	heartbeatElapsed int
	transferTo       uint64

	readQueue readQueue

	seq            uint64 // Seq of the last Write returned
	persistedSeq   uint64 // Seq of the last Write known to be durable
	truncSeq       uint64 // Seq of the first Write after the last truncation
	pendingWrites  []pendingWrite
	deferred       []deferredMessage
	hardStateDirty bool
	snapshot       *wirepb.SnapshotMeta // installed, but not yet part of a Write

	out      Output
	disabled disabledSafeguards
}

// disabledSafeguards selects safeguards to switch off, so that tests can check that
// they detect a missing one. Only tests set it.
type disabledSafeguards struct {
	preVote, checkQuorum, readQuorum, learnerCatchUp, syncBeforeSend, jointReplacement bool
}

// pendingWrite describes a Write that is not yet durable.
type pendingWrite struct {
	seq  uint64
	last uint64 // index of the last log entry at the time of the Write
}

// deferredMessage is a message to send once the Write seq is durable.
type deferredMessage struct {
	seq uint64
	msg *wirepb.RaftMessage
}

// New returns a node that continues from the durable state in cfg.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg:        cfg,
		term:       cfg.HardState.Term,
		leaderTerm: cfg.HardState.Term,
		vote:       cfg.HardState.Vote,
		cluster:    cfg.Cluster,
		role:       Follower,
		roleFSM:    newRoleFSM(),
		log:        newEntryLog(cfg.Snapshot, cfg.Entries),
	}
	n.voterSets = []votersAt{newVotersAt(cfg.Snapshot.Index, cfg.Snapshot.Voters)}
	for _, e := range cfg.Entries {
		if e.Index > cfg.Snapshot.Index {
			n.activateVoters(e)
		}
	}
	if t := n.log.lastTerm(); t > n.term {
		// Before a crash, the entries of a write became durable but not its hard state.
		n.setHardState(t, None)
	}
	n.resetElectionTimer()
	n.out.Voters = n.Voters()
	return n
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout<<n.electionBackoff() {
		n.resetElectionTimer()
		n.campaign(n.disabled.preVote)
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

// Propose appends commands to the log. It returns the index of the first command
// and its term, or false if this node is not the leader or is transferring its
// leadership.
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
	n.activateVoters(e)
}

// Persisted records that all writes up to seq are durable.
func (n *Node) Persisted(seq uint64) {
	n.persistedSeq = max(n.persistedSeq, seq)
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].seq <= seq {
		durable := n.pendingWrites[0]
		n.pendingWrites = n.pendingWrites[1:]
		if durable.seq >= n.truncSeq {
			n.log.stable = max(n.log.stable, durable.last)
		}
	}
	n.releaseDeferred()
	n.acknowledgeSelf()
}

// acknowledgeSelf counts the leader's own durable entries towards the quorum.
func (n *Node) acknowledgeSelf() {
	if n.role != Leader {
		return
	}
	own := n.log.stable
	if n.disabled.syncBeforeSend {
		own = n.log.last()
	}
	if p := n.progress[n.cfg.ID]; p != nil && p.acknowledge(own) {
		n.advanceCommit()
	}
}

// TakeOutput returns the pending output and clears it.
func (n *Node) TakeOutput() Output {
	n.acknowledgeSelfWithoutSync()
	n.out.Write = n.takeWrite()
	if n.log.applied < n.log.commit {
		n.out.Committed = n.log.slice(n.log.applied+1, n.log.commit+1, 0)
		n.log.applied = n.log.commit
	}
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) acknowledgeSelfWithoutSync() {
	if n.disabled.syncBeforeSend {
		n.acknowledgeSelf()
	}
}

func (n *Node) takeWrite() *Write {
	if !n.dirty() {
		return nil
	}
	n.seq++
	w := &Write{Seq: n.seq, Snapshot: n.snapshot}
	if n.hardStateDirty {
		w.HardState = &HardState{Term: n.term, Vote: n.vote}
	}
	last := n.log.last()
	w.Entries = n.log.slice(n.log.nextWrite, last+1, 0)
	n.log.nextWrite = last + 1
	n.hardStateDirty = false
	n.snapshot = nil
	n.pendingWrites = append(n.pendingWrites, pendingWrite{seq: n.seq, last: last})
	return w
}

func (n *Node) dirty() bool {
	return n.hardStateDirty || n.snapshot != nil || n.log.nextWrite <= n.log.last()
}

// send adds a message that may be sent immediately to the output.
func (n *Node) send(m *wirepb.RaftMessage) {
	n.setHeader(m)
	n.out.Messages = append(n.out.Messages, m)
}

// sendAfterSync adds a message to the output once all state changes made so
// far are durable.
func (n *Node) sendAfterSync(m *wirepb.RaftMessage) {
	n.setHeader(m)
	seq := n.seq
	if n.dirty() {
		seq++
	}
	if seq <= n.persistedSeq || n.disabled.syncBeforeSend {
		n.out.Messages = append(n.out.Messages, m)
		return
	}
	n.deferred = append(n.deferred, deferredMessage{seq: seq, msg: m})
}

func (n *Node) setHeader(m *wirepb.RaftMessage) {
	m.From = n.cfg.ID
	m.Member = n.cfg.Member
	m.Cluster = n.cluster
	if m.Term == 0 {
		m.Term = n.term
	}
}

func (n *Node) releaseDeferred() {
	i := 0
	for i < len(n.deferred) && n.deferred[i].seq <= n.persistedSeq {
		n.out.Messages = append(n.out.Messages, n.deferred[i].msg)
		i++
	}
	n.deferred = n.deferred[i:]
}

func (n *Node) setHardState(term, vote uint64) {
	if n.term == term && n.vote == vote {
		return
	}
	n.term = term
	n.vote = vote
	n.hardStateDirty = true
}

// Compact drops log entries up to index, which a durable snapshot must cover. For
// slow followers it retains the newest of these entries, until there are entries of
// them or their data reaches bytes.
func (n *Node) Compact(index uint64, entries, bytes int) {
	index = min(index, n.log.applied, n.log.stable)
	n.log.compact(n.log.compactionIndex(index, entries, bytes))
}

// TermAt returns the term of the entry at index, or false if the log does not
// hold it.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the ID of the leader of the current term, or None if it is
// unknown.
func (n *Node) Leader() uint64 { return n.lead }

// Cluster returns the identity of the cluster, or 0 before it is known.
func (n *Node) Cluster() uint64 { return n.cluster }

// Last returns the index of the last log entry.
func (n *Node) Last() uint64 { return n.log.last() }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.log.commit }

// Stable returns the last index known to be durable on this node.
func (n *Node) Stable() uint64 { return n.log.stable }
