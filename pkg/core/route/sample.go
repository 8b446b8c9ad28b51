package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// samplesPerSet is the number of candidates drawn from each set of hosts of
	// a range: those in the caller's data centre, those in one random data
	// centre, and those in all data centres. Prefix hashes add up to two more.
	samplesPerSet = 2
	// maxDrawsPerSample bounds the random draws for each sample.
	maxDrawsPerSample = 4
)

// candidate is a sampled host with its cost.
type candidate struct {
	hostRecord *hostRecord
	up         *Upstream
	cost       time.Duration
}

// sampler draws candidates for one request.
type sampler struct {
	need    *Requirements
	rng     *rand.Rand
	service string // if empty, the fields below select a layer range
	version string
	first   int
	last    int
}

// sample appends candidates of g to out: at least one if g has an eligible host,
// except that a fixed head is the only candidate for the first stage.
func (s *sampler) sample(g *group, remote string, out []candidate) []candidate {
	start := len(out)
	if s.need.HeadHost != "" && s.first == 0 {
		return s.addHeadHost(g, out)
	}
	if s.need.HeadHost != "" {
		return s.sampleLaterStage(g, out, start)
	}
	out = s.draw(g.dataCentres[s.need.DataCentre], out, start)
	if remote != s.need.DataCentre {
		out = s.draw(g.dataCentres[remote], out, start)
	}
	out = s.draw(g.all, out, start)
	out = s.sampleByPrefix(g, out, start)
	if len(out) == start {
		out = s.scan(g.all, out, start)
	}
	return out
}

// maxLaterStageCandidates bounds the candidates for a stage after a fixed head.
// In a full fleet few hosts have a free slot, and a few samples would miss them.
const maxLaterStageCandidates = 64

// addHeadHost appends the fixed head if g contains it.
func (s *sampler) addHeadHost(g *group, out []candidate) []candidate {
	for _, record := range g.all {
		if record.host == s.need.HeadHost {
			return append(out, candidate{hostRecord: record, up: record.up.Load()})
		}
	}
	return out
}

// sampleLaterStage appends the eligible preferred hosts. If there are none, it
// examines up to maxLaterStageCandidates hosts from a random offset.
func (s *sampler) sampleLaterStage(g *group, out []candidate, start int) []candidate {
	for _, record := range g.all {
		if len(s.need.PreferredHosts) > 0 && slices.Contains(s.need.PreferredHosts, record.host) {
			out = s.addIfEligible(record, out, start, true)
		}
	}
	if len(out) > start {
		return out
	}
	offset := s.rng.IntN(len(g.all))
	for i := range min(len(g.all), maxLaterStageCandidates) {
		out = s.addIfEligible(g.all[(offset+i)%len(g.all)], out, start, true)
	}
	if len(out) == start {
		out = s.scan(g.all, out, start)
	}
	return out
}

// draw appends up to samplesPerSet random eligible hosts of the set.
func (s *sampler) draw(set []*hostRecord, out []candidate, start int) []candidate {
	if len(set) == 0 {
		return out
	}
	if len(set) <= samplesPerSet {
		for _, record := range set {
			out = s.addIfEligible(record, out, start, true)
		}
		return out
	}
	found := len(out) + samplesPerSet
	for range samplesPerSet * maxDrawsPerSample {
		out = s.addIfEligible(set[s.rng.IntN(len(set))], out, start, true)
		if len(out) >= found {
			break
		}
	}
	return out
}

// sampleByPrefix appends the hosts that the shortest and the longest prefix hash
// to. Requests with the same prefix thus share candidates without an index of all
// cached prefixes.
func (s *sampler) sampleByPrefix(g *group, out []candidate, start int) []candidate {
	if len(s.need.PromptPrefixes) == 0 {
		return out
	}
	set := g.dataCentres[s.need.DataCentre]
	if len(set) == 0 {
		set = g.all
	}
	for _, p := range []uint64{s.need.PromptPrefixes[0], s.need.PromptPrefixes[len(s.need.PromptPrefixes)-1]} {
		out = s.addIfEligible(set[jumpHash(p, len(set))], out, start, true)
	}
	return out
}

// scan appends the first eligible hosts from a random offset. Every host with a
// weight above zero is accepted.
func (s *sampler) scan(set []*hostRecord, out []candidate, start int) []candidate {
	offset := s.rng.IntN(len(set))
	for i := range set {
		out = s.addIfEligible(set[(offset+i)%len(set)], out, start, false)
		if len(out)-start >= 2*samplesPerSet {
			break
		}
	}
	return out
}

// addIfEligible appends record if it is eligible and not in out yet. If byWeight is
// set, a host of weight w is accepted with probability w, which limits its traffic
// during slow start. The weight does not also multiply the cost, as an ejected
// host whose probe is due would then never be chosen.
func (s *sampler) addIfEligible(record *hostRecord, out []candidate, start int, byWeight bool) []candidate {
	if slices.ContainsFunc(out[start:], func(o candidate) bool { return o.hostRecord == record }) {
		return out
	}
	u := record.up.Load()
	if !s.eligible(u) {
		return out
	}
	weight := 1.0
	if s.need.Weight != nil {
		weight = s.need.Weight(u.Host)
	}
	if weight <= 0 || byWeight && weight < 1 && s.rng.Float64() >= weight {
		return out
	}
	// Requests sent to a host in slow start count more. As it is idle, it would
	// otherwise be the cheapest candidate of every sample that contains it.
	sent := int64(float64(record.recentlySent()) / weight)
	cost := s.need.nodeCost(u, sent)
	return append(out, candidate{hostRecord: record, up: u, cost: cost})
}

// eligible reports whether u takes new work and serves what is wanted. The state
// of a host may be newer than the group it was found in, so its shards and
// services are checked again.
func (s *sampler) eligible(u *Upstream) bool {
	if u.Draining || u.Stale || s.need.ExcludedHosts[u.Host] {
		return false
	}
	if s.service != "" {
		return slices.Contains(u.Services, s.service)
	}
	for i := range u.Models {
		if s.matchesShard(&u.Models[i]) {
			return true
		}
	}
	return false
}

// matchesShard reports whether shard is the wanted layer range with the wanted
// adapter.
func (s *sampler) matchesShard(shard *ModelShard) bool {
	if shard.FirstLayer != s.first || shard.LastLayer != s.last ||
		shard.Model != s.need.Model || shard.Version != s.version {
		return false
	}
	return s.need.Adapter == "" || slices.Contains(shard.Adapters, s.need.Adapter)
}

// jumpHash maps key to one of n buckets by jump consistent hashing (Lamping and
// Veach, 2014): a change of n moves few keys.
func jumpHash(key uint64, n int) int {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
