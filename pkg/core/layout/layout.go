// Package layout decides which engine holds which layers of a model. It is
// pure: engines in, assignments out.
package layout

import (
	"cmp"
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

// Demand says how much work a layout is made for.
type Demand struct {
	// PathTokens is the KV cache that one path through a data centre should
	// have room for at each layer.
	PathTokens int
}

// minPathTokens is the least room per engine for which a layout is still
// useful: four requests of the usual size.
func minPathTokens(m *routing.Model) int { return 4 * (m.UsualPrompt + m.UsualAnswer) }

// Plan returns the range that each engine should hold. Engines keep what they
// hold unless they can close a gap: a layer that no engine of the data centre
// holds. Each data centre gets a full copy of the model first, so that no
// activations cross between data centres; what is left goes to the layers with
// the least room, which are also those whose loss costs most.
func Plan(m *routing.Model, engines []Engine, d Demand) map[string]Range {
	plan := make(map[string]Range, len(engines))
	byDataCentre := make(map[string][]Engine)
	for _, e := range engines {
		if m.Accelerators[e.Accelerator] != nil {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	for _, group := range byDataCentre {
		p := newPlanner(m, group, d)
		p.keepHeld()
		p.closeGaps()
		p.spreadRest()
		for id, r := range p.assigned {
			plan[id] = r
		}
	}
	return plan
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

func newPlanner(m *routing.Model, engines []Engine, d Demand) *planner {
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
	p.chooseSizes(d.PathTokens)
	return p
}

// chooseSizes gives each engine the layers beside which the wanted KV cache
// fits, and more where the data centre could not hold the model otherwise.
func (p *planner) chooseSizes(tokens int) {
	least := minPathTokens(p.model)
	for {
		total := 0
		for _, e := range p.engines {
			n := p.model.MaxLayers(p.model.Accelerators[e.Accelerator], tokens)
			p.size[e.ID] = n
			total += n
		}
		if total >= p.model.Layers || tokens <= least {
			return
		}
		tokens = max(least, tokens*3/4)
	}
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

// windowAt returns the range of n layers that begins with the gap, moved down
// where it would pass the last layer.
func (p *planner) windowAt(gap Range, n int) Range {
	n = min(n, p.model.Layers)
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
