package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// samplesPerSet is the number of candidates drawn from each set of hosts
	// of a range: those in the caller's data centre, those in one random data
	// centre, those anywhere, and those that the prefix hash points to.
	samplesPerSet = 2
	// drawsPerSample bounds the draws before a set is scanned.
	drawsPerSample = 4
)

// candidate is a sampled host with its cost.
type candidate struct {
	cell *cell
	up   *Upstream
	cost time.Duration
}

// sampler draws candidates for one request.
type sampler struct {
	need    *Requirements
	rng     *rand.Rand
	service string // or, when empty, the range of the model:
	version string
	first   int
	last    int
}

// sample appends candidates of g to out. It finds at least one when g has one.
func (s *sampler) sample(g *group, remote string, out []candidate) []candidate {
	start := len(out)
	if s.need.HeadHost != "" && s.first == 0 {
		return s.head(g, out)
	}
	if s.need.HeadHost != "" {
		return s.wide(g, out, start)
	}
	out = s.draw(g.dataCentres[s.need.DataCentre], out, start)
	if remote != s.need.DataCentre {
		out = s.draw(g.dataCentres[remote], out, start)
	}
	out = s.draw(g.all, out, start)
	out = s.byPrefix(g, out, start)
	if len(out) == start {
		out = s.scan(g.all, out, start)
	}
	return out
}

// maxWide bounds the candidates for a stage after a fixed head. Few hosts of a
// full fleet have a free slot, and a few samples would miss them.
const maxWide = 64

// head appends the fixed head.
func (s *sampler) head(g *group, out []candidate) []candidate {
	for _, c := range g.all {
		if c.host == s.need.HeadHost {
			return append(out, candidate{cell: c, up: c.up.Load()})
		}
	}
	return out
}

// wide appends the preferred hosts or, when none of them is eligible, many
// candidates from a random offset on.
func (s *sampler) wide(g *group, out []candidate, start int) []candidate {
	for _, c := range g.all {
		if len(s.need.PreferredHosts) > 0 && slices.Contains(s.need.PreferredHosts, c.host) {
			out = s.consider(c, out, start, true)
		}
	}
	if len(out) > start {
		return out
	}
	offset := s.rng.IntN(len(g.all))
	for i := range min(len(g.all), maxWide) {
		out = s.consider(g.all[(offset+i)%len(g.all)], out, start, true)
	}
	if len(out) == start {
		out = s.scan(g.all, out, start)
	}
	return out
}

// draw appends up to samplesPerSet random eligible hosts of the set.
func (s *sampler) draw(set []*cell, out []candidate, start int) []candidate {
	if len(set) == 0 {
		return out
	}
	if len(set) <= samplesPerSet {
		for _, c := range set {
			out = s.consider(c, out, start, true)
		}
		return out
	}
	found := len(out) + samplesPerSet
	for range samplesPerSet * drawsPerSample {
		out = s.consider(set[s.rng.IntN(len(set))], out, start, true)
		if len(out) >= found {
			break
		}
	}
	return out
}

// byPrefix appends the host that the longest prefix hashes to. Requests with
// the same prefix therefore meet at the same hosts, without an index of all
// cached prefixes.
func (s *sampler) byPrefix(g *group, out []candidate, start int) []candidate {
	if len(s.need.PromptPrefixes) == 0 {
		return out
	}
	set := g.dataCentres[s.need.DataCentre]
	if len(set) == 0 {
		set = g.all
	}
	for _, p := range []uint64{s.need.PromptPrefixes[0], s.need.PromptPrefixes[len(s.need.PromptPrefixes)-1]} {
		out = s.consider(set[jumpHash(p, len(set))], out, start, true)
	}
	return out
}

// scan appends the first eligible hosts from a random offset, regardless of
// their weight as long as it is not zero.
func (s *sampler) scan(set []*cell, out []candidate, start int) []candidate {
	offset := s.rng.IntN(len(set))
	for i := range set {
		out = s.consider(set[(offset+i)%len(set)], out, start, false)
		if len(out)-start >= 2*samplesPerSet {
			break
		}
	}
	return out
}

// consider appends c if it is eligible and new. With slow, a host of weight w
// is taken with probability w, which limits its traffic during slow start. The
// weight does not raise the cost as well: a due probe would never be chosen.
func (s *sampler) consider(c *cell, out []candidate, start int, slow bool) []candidate {
	if slices.ContainsFunc(out[start:], func(o candidate) bool { return o.cell == c }) {
		return out
	}
	u := c.up.Load()
	if !s.eligible(u) {
		return out
	}
	weight := 1.0
	if s.need.Weight != nil {
		weight = s.need.Weight(u.Host)
	}
	if weight <= 0 || slow && weight < 1 && s.rng.Float64() >= weight {
		return out
	}
	// A host in slow start counts as smaller; being idle it would otherwise be
	// the best choice of every sample that holds it.
	sent := int64(float64(c.sentSinceReport()) / weight)
	cost := s.need.nodeCost(u, sent)
	return append(out, candidate{cell: c, up: u, cost: cost})
}

// eligible checks the current state of a host. A reader may see a newer state
// than the group it found the host in, so what the host holds is checked too.
func (s *sampler) eligible(u *Upstream) bool {
	if u.Draining || u.Stale || s.need.ExcludedHosts[u.Host] {
		return false
	}
	if s.service != "" {
		return slices.Contains(u.Services, s.service)
	}
	for i := range u.Models {
		if s.fits(&u.Models[i]) {
			return true
		}
	}
	return false
}

// fits reports whether h is the wanted range with the wanted adapter.
func (s *sampler) fits(h *ModelShard) bool {
	if h.FirstLayer != s.first || h.LastLayer != s.last ||
		h.Model != s.need.Model || h.Version != s.version {
		return false
	}
	return s.need.Adapter == "" || slices.Contains(h.Adapters, s.need.Adapter)
}

// jumpHash maps key to one of n buckets; a change of n moves few keys
// (Lamping and Veach, 2014).
func jumpHash(key uint64, n int) int {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
