// Package layout decides which engine holds which layers of a model. It is
// pure: engines in, assignments out.
package layout

import (
	"cmp"
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
	// Held is the range that the engine holds or was last ordered to hold.
	Held Range
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
func Plan(m *routing.Model, engines []Engine) map[string]Range {
	plan := make(map[string]Range, len(engines))
	byDataCentre := make(map[string][]Engine)
	for _, e := range engines {
		if m.Accelerators[e.Accelerator] != nil {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	for _, group := range byDataCentre {
		for id, r := range planDataCentre(m, group) {
			plan[id] = r
		}
	}
	return plan
}

// rooms are the amounts of KV cache per engine, in requests of the usual size,
// among which the sizes of a layout are chosen.
var rooms = []int{4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256}

// planDataCentre looks for the sizes with which the tightest layer has most
// room. It varies one kind of accelerator at a time, from the best size that is
// the same for all.
func planDataCentre(m *routing.Model, engines []Engine) map[string]Range {
	kinds := make(map[string]int)
	for _, e := range engines {
		kinds[e.Accelerator] = rooms[0]
	}
	best := try(m, engines, kinds)
	consider := func(candidate map[string]int) {
		if p := try(m, engines, candidate); p.score() > best.score() {
			best, kinds = p, candidate
		}
	}
	if best.unchanged() {
		return best.assigned
	}
	for _, room := range rooms[1:] {
		same := make(map[string]int)
		for kind := range kinds {
			same[kind] = room
		}
		consider(same)
	}
	names := slices.Sorted(maps.Keys(kinds))
	for range names {
		for _, name := range names {
			for _, room := range rooms {
				varied := maps.Clone(kinds)
				varied[name] = room
				consider(varied)
			}
		}
	}
	if best.score() >= 0 {
		return best.assigned
	}
	return afresh(m, engines, best)
}

// afresh plans without regard to what the engines hold, where a gap could not
// be closed otherwise. It returns the better of both plans.
func afresh(m *routing.Model, engines []Engine, repaired *planner) map[string]Range {
	empty := slices.Clone(engines)
	held := false
	for i := range empty {
		held = held || !empty[i].Held.Empty()
		empty[i].Held = Range{}
	}
	if !held {
		return repaired.assigned
	}
	fresh := planDataCentre(m, empty)
	p := newPlanner(m, empty, nil)
	for _, e := range empty {
		if r, ok := fresh[e.ID]; ok {
			p.assign(e, r)
		}
	}
	if p.score() < 0 {
		return repaired.assigned
	}
	return fresh
}

// try plans with the given room for each kind of accelerator.
func try(m *routing.Model, engines []Engine, kinds map[string]int) *planner {
	p := newPlanner(m, engines, kinds)
	p.keepHeld()
	p.closeGaps()
	p.spreadRest()
	p.stretch()
	return p
}

// unchanged reports whether every engine keeps what it holds and no layer lacks
// a holder.
func (p *planner) unchanged() bool {
	for _, e := range p.engines {
		if p.assigned[e.ID] != e.Held {
			return false
		}
	}
	return slices.Min(p.copies) > 0
}

// spareWeight is the worth of a second holder for all layers, as a share of the
// room: without it the loss of any engine interrupts every request of the data
// centre.
const spareWeight = 0.5

// score rates a layout: the room at the tightest layer, more where layers have
// a second holder, and less than any other where a layer has none.
func (p *planner) score() float64 {
	least, held, twice := math.MaxInt, 0, 0
	for l, n := range p.copies {
		if n > 0 {
			held++
			least = min(least, p.tokens[l])
		}
		if n > 1 {
			twice++
		}
	}
	if held < p.model.Layers {
		return float64(held-p.model.Layers) - 1
	}
	return float64(least) * (1 + spareWeight*float64(twice)/float64(p.model.Layers))
}

// planner plans one data centre.
type planner struct {
	model    *routing.Model
	engines  []Engine // fastest first
	size     map[string]int
	room     map[string]int // KV tokens beside the assigned layers
	assigned map[string]Range
	copies   []int // engines that hold the layer
	tokens   []int // KV tokens over all engines that hold the layer
}

func newPlanner(m *routing.Model, engines []Engine, kinds map[string]int) *planner {
	p := &planner{
		model:    m,
		engines:  slices.Clone(engines),
		size:     make(map[string]int),
		room:     make(map[string]int),
		assigned: make(map[string]Range),
		copies:   make([]int, m.Layers),
		tokens:   make([]int, m.Layers),
	}
	slices.SortFunc(p.engines, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(m.Accelerators[a.Accelerator].StepFactor, m.Accelerators[b.Accelerator].StepFactor),
			cmp.Compare(a.ID, b.ID))
	})
	for _, e := range p.engines {
		p.size[e.ID] = m.MaxLayers(m.Accelerators[e.Accelerator], kinds[e.Accelerator]*(m.UsualPrompt+m.UsualAnswer))
	}
	return p
}

func (p *planner) assign(e Engine, r Range) {
	p.release(e)
	p.assigned[e.ID] = r
	p.room[e.ID] = p.model.KVTokens(p.model.Accelerators[e.Accelerator], r.Len())
	for l := r.From; l < r.To; l++ {
		p.copies[l]++
		p.tokens[l] += p.room[e.ID]
	}
}

func (p *planner) release(e Engine) {
	r, ok := p.assigned[e.ID]
	if !ok {
		return
	}
	for l := r.From; l < r.To; l++ {
		p.copies[l]--
		p.tokens[l] -= p.room[e.ID]
	}
	delete(p.assigned, e.ID)
}

// keepHeld keeps the range of each engine that holds one that fits it.
func (p *planner) keepHeld() {
	for _, e := range p.engines {
		a := p.model.Accelerators[e.Accelerator]
		fits := e.Held.From >= 0 && e.Held.To <= p.model.Layers && float64(e.Held.Len())*p.model.LayerMB <= a.MemoryMB
		if !e.Held.Empty() && fits {
			p.assign(e, e.Held)
		}
	}
}

// closeGaps places engines until the data centre holds every layer or no
// engine is left to place.
func (p *planner) closeGaps() {
	for {
		gap, ok := p.firstGap()
		if !ok {
			return
		}
		e, ok := p.candidate(gap)
		if !ok {
			return
		}
		p.assign(e, p.windowAt(gap, p.size[e.ID]))
	}
}

// firstGap returns the first range of layers that no engine holds.
func (p *planner) firstGap() (Range, bool) {
	from := slices.Index(p.copies, 0)
	if from < 0 {
		return Range{}, false
	}
	to := from
	for to < len(p.copies) && p.copies[to] == 0 {
		to++
	}
	return Range{from, to}, true
}

// windowAt returns a range of at most n layers that begins with the gap. Layers
// beyond a gap have holders, and would only take memory from the KV cache.
func (p *planner) windowAt(gap Range, n int) Range {
	n = min(n, gap.Len())
	from := min(gap.From, p.model.Layers-n)
	return Range{from, from + n}
}

// candidate returns an engine without layers, the fastest first, or one whose
// layers others hold too. Of the latter it takes the one that closes most of
// the gap.
func (p *planner) candidate(gap Range) (Engine, bool) {
	for _, e := range p.engines {
		if _, taken := p.assigned[e.ID]; !taken && p.size[e.ID] > 0 {
			return e, true
		}
	}
	best, most := Engine{}, 0
	for _, e := range p.engines {
		closes := min(gap.Len(), p.size[e.ID])
		if p.spare(e) && closes >= most && closes > 0 {
			best, most = e, closes
		}
	}
	return best, most > 0
}

// spare reports whether every layer of an engine has another holder.
func (p *planner) spare(e Engine) bool {
	r := p.assigned[e.ID]
	for l := r.From; l < r.To; l++ {
		if p.copies[l] < 2 {
			return false
		}
	}
	return !r.Empty()
}

// stretch closes gaps that are left by the engines beside them. They take one
// layer at a time, the one with more room first, so that the load of new layers
// is short and nothing that they hold is given up.
func (p *planner) stretch() {
	for {
		gap, ok := p.firstGap()
		if !ok || !p.stretchInto(gap) {
			return
		}
	}
}

func (p *planner) stretchInto(gap Range) bool {
	best, wanted, most := Engine{}, Range{}, 0
	for _, e := range p.engines {
		r, ok := p.assigned[e.ID]
		switch {
		case !ok:
			continue
		case r.To == gap.From:
			r.To++
		case r.From == gap.To:
			r.From--
		default:
			continue
		}
		a := p.model.Accelerators[e.Accelerator]
		if room := p.model.KVTokens(a, r.Len()); room > most && room >= rooms[0]*(p.model.UsualPrompt+p.model.UsualAnswer) {
			best, wanted, most = e, r, room
		}
	}
	if most == 0 {
		return false
	}
	p.assign(best, wanted)
	return true
}

// spreadRest places the engines without layers where there is least room.
func (p *planner) spreadRest() {
	for _, e := range p.engines {
		if _, taken := p.assigned[e.ID]; taken || p.size[e.ID] == 0 {
			continue
		}
		p.assign(e, p.tightest(p.size[e.ID]))
	}
}

// tightest returns the window of n layers with the least room: the one whose
// layers gain most from another holder.
func (p *planner) tightest(n int) Range {
	n = min(n, p.model.Layers)
	best, most := Range{0, n}, -1.0
	for from := 0; from+n <= p.model.Layers; from++ {
		gain := 0.0
		for l := from; l < from+n; l++ {
			gain += 1 / (1 + float64(p.tokens[l]))
		}
		if gain > most*(1+1e-9) {
			best, most = Range{from, from + n}, gain
		}
	}
	return best
}
