package layout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// planner plans the layout of one data centre.
type planner struct {
	model         *routing.Model
	engines       []Engine       // fastest first
	layerLimit    map[string]int // most layers that leave the wanted KV headroom
	kvLeft        map[string]int // KV tokens left next to the assigned layers
	assigned      map[string]Range
	holderCount   []int         // number of engines that hold each layer
	layerKVTokens []int         // KV tokens of all engines that hold each layer
	requestTime   time.Duration // mean time of a typical request on these engines, alone
}

func newPlanner(m *routing.Model, engines []Engine, headroom map[string]int) *planner {
	p := &planner{
		model:         m,
		engines:       slices.Clone(engines),
		layerLimit:    make(map[string]int),
		kvLeft:        make(map[string]int),
		assigned:      make(map[string]Range),
		holderCount:   make([]int, m.Layers),
		layerKVTokens: make([]int, m.Layers),
	}
	slices.SortFunc(p.engines, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(m.Accelerators[a.Accelerator].DecodeFactor, m.Accelerators[b.Accelerator].DecodeFactor),
			cmp.Compare(a.ID, b.ID))
	})
	for _, e := range p.engines {
		a := m.Accelerators[e.Accelerator]
		alone := m.DecodeTime(a, m.Layers)*time.Duration(m.TypicalOutputTokens) + m.PrefillTime(a, m.Layers)*time.Duration(m.TypicalPromptTokens)
		p.requestTime += alone / time.Duration(len(p.engines))
		p.layerLimit[e.ID] = m.MaxLayers(m.Accelerators[e.Accelerator], headroom[e.Accelerator]*(m.TypicalPromptTokens+m.TypicalOutputTokens))
	}
	return p
}

// kvTokensLeft returns the KV cache that an engine has left when it holds r, in
// tokens.
func (p *planner) kvTokensLeft(e Engine, r Range) int {
	return p.model.KVCapacity(p.model.Accelerators[e.Accelerator], r.Len())
}

func (p *planner) assign(e Engine, r Range) {
	p.release(e)
	p.assigned[e.ID] = r
	p.kvLeft[e.ID] = p.kvTokensLeft(e, r)
	for l := r.From; l < r.To; l++ {
		p.holderCount[l]++
		p.layerKVTokens[l] += p.kvTokensAt(e, l)
	}
}

// kvTokensAt returns the KV tokens that an engine contributes at a layer it holds. At
// the first layer, its slots and the limit that it names also limit the requests that can
// start there.
func (p *planner) kvTokensAt(e Engine, layer int) int {
	tokens := p.kvLeft[e.ID]
	if layer > 0 {
		return tokens
	}
	perRequest := p.model.TypicalPromptTokens + p.model.TypicalOutputTokens
	if p.model.Slots > 0 {
		tokens = min(tokens, p.model.Slots*perRequest)
	}
	if e.RequestLimit > 0 {
		tokens = min(tokens, int(e.RequestLimit*p.requestTime.Seconds()*float64(perRequest)))
	}
	return tokens
}

func (p *planner) release(e Engine) {
	r, ok := p.assigned[e.ID]
	if !ok {
		return
	}
	for l := r.From; l < r.To; l++ {
		p.holderCount[l]--
		p.layerKVTokens[l] -= p.kvTokensAt(e, l)
	}
	delete(p.assigned, e.ID)
}

// keepCurrent assigns each engine its current range if that range fits its memory.
func (p *planner) keepCurrent() {
	for _, e := range p.engines {
		a := p.model.Accelerators[e.Accelerator]
		fits := e.HeldLayers.From >= 0 && e.HeldLayers.To <= p.model.Layers && float64(e.HeldLayers.Len())*p.model.LayerMB <= a.MemoryMB
		if !e.HeldLayers.Empty() && fits {
			p.assign(e, e.HeldLayers)
		}
	}
}

// closeGaps assigns gaps to the engines that candidate selects until the data centre
// holds every layer or candidate finds no engine.
func (p *planner) closeGaps(candidate func(Range) (Engine, bool)) {
	for {
		gap, ok := p.nextGap(nil)
		if !ok {
			return
		}
		e, ok := candidate(gap)
		if !ok {
			return
		}
		p.assign(e, p.withFirstLayer(e, p.rangeInGap(gap, p.layerLimit[e.ID])))
	}
}

// rangeInGap returns a range of at most n layers from the start of the gap. Layers
// outside the gap already have holders and would only take memory from the KV cache.
func (p *planner) rangeInGap(gap Range, n int) Range {
	n = min(n, gap.Len())
	from := min(gap.From, p.model.Layers-n)
	return Range{from, from + n}
}

// withFirstLayer extends the range of an engine that names no limit to the first layer if all
// holders of the first layer name one and the engine keeps the wanted headroom.
func (p *planner) withFirstLayer(e Engine, r Range) Range {
	if e.RequestLimit > 0 || r.From == 0 || r.To > p.layerLimit[e.ID] || p.holderCount[0] == 0 {
		return r
	}
	for _, other := range p.engines {
		held, ok := p.assigned[other.ID]
		if ok && !held.Empty() && held.From == 0 && other.RequestLimit == 0 {
			return r
		}
	}
	return Range{0, r.To}
}

// unassignedEngine returns the fastest engine without layers.
func (p *planner) unassignedEngine(Range) (Engine, bool) {
	for _, e := range p.engines {
		if _, taken := p.assigned[e.ID]; !taken && p.layerLimit[e.ID] > 0 {
			return e, true
		}
	}
	return Engine{}, false
}

// redundantEngine returns the engine that can close most of the gap among those whose
// layers all have another holder. Ties go to the slowest.
func (p *planner) redundantEngine(gap Range) (Engine, bool) {
	best, bestClosable := Engine{}, 0
	for _, e := range p.engines {
		closable := min(gap.Len(), p.layerLimit[e.ID])
		if p.redundant(e) && closable >= bestClosable && closable > 0 {
			best, bestClosable = e, closable
		}
	}
	return best, bestClosable > 0
}

// redundant reports whether an engine holds layers and each of them has another
// holder.
func (p *planner) redundant(e Engine) bool {
	r := p.assigned[e.ID]
	for l := r.From; l < r.To; l++ {
		if p.holderCount[l] < 2 {
			return false
		}
	}
	return !r.Empty()
}

// extendNeighbours closes gaps by extending the adjacent engines, as long as each
// keeps KV headroom for minHeadroom requests. Layers are added one at a time to the
// neighbour with more KV cache left, so that loads stay short and no engine drops
// layers. A gap is closed whole or not at all: closing a part costs KV cache without
// making the model complete. If the neighbours have too little KV cache and twoStep is
// set, the gap is handled by closeInTwoSteps.
func (p *planner) extendNeighbours(minHeadroom int, twoStep bool) {
	minTokens := minHeadroom * (p.model.TypicalPromptTokens + p.model.TypicalOutputTokens)
	skip := make(map[Range]bool)
	for {
		gap, ok := p.nextGap(skip)
		if !ok {
			return
		}
		before := maps.Clone(p.assigned)
		rest := gap
		for !rest.Empty() && p.extendOneLayer(&rest, minTokens) {
		}
		if !rest.Empty() {
			p.restore(before)
			if twoStep {
				p.closeInTwoSteps(gap, minTokens)
			}
			skip[gap] = true
		}
	}
}

// sortByLength reorders an initial layout without redundant layers so that short
// ranges come first. Losing the first engine of a path ends the client connections of
// its requests, so it should not be an engine that takes longest to reload.
func (p *planner) sortByLength() {
	for _, e := range p.engines {
		if !e.HeldLayers.Empty() {
			return
		}
	}
	if slices.Max(p.holderCount) > 1 || slices.Min(p.holderCount) == 0 {
		return
	}
	order := slices.Clone(p.engines)
	slices.SortStableFunc(order, func(a, b Engine) int {
		return cmp.Compare(p.assigned[a.ID].Len(), p.assigned[b.ID].Len())
	})
	from := 0
	lengths := make(map[string]int)
	for _, e := range order {
		lengths[e.ID] = p.assigned[e.ID].Len()
		p.release(e)
	}
	for _, e := range order {
		if n := lengths[e.ID]; n > 0 {
			p.assign(e, Range{from, from + n})
			from += n
		}
	}
}

// nextGap returns the first gap that is not in skip.
func (p *planner) nextGap(skip map[Range]bool) (Range, bool) {
	for from := 0; from < len(p.holderCount); from++ {
		if p.holderCount[from] > 0 {
			continue
		}
		to := from
		for to < len(p.holderCount) && p.holderCount[to] == 0 {
			to++
		}
		if gap := (Range{from, to}); !skip[gap] {
			return gap, true
		}
		from = to
	}
	return Range{}, false
}

func (p *planner) restore(assigned map[string]Range) {
	for _, e := range p.engines {
		if r, ok := assigned[e.ID]; ok && r != p.assigned[e.ID] {
			p.assign(e, r)
		}
	}
}

// extendOneLayer assigns one layer at either end of the gap to an adjacent engine. It
// returns false if none would keep enough KV tokens.
func (p *planner) extendOneLayer(gap *Range, minTokens int) bool {
	best, extended, bestTokens := Engine{}, Range{}, 0
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
		if left := p.kvTokensLeft(e, r); left > bestTokens && left >= minTokens {
			best, extended, bestTokens = e, r, left
		}
	}
	if bestTokens == 0 {
		return false
	}
	if extended.To == gap.From+1 {
		gap.From++
	} else {
		gap.To--
	}
	p.assign(best, extended)
	return true
}

// placeUnassigned assigns engines without layers to the layers with the least KV
// cache.
func (p *planner) placeUnassigned() {
	for _, e := range p.engines {
		if _, taken := p.assigned[e.ID]; taken || p.layerLimit[e.ID] == 0 {
			continue
		}
		p.assign(e, p.bottleneckRange(p.layerLimit[e.ID]))
	}
}

// bottleneckRange returns the range of n layers with the least KV cache, measured by the
// sum of inverses: the range that gains most from another holder.
func (p *planner) bottleneckRange(n int) Range {
	n = min(n, p.model.Layers)
	best, bestGain := Range{0, n}, -1.0
	for from := 0; from+n <= p.model.Layers; from++ {
		gain := 0.0
		for l := from; l < from+n; l++ {
			gain += 1 / (1 + float64(p.layerKVTokens[l]))
		}
		if gain > bestGain*(1+1e-9) {
			best, bestGain = Range{from, from + n}, gain
		}
	}
	return best
}
