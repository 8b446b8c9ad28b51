package layout

import (
	"maps"
	"math"
)

// closeInTwoSteps closes a gap with two successive plans. In the first, the engine on
// the far side of a neighbour also takes some of the neighbour's layers. Once they are
// loaded, the neighbour drops them and takes the gap. If that leaves too little KV
// cache, the plan frees an engine elsewhere instead.
func (p *planner) closeInTwoSteps(gap Range, minTokens int) {
	var best []change
	bestTokens := minTokens - 1
	for _, e := range p.engines {
		r, ok := p.assigned[e.ID]
		if !ok || (r.From != gap.To && r.To != gap.From) {
			continue
		}
		for n := 1; n < r.Len(); n++ {
			changes, kvTokensKept := p.nextStep(e, r, gap, n)
			if kvTokensKept > bestTokens {
				best, bestTokens = changes, kvTokensKept
			}
		}
	}
	if best == nil {
		best = p.freeEngineFor(gap, minTokens)
	}
	for _, c := range best {
		p.assign(c.engine, c.to)
	}
}

// freeEngineFor returns the changes by which the neighbours of some engine take over
// all its layers, so that the next plan can assign the gap to it. Among the engines
// with enough KV cache for the gap, it chooses the one whose neighbours keep the most.
func (p *planner) freeEngineFor(gap Range, minTokens int) []change {
	var best []change
	bestTokens := minTokens - 1
	for _, e := range p.engines {
		held, ok := p.assigned[e.ID]
		if !ok || p.kvTokensLeft(e, gap) < minTokens {
			continue
		}
		before := maps.Clone(p.assigned)
		p.release(e)
		rest := held
		for !rest.Empty() && p.holderCount[rest.From] > 0 {
			rest.From++
		}
		for !rest.Empty() && p.holderCount[rest.To-1] > 0 {
			rest.To--
		}
		for !rest.Empty() && p.extendOneLayer(&rest, minTokens) {
		}
		changes, kvTokensKept := p.changesSince(before)
		p.assign(e, held)
		p.restore(before)
		if rest.Empty() && len(changes) > 0 && kvTokensKept > bestTokens {
			best, bestTokens = changes, kvTokensKept
		}
	}
	return best
}

// changesSince returns the assignments that differ from before, and the least KV cache
// left on the engines concerned.
func (p *planner) changesSince(before map[string]Range) ([]change, int) {
	var changes []change
	minTokens := math.MaxInt
	for _, e := range p.engines {
		if r, ok := p.assigned[e.ID]; ok && r != before[e.ID] {
			changes = append(changes, change{e, r})
			minTokens = min(minTokens, p.kvTokensLeft(e, r))
		}
	}
	return changes, minTokens
}

type change struct {
	engine Engine
	to     Range
}

// nextStep returns the change to make now so that engine e, which holds r, can take the
// gap and drop n layers at its other end: this change itself if other engines hold the
// n layers, and otherwise that another engine with adjacent layers takes them first. It
// also returns the least number of KV tokens that still fit on the engines involved. It
// returns nil if no engine can take the n layers.
func (p *planner) nextStep(e Engine, r, gap Range, n int) ([]change, int) {
	taken, dropped := Range{gap.From, r.To - n}, Range{r.To - n, r.To}
	if r.To == gap.From {
		taken, dropped = Range{r.From + n, gap.To}, Range{r.From, r.From + n}
	}
	kvTokensKept := p.kvTokensLeft(e, taken)
	if p.heldByOthers(e, dropped) {
		return []change{{e, taken}}, kvTokensKept
	}
	for _, other := range p.engines {
		otherRange, ok := p.assigned[other.ID]
		if !ok || other.ID == e.ID {
			continue
		}
		wider := otherRange
		switch {
		case otherRange.From == dropped.To && dropped.To == r.To:
			wider.From = dropped.From
		case otherRange.To == dropped.From && dropped.From == r.From:
			wider.To = dropped.To
		default:
			continue
		}
		return []change{{other, wider}}, min(kvTokensKept, p.kvTokensLeft(other, wider))
	}
	return nil, 0
}

// heldByOthers reports whether other engines hold every layer of r.
func (p *planner) heldByOthers(e Engine, r Range) bool {
	own := p.assigned[e.ID]
	for l := r.From; l < r.To; l++ {
		holderCount := p.holderCount[l]
		if l >= own.From && l < own.To {
			holderCount--
		}
		if holderCount < 1 {
			return false
		}
	}
	return true
}
