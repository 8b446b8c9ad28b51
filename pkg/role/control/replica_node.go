package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replica"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ReplicaOptions configure the Raft replica of a control process.
type ReplicaOptions struct {
	ID                uint64
	Dir               string
	Bootstrap         []*wirepb.Voter
	Join              bool
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SnapshotEntries   int
	Log               logs.Logger
}

// ReplicaOpener returns a function for Options.OpenNode that opens the
// replica.
func ReplicaOpener(o ReplicaOptions) func(*StateMachine, *replicalink.Transport) (Node, error) {
	return func(m *StateMachine, t *replicalink.Transport) (Node, error) {
		r, err := replica.Open(replica.Options{
			ID:                o.ID,
			Dir:               o.Dir,
			Bootstrap:         o.Bootstrap,
			Join:              o.Join,
			StateMachine:      m,
			Transport:         t,
			Log:               o.Log,
			ElectionTimeout:   o.ElectionTimeout,
			HeartbeatInterval: o.HeartbeatInterval,
			SnapshotEntries:   o.SnapshotEntries,
		})
		if err != nil {
			return nil, err
		}
		return replicaNode{r}, nil
	}
}

// replicaNode adapts a replica to Node.
type replicaNode struct{ *replica.Replica }

// Status implements Node.
func (r replicaNode) Status() NodeStatus {
	s := r.Replica.Status()
	return NodeStatus{
		ID:         s.ID,
		Role:       string(s.Role),
		Term:       s.Term,
		Leader:     s.Leader,
		Commit:     s.Commit,
		Applied:    s.Applied,
		Voters:     s.Voters,
		FatalError: s.FatalError,
	}
}

// Snapshot implements Node. It fails if the replica offers no method to take a
// snapshot on request.
func (r replicaNode) Snapshot(ctx context.Context) (uint64, error) {
	on, ok := any(r.Replica).(interface {
		Snapshot(context.Context) (uint64, error)
	})
	if !ok {
		err := fault.New(fault.NotFound, "this replica takes snapshots only by itself")
		return 0, err.WithOutcome(fault.NotRun)
	}
	return on.Snapshot(ctx)
}
