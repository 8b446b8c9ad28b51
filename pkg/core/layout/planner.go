package layout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

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
			cmp.Compare(m.Accelerators[a.Accelerator].DecodeFactor, m.Accelerators[b.Accelerator].DecodeFactor),
			cmp.Compare(a.ID, b.ID))
	})
	for _, e := range p.engines {
		p.size[e.ID] = m.MaxLayers(m.Accelerators[e.Accelerator], kinds[e.Accelerator]*(m.TypicalPromptTokens+m.TypicalOutputTokens))
	}
	return p
}

// roomFor returns the KV cache of an engine beside a range of layers, in tokens.
func (p *planner) roomFor(e Engine, r Range) int {
	return p.model.KVCapacity(p.model.Accelerators[e.Accelerator], r.Len())
}

func (p *planner) assign(e Engine, r Range) {
	p.release(e)
	p.assigned[e.ID] = r
	p.room[e.ID] = p.roomFor(e, r)
	for l := r.From; l < r.To; l++ {
		p.copies[l]++
		p.tokens[l] += p.roomAt(e, l)
	}
}

// roomAt returns what an engine adds to the room at a layer that it holds, in
// tokens. At the first layer its slots bound the requests that begin at it.
func (p *planner) roomAt(e Engine, layer int) int {
	if layer > 0 || p.model.Slots <= 0 {
		return p.room[e.ID]
	}
	return min(p.room[e.ID], p.model.Slots*(p.model.TypicalPromptTokens+p.model.TypicalOutputTokens))
}

func (p *planner) release(e Engine) {
	r, ok := p.assigned[e.ID]
	if !ok {
		return
	}
	for l := r.From; l < r.To; l++ {
		p.copies[l]--
		p.tokens[l] -= p.roomAt(e, l)
	}
	delete(p.assigned, e.ID)
}

// keepHeld keeps the range of each engine that holds one that fits it.
func (p *planner) keepHeld() {
	for _, e := range p.engines {
		a := p.model.Accelerators[e.Accelerator]
		fits := e.HeldLayers.From >= 0 && e.HeldLayers.To <= p.model.Layers && float64(e.HeldLayers.Len())*p.model.LayerMB <= a.MemoryMB
		if !e.HeldLayers.Empty() && fits {
			p.assign(e, e.HeldLayers)
		}
	}
}

// closeGaps places engines that candidate chooses until the data centre holds every
// layer or none is left to place.
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
		p.assign(e, p.windowAt(gap, p.size[e.ID]))
	}
}

// windowAt returns a range of at most n layers that begins with the gap. Layers
// beyond a gap have holders, and would only take memory from the KV cache.
func (p *planner) windowAt(gap Range, n int) Range {
	n = min(n, gap.Len())
	from := min(gap.From, p.model.Layers-n)
	return Range{from, from + n}
}

// emptyEngine returns an engine without layers, the fastest first.
func (p *planner) emptyEngine(Range) (Engine, bool) {
	for _, e := range p.engines {
		if _, taken := p.assigned[e.ID]; !taken && p.size[e.ID] > 0 {
			return e, true
		}
	}
	return Engine{}, false
}

// spareEngine returns the engine that closes most of a gap among those whose layers
// others hold too, the slowest first.
func (p *planner) spareEngine(gap Range) (Engine, bool) {
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

// stretch closes gaps that are left by the engines beside them, where each
// keeps room for so many requests. They take one layer at a time, the one with
// more room first, so that the load of new layers is short and nothing that they
// hold is given up. Part of a gap is never closed: it would only cost room. Where
// the engines beside a gap have too little room, one of them first passes layers
// on to its other neighbour, with passOn.
func (p *planner) stretch(room int, passOn bool) {
	tokens := room * (p.model.TypicalPromptTokens + p.model.TypicalOutputTokens)
	left := make(map[Range]bool)
	for {
		gap, ok := p.nextGap(left)
		if !ok {
			return
		}
		before := maps.Clone(p.assigned)
		rest := gap
		for !rest.Empty() && p.stretchInto(&rest, tokens) {
		}
		if !rest.Empty() {
			p.restore(before)
			if passOn {
				p.pass(gap, tokens)
			}
			left[gap] = true
		}
	}
}

// arrange lays a first layout out again with the short ranges first: the loss of
// the first engine of a path ends the connections of its requests, so it should
// not be the one that takes longest to replace.
func (p *planner) arrange() {
	for _, e := range p.engines {
		if !e.HeldLayers.Empty() {
			return
		}
	}
	if slices.Max(p.copies) > 1 || slices.Min(p.copies) == 0 {
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

// nextGap returns the first gap that is not in left.
func (p *planner) nextGap(left map[Range]bool) (Range, bool) {
	for from := 0; from < len(p.copies); from++ {
		if p.copies[from] > 0 {
			continue
		}
		to := from
		for to < len(p.copies) && p.copies[to] == 0 {
			to++
		}
		if gap := (Range{from, to}); !left[gap] {
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

// stretchInto gives one layer at an end of the gap to an engine beside it.
func (p *planner) stretchInto(gap *Range, tokens int) bool {
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
		if room := p.roomFor(e, r); room > most && room >= tokens {
			best, wanted, most = e, r, room
		}
	}
	if most == 0 {
		return false
	}
	if wanted.To == gap.From+1 {
		gap.From++
	} else {
		gap.To--
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
