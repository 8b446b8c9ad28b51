// Package layout decides which engine holds which layers of a model. It has no side
// effects: it maps engines to assignments.
package layout

import (
	"maps"
	"math"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// Engine is an engine that may hold layers.
type Engine struct {
	ID          string
	DataCentre  string
	Accelerator string
	// HeldLayers is the range that the engine holds or was last ordered to hold.
	HeldLayers Range
	// Slow engines keep their layers but do not count as holders in their data centre:
	// other engines take over their layers until they recover.
	Slow bool
	// RequestLimit is the number of requests per second that the engine takes as the first
	// of a path; zero if it names no limit.
	RequestLimit float64
}

// Range is the half-open range of layers [From, To).
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Empty reports whether the range contains no layer.
func (r Range) Empty() bool { return r.To <= r.From }

// within returns the range, or the empty one if it is not within a model of this number of
// layers. Engines report their ranges, and a faulty one may report any.
func (r Range) within(layers int) Range {
	if r.Empty() || r.From < 0 || r.To > layers {
		return Range{}
	}
	return r
}

// Plan returns the range that each engine should hold. Engines keep their current
// range unless a change closes a gap, which is a run of layers that no engine of the
// data centre holds, or clearly improves the layout. Each data centre gets a full copy
// of the model first, so that no activations cross between data centres. Remaining
// engines go to the layers with the least KV cache, which are also those whose loss
// costs most.
//
// If complete is false, the future range of some engines is unknown and they are left
// out. Plan then does not relax the headroom or rebuild the layout for a layer without
// a holder in any data centre, as an engine that was left out may hold it.
func Plan(m *routing.Model, engines []Engine, complete bool) map[string]Range {
	byDataCentre := make(map[string][]Engine)
	var slow []Range
	for _, e := range engines {
		e.HeldLayers = e.HeldLayers.within(m.Layers)
		if e.Slow {
			slow = append(slow, e.HeldLayers)
			continue
		}
		if m.Accelerators[e.Accelerator] != nil {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	plan := planDataCentres(m, byDataCentre, minExtendHeadroom)
	if coversAllLayers(m, plan, slow) || !complete {
		return plan
	}
	// A layer that no data centre holds blocks all requests. Closing its gap takes
	// precedence over KV headroom, and then over keeping the current ranges.
	if plan = planDataCentres(m, byDataCentre, headroomChoices[0]); coversAllLayers(m, plan, slow) {
		return plan
	}
	for _, group := range byDataCentre {
		for i := range group {
			group[i].HeldLayers = Range{}
		}
	}
	if rebuilt := planDataCentres(m, byDataCentre, headroomChoices[0]); coversAllLayers(m, rebuilt, slow) {
		return rebuilt
	}
	return plan
}

// ClosesGap reports whether the wanted range makes an engine drop layers and load a
// layer that no engine of its data centre holds. Most requests that use such an engine
// are themselves waiting for the missing layer until their timeout, so waiting for
// them to finish would keep the gap open that long.
func ClosesGap(holders []Engine, e Engine, wanted Range) bool {
	if e.HeldLayers.Empty() || wanted.From <= e.HeldLayers.From && wanted.To >= e.HeldLayers.To {
		return false
	}
	for l := wanted.From; l < wanted.To; l++ {
		if !slices.ContainsFunc(holders, func(o Engine) bool {
			return o.DataCentre == e.DataCentre && l >= o.HeldLayers.From && l < o.HeldLayers.To
		}) {
			return true
		}
	}
	return false
}

func planDataCentres(m *routing.Model, byDataCentre map[string][]Engine, minHeadroom int) map[string]Range {
	plan := make(map[string]Range)
	for _, group := range byDataCentre {
		maps.Copy(plan, planDataCentre(m, group, minHeadroom))
	}
	return plan
}

// coversAllLayers reports whether every layer is in the plan or in one of the other
// ranges.
func coversAllLayers(m *routing.Model, plan map[string]Range, others []Range) bool {
	holders := make([]int, m.Layers)
	for _, r := range slices.Concat(slices.Collect(maps.Values(plan)), others) {
		for l := r.From; l < r.To; l++ {
			holders[l]++
		}
	}
	return slices.Min(holders) > 0
}

// minExtendHeadroom is the least KV headroom, in typical requests, that an engine must
// keep when it takes layers of a lost neighbour. Below it, requests for these layers
// go through another data centre instead.
const minExtendHeadroom = 48

// headroomChoices are the candidate amounts of KV cache to reserve per engine, in
// typical requests. Choices below minExtendHeadroom are used only if the model does
// not fit otherwise.
var headroomChoices = []int{4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256}

// planDataCentre searches for the KV headroom of each kind of accelerator that gives
// the best score. It starts from the best headroom shared by all kinds and then varies
// one kind at a time.
func planDataCentre(m *routing.Model, engines []Engine, minHeadroom int) map[string]Range {
	largest := headroomChoices[len(headroomChoices)-1]
	headroom := make(map[string]int)
	for _, e := range engines {
		headroom[e.Accelerator] = largest
	}
	best := planWithHeadroom(m, engines, headroom, minHeadroom)
	consider := func(candidate map[string]int) {
		if p := planWithHeadroom(m, engines, candidate, minHeadroom); p.score() > best.score() {
			best, headroom = p, candidate
		}
	}
	if best.unchanged() {
		return best.improve()
	}
	names := slices.Sorted(maps.Keys(headroom))
	search := func(choices []int) {
		for _, requests := range slices.Backward(choices) {
			same := make(map[string]int)
			for _, kind := range names {
				same[kind] = requests
			}
			consider(same)
		}
		for range names {
			for _, name := range names {
				for _, requests := range slices.Backward(choices) {
					varied := maps.Clone(headroom)
					varied[name] = requests
					consider(varied)
				}
			}
		}
	}
	firstPreferred := slices.Index(headroomChoices, minExtendHeadroom)
	search(headroomChoices[firstPreferred:])
	if best.score() < 0 {
		search(headroomChoices[:firstPreferred])
	}
	return best.assigned
}

// planWithHeadroom plans with the given KV headroom for each kind of accelerator. The
// neighbours of a gap take precedence over engines that hold layers elsewhere: those
// must first wait for the requests that use them, for as long as a request takes.
func planWithHeadroom(m *routing.Model, engines []Engine, headroom map[string]int, minHeadroom int) *planner {
	p := newPlanner(m, engines, headroom)
	p.keepCurrent()
	p.closeGaps(p.unassignedEngine)
	p.extendNeighbours(minHeadroom, false)
	p.closeGaps(p.redundantEngine)
	p.placeUnassigned()
	p.extendNeighbours(minHeadroom, true)
	p.sortByLength()
	return p
}

// unchanged reports whether every engine keeps its range and every layer has a holder.
func (p *planner) unchanged() bool {
	for _, e := range p.engines {
		if p.assigned[e.ID] != e.HeldLayers {
			return false
		}
	}
	return slices.Min(p.holderCount) > 0
}

// redundancyWeight is the score of a second holder for every layer, as a fraction of
// the KV cache term. Without second holders, the loss of any engine interrupts every
// request of the data centre.
const redundancyWeight = 0.2

// meanWeight is the weight of the mean KV cache per layer relative to the minimum. The
// mean is harmonic, so that layers with little KV cache dominate it.
const meanWeight = 1.0

// score rates a layout by the minimum and the mean KV cache of its layers, raised by
// the fraction of layers with a second holder. A layout with a gap scores below zero,
// and so below every layout without one.
func (p *planner) score() float64 {
	minTokens, covered, redundant, inverseSum := math.MaxInt, 0, 0, 0.0
	for l, n := range p.holderCount {
		if n > 0 {
			covered++
			minTokens = min(minTokens, p.layerKVTokens[l])
			inverseSum += 1 / float64(1+p.layerKVTokens[l])
		}
		if n > 1 {
			redundant++
		}
	}
	layers := float64(p.model.Layers)
	if covered < p.model.Layers {
		return float64(covered) - layers - 1/(1+float64(covered)/inverseSum)
	}
	kvTerm := float64(minTokens) + meanWeight*layers/inverseSum
	return kvTerm * (1 + redundancyWeight*float64(redundant)/layers)
}
