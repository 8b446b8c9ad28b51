package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// roundRobin selects upstreams in turn, regardless of load, health and distance.
// It is the baseline with which measurements compare the router.
type roundRobin struct{ turn atomic.Uint64 }

// nextChain returns a chain with the next upstream in turn for each range of
// layers.
func (b *roundRobin) nextChain(s *snapshot, requirements route.Requirements) ([]route.Stage, error) {
	turn := b.turn.Add(1)
	var chain []route.Stage
	for first := 0; first < requirements.Layers; {
		st, ok := b.nextStage(s, requirements, first, turn)
		if !ok {
			return nil, unavailableError("no upstream holds the next layers")
		}
		chain = append(chain, st)
		first = st.LastLayer + 1
	}
	return chain, nil
}

func (b *roundRobin) nextStage(s *snapshot, requirements route.Requirements, first int, turn uint64) (route.Stage, bool) {
	var stages []route.Stage
	for _, u := range listedUpstreams(s, requirements.ExcludedHosts) {
		for _, h := range u.Models {
			fits := h.Model == requirements.Model && (requirements.Version == "" || requirements.Version == h.Version)
			if fits && h.FirstLayer == first {
				stages = append(stages, route.Stage{Upstream: u, FirstLayer: h.FirstLayer, LastLayer: h.LastLayer})
			}
		}
	}
	if len(stages) == 0 {
		return route.Stage{}, false
	}
	return stages[turn%uint64(len(stages))], true
}

// nextService returns the next upstream in turn that offers the service.
func (b *roundRobin) nextService(s *snapshot, service string, requirements route.Requirements) (*route.Upstream, error) {
	offering := listedUpstreams(s, requirements.ExcludedHosts)
	offering = slices.DeleteFunc(offering, func(u *route.Upstream) bool { return !slices.Contains(u.Services, service) })
	if len(offering) == 0 {
		return nil, unavailableError("no upstream offers the service")
	}
	return offering[b.turn.Add(1)%uint64(len(offering))], nil
}

// listedUpstreams returns the upstreams of the configuration that have reported
// and are not excluded, sorted by host.
func listedUpstreams(s *snapshot, exclude map[string]bool) []*route.Upstream {
	var out []*route.Upstream
	for _, a := range sortedAnnouncements(s) {
		if u := s.table.Get(a.Host); u != nil && !exclude[a.Host] {
			out = append(out, u)
		}
	}
	return out
}

func sortedAnnouncements(s *snapshot) []*wirepb.Announcement {
	all := make([]*wirepb.Announcement, 0, len(s.view.Upstreams))
	for _, a := range s.view.Upstreams {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *wirepb.Announcement) int { return strings.Compare(a.Host, b.Host) })
	return all
}
