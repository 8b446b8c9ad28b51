// Package raft implements the Raft consensus algorithm as a pure state machine. Its
// inputs are ticks, messages, proposals and acknowledgements of durable writes; its
// outputs are messages, writes, committed entries and read states. It does no I/O,
// reads no clock and starts no goroutine.
package raft

import (
	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// MessageType is the type of a wirepb.RaftMessage.
type MessageType uint32

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgReadIndex
	MsgReadIndexReply
	MsgTimeoutNow
	// Bootstrap messages carry the fingerprint of the initial voters in LogTerm. A reply
	// carries the member ID of the request in Context.
	MsgBootstrap
	MsgBootstrapReply
)

// Log entry types.
const (
	EntryCommand uint32 = iota
	EntryVoters
	EntryNoOp
)

// None is the node ID that stands for no node.
const None uint64 = 0

// HardState is the term and the vote of a node. It must be durable before a
// message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote uint64
}

// Write is a batch of changes to make durable. Writes are applied in the order of
// Seq.
type Write struct {
	Seq       uint64
	HardState *HardState           // nil if unchanged; if set, Node.Cluster must be stored with it
	Snapshot  *wirepb.SnapshotMeta // if set, replaces the stored log
	Entries   []*wirepb.LogEntry   // replace the stored entries from Entries[0].Index on
}

// ReadState is the result of one ReadIndex request of this node.
type ReadState struct {
	Context  uint64
	Index    uint64
	Rejected bool // no leader confirmed the read
}

// Output is the work that the caller has to carry out after one or more inputs.
type Output struct {
	Messages   []*wirepb.RaftMessage // may be sent immediately
	Write      *Write                // nil if there is nothing to write
	Committed  []*wirepb.LogEntry
	ReadStates []ReadState
	// SnapshotTargets lists the followers that need a snapshot, because the log no
	// longer holds the entries that they lack.
	SnapshotTargets []*wirepb.Voter
	// Voters is the configuration, learners included, if it changed; otherwise nil.
	Voters []*wirepb.Voter
}

// Config holds the settings and the durable state of a node.
type Config struct {
	ID      uint64
	Member  uint64 // identity of the node's disk; a replaced disk has another one
	Cluster uint64 // identity of the cluster; 0 until a joining node learns it

	ElectionTicks  int // minimum election timeout; the actual one is random up to twice that
	HeartbeatTicks int
	// SnapshotRetryTicks is the time after which an unconfirmed snapshot is sent again.
	SnapshotRetryTicks int
	MaxAppendBytes     int // limit on the size of the entries in one append message
	MaxInflight        int // limit on unacknowledged append messages to one follower
	// Random returns a number in [0, n).
	Random func(n int) int

	HardState HardState
	// Snapshot is the newest durable snapshot, or the initial configuration
	// with index 0.
	Snapshot *wirepb.SnapshotMeta
	Entries  []*wirepb.LogEntry
}

// Default settings, for a tick of 20 ms.
const (
	DefaultElectionTicks      = 10
	DefaultHeartbeatTicks     = 2
	DefaultSnapshotRetryTicks = 150
	DefaultMaxAppendBytes     = 256 << 10
	DefaultMaxInflight        = 64
)

func (c *Config) setDefaults() {
	defaults.Set(&c.ElectionTicks, DefaultElectionTicks)
	defaults.Set(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	defaults.Set(&c.SnapshotRetryTicks, DefaultSnapshotRetryTicks)
	defaults.Set(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	defaults.Set(&c.MaxInflight, DefaultMaxInflight)
	if c.Snapshot == nil {
		c.Snapshot = &wirepb.SnapshotMeta{}
	}
}
