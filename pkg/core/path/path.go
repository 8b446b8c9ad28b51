// Package path chooses the engines that a request passes through, so that
// every layer runs once and in order. It is pure: reports in, path out.
package path

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Engine is an engine as a path may use it.
type Engine struct {
	ID              string
	Address         string
	DataCentre      string
	StartUnixMs     int64         // Unix ms, tells a process from an earlier one
	From, To        int           // layers held
	DecodePerLayer  time.Duration // of one token over one layer, with the present batch
	PrefillPerLayer time.Duration // of one prompt token over one layer
	FreeKVTokens    int           // KV cache that is left, in tokens over all layers held
	FreeSlots       int           // requests that it takes as first of a path
	KVUtilisation   float64       // share of its KV cache that is in use or spoken for
	SlotUtilisation float64       // share of its slots, as first of a path, likewise
	Penalty         time.Duration // added once, for an engine that answered badly
}

// PipelineStage is one engine of a path with the layers that it runs.
type PipelineStage struct {
	ID          string
	Address     string
	StartUnixMs int64 // of the engine, Unix ms
	From, To    int
}

// Request is what a path is chosen for.
type Request struct {
	InputTokens, ExpectedOutputTokens int    // tokens
	DataCentre                        string // of the entry
	// FirstStage, if set, is the part that the path has to begin with.
	FirstStage *PipelineStage
	// SingleDataCentre admits only paths that stay in one data centre.
	SingleDataCentre bool
	// AllowFull admits engines without room for the request.
	AllowFull bool
	// MaxCost, if set, is the cost from which a path counts as one without room.
	MaxCost time.Duration
	// CostFactor multiplies the time of an engine by a factor near one that
	// depends on the draw, so that entries with equal reports choose
	// differently.
	CostFactor func(id string) float64
}

// MaxStages is the largest number of engines in a path.
const MaxStages = 32

const (
	// crowded is the cost of an engine without room for the request: it would
	// refuse it. No sum of other costs reaches it, so that a path that costs less
	// has room.
	crowded = time.Hour
	// pipeWeight is the number of other transfers that a transfer over the shared
	// pipe is taken to delay.
	pipeWeight = 10
)

// maxBusy bounds the factor of a busy engine, so that paths without an idle
// engine still compare.
const maxBusy = 0.95

// crowding is the factor by which requests take longer on an engine of which such
// a share is in use. It rises from the first request on: the fastest path would
// otherwise get all requests until it is full.
func crowding(busy float64) float64 { return 1 / (1 - min(max(busy, 0), maxBusy)) }

// Choice is a path with its estimate.
type Choice struct {
	Stages []PipelineStage
	Cost   time.Duration
	// HasCapacity reports whether every engine has room for the request.
	HasCapacity bool
	// DataCentreCrossings is the number of times that the path changes the data centre.
	DataCentreCrossings int
}

// Choose returns the cheapest path. Paths inside one data centre are compared
// first; one that crosses is taken only where none of them is complete or all
// lack room, because the link between data centres is shared by all. The error is
// Overloaded where engines hold every layer but lack room, and Unavailable where
// they do not.
func Choose(m *routing.Model, engines []Engine, r Request) (Choice, error) {
	usable := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.To <= e.From })
	roomy := slices.DeleteFunc(slices.Clone(usable), func(e Engine) bool { return !e.hasRoom(r) })
	if c, ok := choose(m, roomy, r); ok && c.HasCapacity {
		return c, nil
	}
	if r.AllowFull {
		if c, ok := choose(m, usable, r); ok {
			return c, nil
		}
	} else if complete(m, usable, r.SingleDataCentre) {
		return Choice{}, fault.New(fault.Overloaded, "no path has room for %d tokens", r.InputTokens+r.ExpectedOutputTokens).WithOutcome(fault.NotRun)
	}
	return Choice{}, fault.New(fault.Unavailable, "no path holds every layer").WithOutcome(fault.NotRun)
}

func (r Request) limit() time.Duration {
	if r.MaxCost > 0 {
		return min(r.MaxCost, crowded)
	}
	return crowded
}

func (e *Engine) hasRoom(r Request) bool {
	return e.FreeKVTokens >= r.InputTokens+r.ExpectedOutputTokens
}

// mayStart reports whether an engine may be the first of the path.
func (r Request) mayStart(e Engine) bool {
	if r.FirstStage != nil {
		return r.FirstStage.ID == e.ID
	}
	return e.From == 0 && (e.FreeSlots > 0 || r.AllowFull)
}

func choose(m *routing.Model, engines []Engine, r Request) (Choice, bool) {
	if !covers(m, engines) {
		return Choice{}, false
	}
	groups := byDataCentre(engines)
	best, found := Choice{}, false
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		c, ok := cheapest(m, groups[name], r)
		if !ok {
			continue
		}
		if name != r.DataCentre {
			c.Cost += m.LinkDelay(r.DataCentre, name)
		}
		if !found || c.Cost < best.Cost {
			best, found = c, true
		}
	}
	if found && best.HasCapacity || r.SingleDataCentre {
		return best, found
	}
	if c, ok := cheapest(m, engines, r); ok && (!found || c.Cost < best.Cost) {
		best, found = c, true
		best.DataCentreCrossings = crossings(engines, c.Stages)
	}
	return best, found
}

func byDataCentre(engines []Engine) map[string][]Engine {
	groups := make(map[string][]Engine)
	for _, e := range engines {
		groups[e.DataCentre] = append(groups[e.DataCentre], e)
	}
	return groups
}

// complete reports whether there is a path, with room or without.
func complete(m *routing.Model, engines []Engine, inside bool) bool {
	if !inside {
		return covers(m, engines)
	}
	for _, group := range byDataCentre(engines) {
		if covers(m, group) {
			return true
		}
	}
	return false
}

// covers reports whether the engines hold every layer.
func covers(m *routing.Model, engines []Engine) bool {
	held := make([]bool, m.Layers)
	for _, e := range engines {
		for l := max(0, e.From); l < min(m.Layers, e.To); l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held, false)
}

func crossings(engines []Engine, parts []PipelineStage) int {
	where := make(map[string]string, len(engines))
	for _, e := range engines {
		where[e.ID] = e.DataCentre
	}
	n := 0
	for i := 1; i < len(parts); i++ {
		if where[parts[i].ID] != where[parts[i-1].ID] {
			n++
		}
	}
	return n
}

// cheapest returns the cheapest path over the engines.
func cheapest(m *routing.Model, engines []Engine, r Request) (Choice, bool) {
	for range engines {
		if !covers(m, engines) || !slices.ContainsFunc(engines, r.mayStart) {
			return Choice{}, false
		}
		s := newSearch(m, engines, r)
		parts, cost, ok := s.run()
		if !ok {
			return Choice{}, false
		}
		between := repeated(parts)
		if between == nil {
			return Choice{Stages: parts, Cost: cost, HasCapacity: cost < r.limit()}, len(parts) <= MaxStages
		}
		engines = slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return slices.Contains(between, e.ID) })
	}
	return Choice{}, false
}

// repeated returns the engines between two parts of the same engine, which may
// stand in a path only once.
func repeated(parts []PipelineStage) []string {
	for i, p := range parts {
		for j := i + 1; j < len(parts); j++ {
			if parts[j].ID == p.ID {
				var ids []string
				for _, q := range parts[i+1 : j] {
					ids = append(ids, q.ID)
				}
				return ids
			}
		}
	}
	return nil
}

// search finds the cheapest path by layers: best[c][e] is the cheapest way to
// run all layers below the cut c with engine e as the last one.
type search struct {
	model   *routing.Model
	engines []Engine
	request Request
	layer   []float64 // time of the request in a layer of each engine
	cuts    []int
	best    [][]step
	before  []int // engines that end at the cut that is being extended
}

type step struct {
	cost time.Duration
	ok   bool
	cut  int // where the last engine began
	prev int // engine before it, -1 for the first
}

func newSearch(m *routing.Model, engines []Engine, r Request) *search {
	s := &search{model: m, engines: engines, request: r}
	s.cuts = []int{0, m.Layers}
	if r.FirstStage != nil {
		s.cuts = append(s.cuts, r.FirstStage.To)
	}
	for _, e := range engines {
		s.cuts = append(s.cuts, e.From, e.To)
	}
	slices.Sort(s.cuts)
	s.cuts = slices.Compact(s.cuts)
	s.best = make([][]step, len(s.cuts))
	all := make([]step, len(s.cuts)*len(engines))
	for i := range s.best {
		s.best[i] = all[i*len(engines) : (i+1)*len(engines)]
	}
	s.layer = make([]float64, len(engines))
	for i := range engines {
		s.layer[i] = s.layerTime(&engines[i]) * crowding(engines[i].KVUtilisation)
		if r.CostFactor != nil {
			s.layer[i] *= r.CostFactor(engines[i].ID)
		}
	}
	return s
}

func (s *search) run() ([]PipelineStage, time.Duration, bool) {
	if s.cuts[0] != 0 || s.cuts[len(s.cuts)-1] != s.model.Layers {
		return nil, 0, false
	}
	for c := range s.cuts[:len(s.cuts)-1] {
		s.extend(c)
	}
	last := len(s.cuts) - 1
	end := 0
	for i := range s.engines {
		if compare(s.best[last][i], s.best[last][end]) < 0 {
			end = i
		}
	}
	if !s.best[last][end].ok {
		return nil, 0, false
	}
	return s.parts(last, end), s.best[last][end].cost, true
}

func compare(a, b step) int {
	switch {
	case a.ok != b.ok && a.ok:
		return -1
	case a.ok != b.ok:
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// extend lets each engine that holds the layer after cut c run on to each later
// cut that it holds.
func (s *search) extend(c int) {
	s.before = s.before[:0]
	for j := range s.engines {
		if s.best[c][j].ok {
			s.before = append(s.before, j)
		}
	}
	for i := range s.engines {
		e := &s.engines[i]
		if e.From > s.cuts[c] || e.To <= s.cuts[c] {
			continue
		}
		from, ok := s.entry(c, i)
		if !ok {
			continue
		}
		for d := c + 1; d < len(s.cuts) && s.cuts[d] <= e.To; d++ {
			if c == 0 && s.request.FirstStage != nil && s.cuts[d] != s.request.FirstStage.To {
				continue
			}
			next := step{cost: from.cost + time.Duration(float64(s.cuts[d]-s.cuts[c])*s.layer[i]), ok: true, cut: c, prev: from.prev}
			if compare(next, s.best[d][i]) < 0 {
				s.best[d][i] = next
			}
		}
	}
}

// entry returns the cheapest way to hand over to engine i at cut c.
func (s *search) entry(c, i int) (step, bool) {
	e := &s.engines[i]
	once := e.Penalty
	if !e.hasRoom(s.request) {
		once += crowded
	}
	if c == 0 {
		if !s.request.mayStart(*e) {
			return step{}, false
		}
		if e.FreeSlots <= 0 {
			once += crowded
		}
		return step{cost: once + s.headWait(e), prev: -1}, true
	}
	out := step{}
	for _, j := range s.before {
		if b := s.best[c][j]; j != i {
			cost := b.cost + once + s.hop(&s.engines[j], e)
			if !out.ok || cost < out.cost {
				out = step{cost: cost, ok: true, prev: j}
			}
		}
	}
	return out, out.ok
}

// headWait is the time that a request waits for a slot of its first engine, on the
// scale of a whole request at that engine's speed.
func (s *search) headWait(e *Engine) time.Duration {
	if s.request.FirstStage != nil {
		return 0 // it has its slot
	}
	return time.Duration((crowding(e.SlotUtilisation) - 1) * s.layerTime(e) * float64(s.model.Layers))
}

// layerTime is the time of the request in one layer of an idle engine, in ns.
func (s *search) layerTime(e *Engine) float64 {
	return float64(e.PrefillPerLayer*time.Duration(s.request.InputTokens) + e.DecodePerLayer*time.Duration(s.request.ExpectedOutputTokens))
}

// hop is the time that a request spends between two engines.
func (s *search) hop(from, to *Engine) time.Duration {
	answers := time.Duration(s.request.ExpectedOutputTokens + 1)
	if from.DataCentre == to.DataCentre {
		return routing.LocalHopDelay * answers
	}
	d := s.model.LinkDelay(from.DataCentre, to.DataCentre) * answers
	if s.model.InterDataCentreMbps > 0 {
		bits := s.model.ActivationBytes * 8 * float64(s.request.InputTokens+s.request.ExpectedOutputTokens)
		// Each transfer holds up all others on the pipe.
		d += time.Duration(pipeWeight * bits / s.model.InterDataCentreMbps * float64(time.Microsecond))
	}
	return d
}

func (s *search) parts(cut, engine int) []PipelineStage {
	var out []PipelineStage
	for engine >= 0 {
		b := s.best[cut][engine]
		e := s.engines[engine]
		out = append(out, PipelineStage{ID: e.ID, Address: e.Address, StartUnixMs: e.StartUnixMs, From: s.cuts[b.cut], To: s.cuts[cut]})
		cut, engine = b.cut, b.prev
	}
	slices.Reverse(out)
	return out
}

// ValidStages reports whether a path runs every layer of the model once and in order
// on different engines.
func ValidStages(m *routing.Model, parts []PipelineStage) bool {
	next := 0
	seen := make(map[string]bool)
	for _, p := range parts {
		if p.From != next || p.To <= p.From || seen[p.Address] {
			return false
		}
		seen[p.Address] = true
		next = p.To
	}
	return next == m.Layers && len(parts) <= MaxStages
}
