package control

import (
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// upstreamDelta holds the changes that bring a watcher to Version.
type upstreamDelta struct {
	Version uint64
	Full    bool
	Put     []*wirepb.Announcement
	Removed []string
}

// ChangesSince returns the changes after a version, each upstream once. It
// returns all upstreams if full is set or the changes are no longer kept.
func (r *Registry) ChangesSince(version uint64, full bool) upstreamDelta {
	r.mu.RLock()
	defer r.mu.RUnlock()
	d := upstreamDelta{Version: r.version}
	if !full && version == r.version {
		return d
	}
	if full || r.version-version > uint64(len(r.changedHosts)) {
		d.Full = true
		for _, reg := range r.registrations {
			d.Put = append(d.Put, reg.announcement)
		}
		return d
	}
	seen := make(map[string]bool)
	for _, host := range r.changedHosts[len(r.changedHosts)-int(r.version-version):] {
		if seen[host] {
			continue
		}
		seen[host] = true
		if reg, ok := r.registrations[host]; ok {
			d.Put = append(d.Put, reg.announcement)
		} else {
			d.Removed = append(d.Removed, host)
		}
	}
	return d
}

// Version returns the number of changes so far.
func (r *Registry) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// Find returns the registration of a host, or nil.
func (r *Registry) Find(host string) *registration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.registrations[host]
}

// registeredUpstream is the announcement and the lifecycle state of an
// upstream.
type registeredUpstream struct {
	announcement *wirepb.Announcement
	state        string
}

// List returns all upstreams, sorted by host.
func (r *Registry) List() []registeredUpstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]registeredUpstream, 0, len(r.registrations))
	for _, reg := range r.registrations {
		out = append(out, registeredUpstream{reg.announcement, reg.state})
	}
	slices.SortFunc(out, func(a, b registeredUpstream) int {
		return strings.Compare(a.announcement.Host, b.announcement.Host)
	})
	return out
}

// Count returns the number of upstreams.
func (r *Registry) Count() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.registrations)
}
