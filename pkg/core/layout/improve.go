package layout

import "maps"

const (
	// minGain is the factor by which a change must improve the score of the current
	// layout. Changes are expensive: loading layers takes time, and an engine drops
	// layers only after the requests that use them have finished.
	minGain = 1.03
	// minMoveGain is the same factor for an engine that drops all its layers: it
	// serves nothing until the requests that use it have finished.
	minMoveGain = 1.2
	// maxShiftLayers is the largest number of layers that move between two engines in
	// one change.
	maxShiftLayers = 8
)

// improve returns the plan with the single change that raises the score most: an
// engine drops layers that others also hold, takes over layers from a neighbour, or
// moves elsewhere. Repairs leave engines with little KV cache; single changes restore
// it without moving all engines at once.
func (p *planner) improve() map[string]Range {
	currentScore := p.score()
	best := maps.Clone(p.assigned)
	bestScore := minGain * currentScore
	if currentScore < 0 {
		return best
	}
	for _, e := range p.engines {
		r, ok := p.assigned[e.ID]
		if !ok {
			continue
		}
		for n := 1; n < r.Len(); n++ {
			for _, kept := range []Range{{r.From + n, r.To}, {r.From, r.To - n}} {
				if newScore := p.scoreWith(e, kept); newScore > bestScore {
					best, bestScore = maps.Clone(p.assigned), newScore
					best[e.ID] = kept
				}
			}
		}
		p.considerShifts(e, r, &best, &bestScore)
	}
	p.considerMoves(currentScore, &best, &bestScore)
	return best
}

// considerMoves evaluates moving each engine whose layers all have another holder to
// the layers with the least KV cache.
func (p *planner) considerMoves(currentScore float64, best *map[string]Range, bestScore *float64) {
	for _, e := range p.engines {
		if !p.redundant(e) {
			continue
		}
		current := p.assigned[e.ID]
		p.release(e)
		minTokens := max(1, p.kvTokensLeft(e, current))
		for layers := 1; layers <= p.model.Layers && p.kvTokensLeft(e, Range{0, layers}) >= minTokens; layers++ {
			target := p.bottleneckRange(layers)
			p.assign(e, target)
			if newScore := p.score(); newScore > max(*bestScore, minMoveGain*currentScore) {
				*best, *bestScore = maps.Clone(p.assigned), newScore
			}
			p.release(e)
		}
		p.assign(e, current)
	}
}

// considerShifts evaluates engine e taking over layers from another engine that is
// adjacent to it or is separated from it only by layers that a third engine holds. The
// other engine drops the layers in a later plan, once e holds them.
func (p *planner) considerShifts(e Engine, held Range, best *map[string]Range, bestScore *float64) {
	for layers := 1; layers <= maxShiftLayers; layers++ {
		for _, wider := range []Range{{held.From, held.To + layers}, {held.From - layers, held.To}} {
			if wider.From < 0 || wider.To > p.model.Layers || p.kvTokensLeft(e, wider) == 0 {
				continue
			}
			for _, other := range p.engines {
				otherRange, ok := p.assigned[other.ID]
				if !ok || other.ID == e.ID {
					continue
				}
				var rest Range
				switch {
				case wider.To > held.To && otherRange.From >= held.From && otherRange.From < wider.To && wider.To < otherRange.To:
					rest = Range{wider.To, otherRange.To}
				case wider.From < held.From && otherRange.To <= held.To && otherRange.To > wider.From && wider.From > otherRange.From:
					rest = Range{otherRange.From, wider.From}
				default:
					continue
				}
				p.assign(other, rest)
				if newScore := p.scoreWith(e, wider); newScore > *bestScore {
					p.assign(other, otherRange)
					*best, *bestScore = maps.Clone(p.assigned), newScore
					(*best)[e.ID] = wider
				}
				p.assign(other, otherRange)
			}
		}
	}
}

// scoreWith returns the score if engine e held range r instead of its assigned one.
func (p *planner) scoreWith(e Engine, r Range) float64 {
	current := p.assigned[e.ID]
	p.assign(e, r)
	result := p.score()
	p.assign(e, current)
	return result
}
