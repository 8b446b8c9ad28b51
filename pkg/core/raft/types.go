// Package raft is the consensus algorithm of the control replicas as a pure
// state machine: ticks, messages, proposals and acknowledgements of durable
// writes go in, messages, writes, committed entries and read states come out.
// It does no I/O, reads no clock and starts no goroutine.
package raft

import (
	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// MessageType is the type of a wirepb.RaftMessage.
type MessageType uint32

// Types of messages.
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
	MsgBootstrap
	MsgBootstrapReply
)

// Types of log entries.
const (
	EntryCommand uint32 = iota
	EntryVoters
	EntryNoOp
)

// None is the id of no node.
const None uint64 = 0

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote uint64
}

// Write is one batch of changes to make durable, in order of Seq.
type Write struct {
	Seq       uint64
	HardState *HardState           // nil when unchanged
	Snapshot  *wirepb.SnapshotMeta // when set, the log restarts after it
	Entries   []*wirepb.LogEntry   // the first may replace an index written before
}

// ReadState answers one ReadIndex request of this node.
type ReadState struct {
	Context  uint64
	Index    uint64
	Rejected bool // no leader confirmed the read
}

// Output is what the caller has to do after one or more inputs.
type Output struct {
	Messages   []*wirepb.RaftMessage // may be sent at once
	Write      *Write                // nil when nothing is to be written
	Committed  []*wirepb.LogEntry
	ReadStates []ReadState
	// SnapshotTargets lists the followers that need entries older than the log.
	SnapshotTargets []*wirepb.Voter
	// Voters is set when the configuration changed.
	Voters []*wirepb.Voter
}

// Config holds the settings and the durable state of a node.
type Config struct {
	ID      uint64
	Member  uint64
	Cluster uint64

	ElectionTicks  int // least election time-out; the actual one is random up to twice that
	HeartbeatTicks int
	// SnapshotRetryTicks is the time after which an unanswered snapshot is sent again.
	SnapshotRetryTicks int
	MaxAppendBytes     int // bytes of entries in one append message
	MaxInflight        int // unanswered append messages to one follower
	// Random returns a number in [0, n).
	Random func(n int) int

	HardState HardState
	// Snapshot is the newest durable snapshot, or the initial configuration
	// with index 0.
	Snapshot *wirepb.SnapshotMeta
	Entries  []*wirepb.LogEntry
}

// Defaults of the settings, for a tick of 20 ms.
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
