package layout

import (
	"maps"
	"math"
)

// pass closes a gap in two steps, each of them a plan of its own. In the first,
// the engine behind the neighbour of the gap takes some of the neighbour's
// layers too. Once it holds them, the neighbour gives them up and takes the gap.
// Where that leaves too little room, an engine elsewhere is relieved first.
func (p *planner) pass(gap Range, tokens int) {
	var best []move
	most := tokens - 1
	for _, e := range p.engines {
		r, ok := p.assigned[e.ID]
		if !ok || (r.From != gap.To && r.To != gap.From) {
			continue
		}
		for n := 1; n < r.Len(); n++ {
			steps, room := p.passing(e, r, gap, n)
			if room > most {
				best, most = steps, room
			}
		}
	}
	if best == nil {
		best = p.relieve(gap, tokens)
	}
	for _, m := range best {
		p.assign(m.engine, m.to)
	}
}

// relieve returns the moves by which the neighbours of some engine take over all
// its layers, so that the engine is free to close the gap in the next plan. Of
// the engines that have room for the gap it chooses the one whose neighbours keep
// most room.
func (p *planner) relieve(gap Range, tokens int) []move {
	var best []move
	most := tokens - 1
	for _, e := range p.engines {
		q, ok := p.assigned[e.ID]
		if !ok || p.roomFor(e, gap) < tokens {
			continue
		}
		before := maps.Clone(p.assigned)
		p.release(e)
		rest := q
		for !rest.Empty() && p.copies[rest.From] > 0 {
			rest.From++
		}
		for !rest.Empty() && p.copies[rest.To-1] > 0 {
			rest.To--
		}
		for !rest.Empty() && p.stretchInto(&rest, tokens) {
		}
		moves, room := p.movesSince(before)
		p.assign(e, q)
		p.restore(before)
		if rest.Empty() && len(moves) > 0 && room > most {
			best, most = moves, room
		}
	}
	return best
}

// movesSince returns what has changed since, and the least room of the engines
// that changed.
func (p *planner) movesSince(before map[string]Range) ([]move, int) {
	var moves []move
	room := math.MaxInt
	for _, e := range p.engines {
		if r, ok := p.assigned[e.ID]; ok && r != before[e.ID] {
			moves = append(moves, move{e, r})
			room = min(room, p.roomFor(e, r))
		}
	}
	return moves, room
}

type move struct {
	engine Engine
	to     Range
}

// passing returns the next step by which engine e takes the gap and gives up n
// layers at its other end, and the least room that both engines keep.
func (p *planner) passing(e Engine, r, gap Range, n int) ([]move, int) {
	taken, given := Range{gap.From, r.To - n}, Range{r.To - n, r.To}
	if r.To == gap.From {
		taken, given = Range{r.From + n, gap.To}, Range{r.From, r.From + n}
	}
	room := p.roomFor(e, taken)
	if p.heldByOthers(e, given) {
		return []move{{e, taken}}, room
	}
	for _, o := range p.engines {
		q, ok := p.assigned[o.ID]
		if !ok || o.ID == e.ID {
			continue
		}
		wider := q
		switch {
		case q.From == given.To && given.To == r.To:
			wider.From = given.From
		case q.To == given.From && given.From == r.From:
			wider.To = given.To
		default:
			continue
		}
		return []move{{o, wider}}, min(room, p.roomFor(o, wider))
	}
	return nil, 0
}

// heldByOthers reports whether other engines hold every layer of a range that e
// holds.
func (p *planner) heldByOthers(e Engine, r Range) bool {
	own := p.assigned[e.ID]
	for l := r.From; l < r.To; l++ {
		copies := p.copies[l]
		if l >= own.From && l < own.To {
			copies--
		}
		if copies < 1 {
			return false
		}
	}
	return true
}
