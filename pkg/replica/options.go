package replica

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/raft"
	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wal"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// StateMachine is the replicated state. Its methods are called from a single
// goroutine, separate from the one that sends heartbeats.
type StateMachine interface {
	// Apply applies a command. Its result must depend only on the earlier calls.
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Transport carries messages to other replicas. Its methods must not block. It may
// lose, duplicate and reorder messages.
type Transport interface {
	Send(msgs []*wirepb.RaftMessage)
	SendSnapshot(to *wirepb.Voter, meta *wirepb.SnapshotMeta, data []byte)
	SetVoters(voters []*wirepb.Voter)
}

// Options configures a replica. Zero values select the defaults.
type Options struct {
	ID  uint64
	Dir string
	// Bootstrap is the initial configuration, used only when Dir is empty. The cluster
	// is bootstrapped only after every listed voter has replied to a bootstrap request.
	Bootstrap []*wirepb.Voter
	// Join makes a replica with an empty Dir wait until ChangeVoter adds it to an
	// existing cluster. Its ID must never have been used before.
	Join         bool
	StateMachine StateMachine
	Transport    Transport
	Log          logs.Logger

	TickInterval      time.Duration
	ElectionTimeout   time.Duration // minimum; the actual one is random up to twice that
	HeartbeatInterval time.Duration
	SegmentBytes      int // size at which a log segment is sealed
	SnapshotEntries   int // entries applied between two snapshots
	SnapshotBytes     int // bytes of entries applied between two snapshots
	// TrailingEntries and TrailingBytes limit the entries before a snapshot that remain in
	// memory for slow followers.
	TrailingEntries int
	TrailingBytes   int
	// MaxProposalBytes limits a proposal so that its append message fits in a frame.
	MaxProposalBytes    int
	MaxPendingProposals int // proposals waiting to be committed
	// SyncStallTimeout is the time without progress of a log write after which a
	// leader transfers its leadership.
	SyncStallTimeout time.Duration

	FS     wal.FS
	Random func(n int) int
	// Ticks replaces the ticker in tests.
	Ticks <-chan time.Time
}

// Default values of Options.
const (
	DefaultTickInterval        = 20 * time.Millisecond
	DefaultElectionTimeout     = 200 * time.Millisecond
	DefaultHeartbeatInterval   = 40 * time.Millisecond
	DefaultSnapshotEntries     = 10_000
	DefaultTrailingEntries     = 2_000
	DefaultTrailingBytes       = 8 << 20
	DefaultMaxProposalBytes    = 512 << 10
	DefaultMaxPendingProposals = 8192
	DefaultSnapshotBytes       = 32 << 20
	DefaultSyncStallTimeout    = 2 * time.Second
)

func (o *Options) setDefaults() error {
	switch {
	case o.ID == raft.None:
		return fault.New(fault.Invalid, "replica ID must not be zero").WithField("id")
	case o.StateMachine == nil || o.Transport == nil:
		return fault.New(fault.Invalid, "replica requires a state machine and a transport")
	}
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	defaults.Set(&o.TickInterval, DefaultTickInterval)
	defaults.Set(&o.ElectionTimeout, DefaultElectionTimeout)
	defaults.Set(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	defaults.Set(&o.SegmentBytes, wal.DefaultSegmentBytes)
	defaults.Set(&o.SnapshotEntries, DefaultSnapshotEntries)
	defaults.Set(&o.TrailingEntries, DefaultTrailingEntries)
	defaults.Set(&o.TrailingBytes, DefaultTrailingBytes)
	defaults.Set(&o.MaxProposalBytes, DefaultMaxProposalBytes)
	defaults.Set(&o.MaxPendingProposals, DefaultMaxPendingProposals)
	defaults.Set(&o.SnapshotBytes, DefaultSnapshotBytes)
	defaults.Set(&o.SyncStallTimeout, DefaultSyncStallTimeout)
	if o.Random == nil {
		o.Random = randomInt
	}
	return nil
}
