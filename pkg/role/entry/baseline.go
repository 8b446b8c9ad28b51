package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// roundRobin chooses upstreams in turn, regardless of load, health and
// distance. It is the baseline that measurements compare the router with.
type roundRobin struct{ turn atomic.Uint64 }

// chain chooses the next holder of each range of layers in turn.
func (b *roundRobin) chain(s *snapshot, need route.Requirements) ([]route.Stage, error) {
	turn := b.turn.Add(1)
	var chain []route.Stage
	for first := 0; first < need.Layers; {
		st, ok := b.stage(s, need, first, turn)
		if !ok {
			return nil, unavailable("no upstream holds the next layers")
		}
		chain = append(chain, st)
		first = st.LastLayer + 1
	}
	return chain, nil
}

func (b *roundRobin) stage(s *snapshot, need route.Requirements, first int, turn uint64) (route.Stage, bool) {
	var stages []route.Stage
	for _, u := range listed(s, need.ExcludedHosts) {
		for _, h := range u.Models {
			fits := h.Model == need.Model && (need.Version == "" || need.Version == h.Version)
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

// service chooses the next upstream that offers the service.
func (b *roundRobin) service(s *snapshot, service string, need route.Requirements) (*route.Upstream, error) {
	offers := listed(s, need.ExcludedHosts)
	offers = slices.DeleteFunc(offers, func(u *route.Upstream) bool { return !slices.Contains(u.Services, service) })
	if len(offers) == 0 {
		return nil, unavailable("no upstream offers the service")
	}
	return offers[b.turn.Add(1)%uint64(len(offers))], nil
}

// listed returns the upstreams that control lists, in order of their names.
func listed(s *snapshot, exclude map[string]bool) []*route.Upstream {
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
