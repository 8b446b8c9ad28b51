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

// peer is one upstream as the control goroutine knows it.
type peer struct {
	announcement *wirepb.Announcement
	cancel       context.CancelFunc
	report       *wirepb.LoadReport
	liveness     agent.Liveness
	state        agent.LivenessState
	roundTrip    time.Duration
	group        string // of comparable upstreams

	// Sets derived from the last report, reused while they do not change.
	prefixList []uint64
	prefixes   map[uint64]struct{}
	models     []route.ModelShard
	modelsOf   *wirepb.Announcement
}

// groupOf names the upstreams whose latencies are comparable.
func groupOf(a *wirepb.Announcement) string {
	layers := uint32(0)
	model := ""
	if len(a.Models) > 0 {
		model = a.Models[0].Model
		layers = a.Models[0].LastLayer - a.Models[0].FirstLayer + 1
	}
	return fmt.Sprintf("%s/%s/%s/%d", a.Kind, a.Accelerator, model, layers)
}

// upstream returns the state for the routing table.
func (p *peer) upstream() *route.Upstream {
	a, r := p.announcement, p.report
	return &route.Upstream{
		Host:              a.Host,
		DataCentre:        a.DataCentre,
		Address:           a.AgentAddress,
		Incarnation:       a.Incarnation,
		Kind:              a.Kind,
		Models:            p.held(),
		Services:          a.Services,
		Slots:             int(r.Slots),
		Running:           int(r.Running),
		QueueWait:         waits(r),
		TimeToFirstToken:  time.Duration(r.FirstTokenMsP50) * time.Millisecond,
		InterTokenLatency: time.Duration(r.InterTokenUsP50) * time.Microsecond,
		PeerRoundTrips:    links(r),
		PromptPrefixes:    p.prefixSet(),
		Draining:          r.Draining || a.State == stateDraining,
		Stale:             r.StaleConfig || p.state != agent.Alive,
		RoundTrip:         p.roundTrip,
	}
}

func (p *peer) held() []route.ModelShard {
	if p.modelsOf == p.announcement {
		return p.models
	}
	p.models = make([]route.ModelShard, 0, len(p.announcement.Models))
	for _, m := range p.announcement.Models {
		p.models = append(p.models, route.ModelShard{
			Model:      m.Model,
			Version:    m.Version,
			FirstLayer: int(m.FirstLayer),
			LastLayer:  int(m.LastLayer),
			Adapters:   m.Adapters,
		})
	}
	p.modelsOf = p.announcement
	return p.models
}

func (p *peer) prefixSet() map[uint64]struct{} {
	if slices.Equal(p.prefixList, p.report.Prefixes) {
		return p.prefixes
	}
	p.prefixList = p.report.Prefixes
	p.prefixes = make(map[uint64]struct{}, len(p.prefixList))
	for _, h := range p.prefixList {
		p.prefixes[h] = struct{}{}
	}
	return p.prefixes
}

func links(r *wirepb.LoadReport) map[string]time.Duration {
	if len(r.Links) == 0 {
		return nil
	}
	m := make(map[string]time.Duration, len(r.Links))
	for _, l := range r.Links {
		m[l.Host] = time.Duration(l.RoundTripUs) * time.Microsecond
	}
	return m
}

func waits(r *wirepb.LoadReport) [sched.NumRanks]time.Duration {
	var w [sched.NumRanks]time.Duration
	for _, l := range r.Ranks {
		if rank, ok := schedRank(l.Rank); ok {
			w[rank] = time.Duration(l.EstimatedWaitMs) * time.Millisecond
		}
	}
	return w
}

// schedRank converts a rank of a message.
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
