package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const stateDraining = "draining"

// upstreamState is the state of one upstream in the upstream monitor.
type upstreamState struct {
	announcement *wirepb.Announcement
	cancel       context.CancelFunc
	report       *wirepb.LoadReport
	liveness     agent.Liveness
	state        agent.LivenessState
	roundTrip    time.Duration
	group        string // see latencyGroup

	// Caches of values derived from the announcement and the last report.
	prefixList         []uint64
	prefixes           map[uint64]struct{}
	models             []route.ModelShard
	modelsAnnouncement *wirepb.Announcement
}

// latencyGroup returns the name of the group of upstreams with comparable
// latencies: same kind, accelerator, model and number of layers.
func latencyGroup(a *wirepb.Announcement) string {
	layers := uint32(0)
	model := ""
	if len(a.Models) > 0 {
		model = a.Models[0].Model
		layers = a.Models[0].LastLayer - a.Models[0].FirstLayer + 1
	}
	return fmt.Sprintf("%s/%s/%s/%d", a.Kind, a.Accelerator, model, layers)
}

// routeState returns the record of the upstream for the routing table.
func (up *upstreamState) routeState() *route.Upstream {
	a, r := up.announcement, up.report
	return &route.Upstream{
		Host:              a.Host,
		DataCentre:        a.DataCentre,
		Address:           a.AgentAddress,
		Incarnation:       a.Incarnation,
		Kind:              a.Kind,
		Models:            up.modelShards(),
		Services:          a.Services,
		Slots:             int(r.Slots),
		Running:           int(r.Running),
		QueueWait:         queueWaits(r),
		TimeToFirstToken:  time.Duration(r.FirstTokenMsP50) * time.Millisecond,
		InterTokenLatency: time.Duration(r.InterTokenUsP50) * time.Microsecond,
		PeerRoundTrips:    peerRoundTrips(r),
		PromptPrefixes:    up.prefixSet(),
		Draining:          r.Draining || a.State == stateDraining,
		Stale:             r.StaleConfig || up.state != agent.Alive,
		RoundTrip:         up.roundTrip,
	}
}

func (up *upstreamState) modelShards() []route.ModelShard {
	if up.modelsAnnouncement == up.announcement {
		return up.models
	}
	up.models = make([]route.ModelShard, 0, len(up.announcement.Models))
	for _, m := range up.announcement.Models {
		up.models = append(up.models, route.ModelShard{
			Model:      m.Model,
			Version:    m.Version,
			FirstLayer: int(m.FirstLayer),
			LastLayer:  int(m.LastLayer),
			Adapters:   m.Adapters,
		})
	}
	up.modelsAnnouncement = up.announcement
	return up.models
}

func (up *upstreamState) prefixSet() map[uint64]struct{} {
	if slices.Equal(up.prefixList, up.report.Prefixes) {
		return up.prefixes
	}
	up.prefixList = up.report.Prefixes
	up.prefixes = make(map[uint64]struct{}, len(up.prefixList))
	for _, h := range up.prefixList {
		up.prefixes[h] = struct{}{}
	}
	return up.prefixes
}

func peerRoundTrips(r *wirepb.LoadReport) map[string]time.Duration {
	if len(r.Links) == 0 {
		return nil
	}
	m := make(map[string]time.Duration, len(r.Links))
	for _, l := range r.Links {
		m[l.Host] = time.Duration(l.RoundTripUs) * time.Microsecond
	}
	return m
}

func queueWaits(r *wirepb.LoadReport) [sched.NumRanks]time.Duration {
	var w [sched.NumRanks]time.Duration
	for _, l := range r.Ranks {
		if rank, ok := schedRank(l.Rank); ok {
			w[rank] = time.Duration(l.EstimatedWaitMs) * time.Millisecond
		}
	}
	return w
}

// schedRank converts a rank of the wire format. It returns Batch and false for an
// unknown rank.
func schedRank(r wirepb.Rank) (sched.Rank, bool) {
	switch r {
	case wirepb.Rank_RANK_URGENT:
		return sched.Urgent, true
	case wirepb.Rank_RANK_STANDARD:
		return sched.Standard, true
	case wirepb.Rank_RANK_BATCH:
		return sched.Batch, true
	}
	return sched.Batch, false
}
