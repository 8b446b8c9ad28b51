// Package layout decides which engine holds which layers of a model. It is
// pure: engines in, assignments out.
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
	// Slow engines keep what they hold, but do not count as holders in their
	// data centre: others take their layers until they are fast again.
	Slow bool
}

// Range is a range of layers, the upper bound exclusive.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Empty reports whether the range has no layer.
func (r Range) Empty() bool { return r.To <= r.From }

// Plan returns the range that each engine should hold. Engines keep what they
// hold unless they can close a gap: a layer that no engine of the data centre
// holds. Each data centre gets a full copy of the model first, so that no
// activations cross between data centres; what is left goes to the layers with
// the least room, which are also those whose loss costs most.
//
// Where complete is false, some engines are left out because it is not known
// what they will hold; what looks like the loss of a layer is not acted on then.
func Plan(m *routing.Model, engines []Engine, complete bool) map[string]Range {
	byDataCentre := make(map[string][]Engine)
	var slow []Range
	for _, e := range engines {
		if e.Slow {
			slow = append(slow, e.HeldLayers)
			continue
		}
		if m.Accelerators[e.Accelerator] != nil {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	plan := planAll(m, byDataCentre, stretchRoom)
	if held(m, plan, slow) || !complete {
		return plan
	}
	// A layer that no data centre holds stops all work: closing its gap goes
	// before the room for requests, and then before what the engines hold.
	if plan = planAll(m, byDataCentre, rooms[0]); held(m, plan, slow) {
		return plan
	}
	for _, group := range byDataCentre {
		for i := range group {
			group[i].HeldLayers = Range{}
		}
	}
	if fresh := planAll(m, byDataCentre, rooms[0]); held(m, fresh, slow) {
		return fresh
	}
	return plan
}

// ClosesGap reports whether a new range for an engine brings a layer that no engine
// of its data centre holds, and gives up others. The requests that pass through such
// an engine mostly wait for the missing layer themselves, until their own time limit:
// waiting for them would keep the gap open as long.
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

func planAll(m *routing.Model, byDataCentre map[string][]Engine, room int) map[string]Range {
	plan := make(map[string]Range)
	for _, group := range byDataCentre {
		maps.Copy(plan, planDataCentre(m, group, room))
	}
	return plan
}

// held reports whether a plan leaves no layer without an engine.
func held(m *routing.Model, plan map[string]Range, others []Range) bool {
	copies := make([]int, m.Layers)
	for _, r := range slices.Concat(slices.Collect(maps.Values(plan)), others) {
		for l := r.From; l < r.To; l++ {
			copies[l]++
		}
	}
	return slices.Min(copies) > 0
}

// stretchRoom is the least room, in requests of the usual size, that is left to
// an engine which takes layers of a lost neighbour. With less, requests rather
// pass through another data centre for these layers.
const stretchRoom = 48

// rooms are the amounts of KV cache per engine, in requests of the usual size,
// among which the sizes of a layout are chosen. Those below stretchRoom are used
// only where the model has no place otherwise.
var rooms = []int{4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256}

// planDataCentre looks for the sizes with which the tightest layer has most
// room. It varies one kind of accelerator at a time, from the best size that is
// the same for all.
func planDataCentre(m *routing.Model, engines []Engine, room int) map[string]Range {
	widest := rooms[len(rooms)-1]
	kinds := make(map[string]int)
	for _, e := range engines {
		kinds[e.Accelerator] = widest
	}
	best := try(m, engines, kinds, room)
	consider := func(candidate map[string]int) {
		if p := try(m, engines, candidate, room); p.score() > best.score() {
			best, kinds = p, candidate
		}
	}
	if best.unchanged() {
		return best.improve()
	}
	names := slices.Sorted(maps.Keys(kinds))
	vary := func(choices []int) {
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
					varied := maps.Clone(kinds)
					varied[name] = requests
					consider(varied)
				}
			}
		}
	}
	ample := slices.Index(rooms, stretchRoom)
	vary(rooms[ample:])
	if best.score() < 0 {
		vary(rooms[:ample])
	}
	return best.assigned
}

// try plans with the given room for each kind of accelerator. The neighbours of a
// gap go before engines that hold layers elsewhere: those first wait for the
// requests that pass through them, for as long as a request takes.
func try(m *routing.Model, engines []Engine, kinds map[string]int, room int) *planner {
	p := newPlanner(m, engines, kinds)
	p.keepHeld()
	p.closeGaps(p.emptyEngine)
	p.stretch(room, false)
	p.closeGaps(p.spareEngine)
	p.spreadRest()
	p.stretch(room, true)
	p.arrange()
	return p
}

// unchanged reports whether every engine keeps what it holds and no layer lacks
// a holder.
func (p *planner) unchanged() bool {
	for _, e := range p.engines {
		if p.assigned[e.ID] != e.HeldLayers {
			return false
		}
	}
	return slices.Min(p.copies) > 0
}

// spareWeight is the worth of a second holder for all layers, as a share of the
// room: without it the loss of any engine interrupts every request of the data
// centre.
const spareWeight = 0.2

// meanWeight is the worth of the mean room beside the least. The mean is the
// harmonic one, to which the tight layers count most.
const meanWeight = 1.0

// score rates a layout: the room at the tightest layer and the mean room, more
// where layers have a second holder, and less than any other where a layer has
// none.
func (p *planner) score() float64 {
	least, held, twice, inverse := math.MaxInt, 0, 0, 0.0
	for l, n := range p.copies {
		if n > 0 {
			held++
			least = min(least, p.tokens[l])
			inverse += 1 / float64(1+p.tokens[l])
		}
		if n > 1 {
			twice++
		}
	}
	layers := float64(p.model.Layers)
	if held < p.model.Layers {
		return float64(held) - layers - 1/(1+float64(held)/inverse)
	}
	room := float64(least) + meanWeight*layers/inverse
	return room * (1 + spareWeight*float64(twice)/layers)
}
