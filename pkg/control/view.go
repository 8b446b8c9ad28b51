package control

import (
	"maps"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Kinds of catalogue entries.
const (
	KindOrganisation = state.KindOrganisation
	KindModel        = state.KindModel
	KindService      = state.KindService
	KindPolicy       = state.KindPolicy
)

// View is an immutable copy of the configuration at one revision and of the
// upstreams known to the watched replica.
type View struct {
	Revision      uint64
	Organisations map[string]*wirepb.Entry
	Models        map[string]*wirepb.Entry
	Services      map[string]*wirepb.Entry
	// OrganisationsByKey maps the hexadecimal SHA-256 of an API key to its
	// organisation.
	OrganisationsByKey map[string]*wirepb.Entry
	Policy             *wirepb.PolicySpec
	Upstreams          map[string]*wirepb.Announcement
	Voters             []*wirepb.Voter
	LiveEntryProcesses int
}

func emptyView() *View {
	return &View{
		Organisations:      map[string]*wirepb.Entry{},
		Models:             map[string]*wirepb.Entry{},
		Services:           map[string]*wirepb.Entry{},
		OrganisationsByKey: map[string]*wirepb.Entry{},
		Policy:             &wirepb.PolicySpec{},
		Upstreams:          map[string]*wirepb.Announcement{},
	}
}

// withEvent returns the view after an event. It refuses an event with a lower
// revision than the view.
func (v *View) withEvent(ev *wirepb.WatchEvent) (*View, error) {
	if ev.Revision < v.Revision {
		return nil, fault.New(fault.StaleConfig, "replica is at revision %d, below the applied revision %d",
			ev.Revision, v.Revision)
	}
	n := *v
	n.Revision = ev.Revision
	n.applyCatalogue(ev)
	n.applyUpstreams(ev)
	if ev.Full || len(ev.Voters) > 0 {
		n.Voters = ev.Voters
	}
	if ev.LiveEntries > 0 {
		n.LiveEntryProcesses = int(ev.LiveEntries)
	}
	return &n, nil
}

func (v *View) applyCatalogue(ev *wirepb.WatchEvent) {
	if ev.Full {
		fresh := emptyView()
		v.Organisations, v.Models, v.Services = fresh.Organisations, fresh.Models, fresh.Services
		v.OrganisationsByKey, v.Policy = fresh.OrganisationsByKey, fresh.Policy
	}
	if len(ev.Entries) == 0 && len(ev.Removed) == 0 {
		return
	}
	touched := changedKinds(ev)
	if touched[KindOrganisation] {
		v.Organisations = maps.Clone(v.Organisations)
	}
	if touched[KindModel] {
		v.Models = maps.Clone(v.Models)
	}
	if touched[KindService] {
		v.Services = maps.Clone(v.Services)
	}
	for _, e := range ev.Entries {
		v.put(e)
	}
	for _, name := range ev.Removed {
		v.remove(name)
	}
	if touched[KindOrganisation] {
		v.OrganisationsByKey = indexByKey(v.Organisations)
	}
}

func changedKinds(ev *wirepb.WatchEvent) map[string]bool {
	kinds := make(map[string]bool)
	for _, e := range ev.Entries {
		kinds[e.Kind] = true
	}
	for _, name := range ev.Removed {
		kinds[name.Kind] = true
	}
	return kinds
}

func (v *View) put(e *wirepb.Entry) {
	switch e.Kind {
	case KindOrganisation:
		v.Organisations[e.Name] = e
	case KindModel:
		v.Models[e.Name] = e
	case KindService:
		v.Services[e.Name] = e
	case KindPolicy:
		v.Policy = e.GetPolicy()
	}
}

func (v *View) remove(name *wirepb.EntryName) {
	switch name.Kind {
	case KindOrganisation:
		delete(v.Organisations, name.Name)
	case KindModel:
		delete(v.Models, name.Name)
	case KindService:
		delete(v.Services, name.Name)
	case KindPolicy:
		v.Policy = &wirepb.PolicySpec{}
	}
}

func indexByKey(organisations map[string]*wirepb.Entry) map[string]*wirepb.Entry {
	owners := make(map[string]*wirepb.Entry, len(organisations))
	for _, e := range organisations {
		for _, key := range e.GetOrganisation().GetKeySha256() {
			owners[key] = e
		}
	}
	return owners
}

func (v *View) applyUpstreams(ev *wirepb.WatchEvent) {
	if !ev.UpstreamsFull && len(ev.Upstreams) == 0 && len(ev.UpstreamsRemoved) == 0 {
		return
	}
	if ev.UpstreamsFull {
		v.Upstreams = make(map[string]*wirepb.Announcement, len(ev.Upstreams))
	} else {
		v.Upstreams = maps.Clone(v.Upstreams)
	}
	for _, u := range ev.Upstreams {
		if known, ok := v.Upstreams[u.Host]; ok && known.Incarnation > u.Incarnation {
			continue // a delayed announcement of an earlier incarnation
		}
		v.Upstreams[u.Host] = u
	}
	for _, host := range ev.UpstreamsRemoved {
		delete(v.Upstreams, host)
	}
}

// withRetainedUpstreams returns a copy of v that also has the upstreams of an
// earlier view whose hosts v lacks, and the list of these hosts.
func (v *View) withRetainedUpstreams(earlier map[string]*wirepb.Announcement) (*View, []string) {
	n := *v
	n.Upstreams = maps.Clone(v.Upstreams)
	var retained []string
	for host, u := range earlier {
		if _, ok := n.Upstreams[host]; !ok {
			n.Upstreams[host] = u
			retained = append(retained, host)
		}
	}
	return &n, retained
}

// withoutUpstreams returns a view without the upstreams on the given hosts.
func (v *View) withoutUpstreams(hosts map[string]struct{}) *View {
	n := *v
	n.Upstreams = maps.Clone(v.Upstreams)
	for host := range hosts {
		delete(n.Upstreams, host)
	}
	return &n
}
