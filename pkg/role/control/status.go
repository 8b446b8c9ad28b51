package control

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxConfirmationAge is the longest time since the last confirmation by a quorum
// for which the replica is ready.
const maxConfirmationAge = 2 * time.Second

// Status returns the state of this replica and the reports of the others. It
// needs no quorum.
func (c *Control) Status(context.Context) (*operators.StatusReply, error) {
	node := c.node.Status()
	reply := &operators.StatusReply{
		ID:                 node.ID,
		Host:               c.opts.Host,
		Role:               node.Role,
		Term:               node.Term,
		Leader:             node.Leader,
		CommitIndex:        node.Commit,
		AppliedIndex:       node.Applied,
		Current:            c.barrier.confirmedWithin(maxConfirmationAge),
		LiveEntryProcesses: c.liveEntries(),
		Replicas:           c.replicaStatus(node),
	}
	upstreams := c.registry.List()
	c.machine.Read(func(s *state.Store) {
		reply.Revision = s.Revision()
		reply.Claims = s.Counts().Claims
		registered := make(map[string]bool, len(upstreams))
		for _, u := range upstreams {
			host := u.announcement.GetHost()
			orders := s.OrderState(host)
			registered[host] = true
			reply.Upstreams = append(reply.Upstreams, operators.UpstreamStatus{
				Announcement: operators.Announcement{Value: u.announcement},
				State:        u.state,
				OrderEpoch:   orders.OrderEpoch,
				Drained:      orders.Drained,
			})
		}
		for _, host := range s.Drained() {
			if !registered[host] {
				reply.DrainedUnregistered = append(reply.DrainedUnregistered, host)
			}
		}
	})
	return reply, nil
}

func (c *Control) replicaStatus(node NodeStatus) []operators.ReplicaStatus {
	reports := c.peers.currentReports(c.opts.Now())
	reports[node.ID] = c.watchers.progress(c.machine.Revision())
	var out []operators.ReplicaStatus
	for _, v := range node.Voters {
		out = append(out, newReplicaStatus(v, node, reports[v.GetId()]))
	}
	return out
}

func newReplicaStatus(v *wirepb.Voter, node NodeStatus, report *wirepb.PeerStatus) operators.ReplicaStatus {
	return operators.ReplicaStatus{
		ID:              v.GetId(),
		Voter:           operators.Voter{Value: v},
		Leader:          v.GetId() == node.Leader,
		Self:            v.GetId() == node.ID,
		Reporting:       report != nil,
		Revision:        report.GetRevision(),
		Watchers:        int(report.GetWatchers()),
		LaggingWatchers: int(report.GetLaggingTotal()),
	}
}
