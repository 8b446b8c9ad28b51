// Package control implements the control process: the replicated state, the
// server for entries, agents and other replicas, the registry of upstreams and
// the admin API.
package control

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Node is the consensus layer of a control replica. It replicates commands and
// confirms linearizable reads.
type Node interface {
	Propose(ctx context.Context, data []byte) (any, error)
	ReadIndex(ctx context.Context) (uint64, error)
	ChangeVoter(ctx context.Context, v *wirepb.Voter, remove bool) error
	ReplaceVoter(ctx context.Context, v *wirepb.Voter, replaced uint64) error
	Step(m *wirepb.RaftMessage)
	InstallSnapshot(meta *wirepb.SnapshotMeta, from, term uint64, data []byte) error
	Status() NodeStatus
	// Snapshot writes a snapshot and returns the log index that it covers.
	Snapshot(ctx context.Context) (uint64, error)
	Close() error
}

// NodeStatus is the state of a node at one time.
type NodeStatus struct {
	ID         uint64
	Role       string
	Term       uint64
	Leader     uint64 // zero when unknown
	Commit     uint64
	Applied    uint64
	Voters     []*wirepb.Voter
	FatalError error // why the node has stopped; a full disk may get room again
}

// leader returns the current leader, or nil if it is unknown.
func (s NodeStatus) leader() *wirepb.Voter { return s.voter(s.Leader) }

func (s NodeStatus) voter(id uint64) *wirepb.Voter {
	for _, v := range s.Voters {
		if id != 0 && v.GetId() == id {
			return v
		}
	}
	return nil
}
