// Package path chooses the engines that run a request, so that every layer runs once
// and in order. It has no side effects: it maps reported engine states to a path.
package path

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/locality"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Engine is the state of an engine as far as path selection uses it.
type Engine struct {
	ID              string
	Address         string
	DataCentre      string
	StartUnixMs     int64         // of the process, tells it from earlier ones at the address
	From, To        int           // layers held: [From, To)
	DecodePerLayer  time.Duration // per token and layer, at the current batch size
	PrefillPerLayer time.Duration // per prompt token and layer
	FreeKVTokens    int           // free KV cache, in tokens over all layers held
	FreeSlots       int           // free request slots as the first stage of a path
	KVUtilisation   float64       // fraction of the KV cache that is used or reserved
	SlotUtilisation float64       // fraction of the first-stage slots that is used or reserved
	Penalty         time.Duration // added once per path, for an engine that fails or is leaving
}

// PipelineStage is an engine of a path and the layers [From, To) that it runs.
type PipelineStage struct {
	ID          string
	Address     string
	StartUnixMs int64 // of the engine process
	From, To    int
}

// Request describes the request that needs a path.
type Request struct {
	InputTokens, ExpectedOutputTokens int
	DataCentre                        string // of the gateway that serves the request
	// FirstStage, if set, is the stage that the path must begin with.
	FirstStage *PipelineStage
	// SingleDataCentre excludes paths that cross between data centres.
	SingleDataCentre bool
	// AllowFull admits engines without capacity for the request.
	AllowFull bool
	// MaxCost, if set, is the cost from which a path counts as having no capacity.
	MaxCost time.Duration
	// Draw is uniform in [0, 1) and decides whether this request is among the share that
	// leaves the data centre.
	Draw float64
	// CostFactor, if set, returns a factor close to one that scales the time of an
	// engine. It varies between requests, so that gateways with the same engine
	// reports do not all choose the same path.
	CostFactor func(id string) float64
}

// MaxStages is the largest number of engines in a path.
const MaxStages = 32

const (
	// fullEngineCost is added for an engine without capacity for the request, which it
	// would refuse. All other costs together stay below it, so a path that costs less
	// has capacity.
	fullEngineCost = time.Hour
	// delayedTransfers is the assumed number of other transfers that a transfer over
	// the shared link between data centres delays.
	delayedTransfers = 10
)

// maxUtilisation bounds the utilisation in queueingFactor, and so the factor to 20, so
// that paths on which every engine is busy can still be compared.
const maxUtilisation = 0.95

// queueingFactor returns the factor by which requests take longer at the given
// utilisation. It grows from the first request on; otherwise the fastest path would
// get all requests until it is full.
func queueingFactor(utilisation float64) float64 {
	return 1 / (1 - min(max(utilisation, 0), maxUtilisation))
}

// Choice is a path and its estimated cost.
type Choice struct {
	Stages []PipelineStage
	Cost   time.Duration
	// HasCapacity reports whether every engine has capacity for the request and the
	// path costs less than Request.MaxCost, if that is set.
	HasCapacity bool
	// DataCentreCrossings is the number of hops between data centres.
	DataCentreCrossings int
}

// Choose returns the cheapest path. A path that crosses between data centres is chosen
// only if no path within one data centre is complete or all of them lack capacity,
// because all requests share the link between data centres. The error is Overloaded if
// the engines hold every layer but lack capacity, and Unavailable if a layer is
// missing.
func Choose(m *routing.Model, engines []Engine, r Request) (Choice, error) {
	// A faulty engine may report any range.
	usable := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.To <= e.From || e.From < 0 || e.To > m.Layers })
	withCapacity := slices.DeleteFunc(slices.Clone(usable), func(e Engine) bool { return !e.hasKVCapacityFor(r) })
	if c, ok := chooseAmong(m, withCapacity, r); ok && c.HasCapacity {
		return c, nil
	}
	if r.AllowFull {
		if c, ok := chooseAmong(m, usable, r); ok {
			return c, nil
		}
	} else if hasPath(m, usable, r.SingleDataCentre) {
		return Choice{}, fault.New(fault.Overloaded, "no path has free capacity for a request of %d tokens", r.InputTokens+r.ExpectedOutputTokens).WithOutcome(fault.NotRun)
	}
	return Choice{}, fault.New(fault.Unavailable, "no path holds every layer").WithOutcome(fault.NotRun)
}

func (r Request) costLimit() time.Duration {
	if r.MaxCost > 0 {
		return min(r.MaxCost, fullEngineCost)
	}
	return fullEngineCost
}

func (e *Engine) hasKVCapacityFor(r Request) bool {
	return e.FreeKVTokens >= r.InputTokens+r.ExpectedOutputTokens
}

// canBeFirst reports whether an engine may run the first stage of the path.
func (r Request) canBeFirst(e Engine) bool {
	if r.FirstStage != nil {
		return r.FirstStage.ID == e.ID
	}
	return e.From == 0 && (e.FreeSlots > 0 || r.AllowFull)
}

func chooseAmong(m *routing.Model, engines []Engine, r Request) (Choice, bool) {
	if !covers(m, engines) {
		return Choice{}, false
	}
	best, found := chooseDataCentre(m, engines, r)
	if found && best.HasCapacity || r.SingleDataCentre {
		return best, found
	}
	if c, ok := cheapestPath(m, engines, r); ok && (!found || c.Cost < best.Cost) {
		best, found = c, true
		best.DataCentreCrossings = countCrossings(engines, c.Stages)
	}
	return best, found
}

// chooseDataCentre returns the cheapest path of the data centre that locality selects.
func chooseDataCentre(m *routing.Model, engines []Engine, r Request) (Choice, bool) {
	groups := groupByDataCentre(engines)
	var choices []Choice
	var candidates []locality.Candidate
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		c, ok := cheapestPath(m, groups[name], r)
		if !ok {
			continue
		}
		if name != r.DataCentre {
			c.Cost += m.LinkDelay(r.DataCentre, name)
		}
		choices = append(choices, c)
		candidates = append(candidates, locality.Candidate{DataCentre: name, Time: c.Cost, HasCapacity: c.HasCapacity})
	}
	i := locality.Select(r.DataCentre, candidates, r.Draw)
	if i < 0 {
		return Choice{}, false
	}
	return choices[i], true
}

func groupByDataCentre(engines []Engine) map[string][]Engine {
	groups := make(map[string][]Engine)
	for _, e := range engines {
		groups[e.DataCentre] = append(groups[e.DataCentre], e)
	}
	return groups
}

// hasPath reports whether the engines form a complete path, regardless of capacity.
func hasPath(m *routing.Model, engines []Engine, singleDataCentre bool) bool {
	if !singleDataCentre {
		return covers(m, engines)
	}
	for _, group := range groupByDataCentre(engines) {
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

func countCrossings(engines []Engine, stages []PipelineStage) int {
	dataCentreOf := make(map[string]string, len(engines))
	for _, e := range engines {
		dataCentreOf[e.ID] = e.DataCentre
	}
	n := 0
	for i := 1; i < len(stages); i++ {
		if dataCentreOf[stages[i].ID] != dataCentreOf[stages[i-1].ID] {
			n++
		}
	}
	return n
}

// cheapestPath returns the cheapest path over the given engines.
func cheapestPath(m *routing.Model, engines []Engine, r Request) (Choice, bool) {
	for range engines {
		if !covers(m, engines) || !slices.ContainsFunc(engines, r.canBeFirst) {
			return Choice{}, false
		}
		s := newSearch(m, engines, r)
		stages, cost, ok := s.run()
		if !ok {
			return Choice{}, false
		}
		skipped := enginesBetweenRepeats(stages)
		if skipped == nil {
			return Choice{Stages: stages, Cost: cost, HasCapacity: cost < r.costLimit()}, len(stages) <= MaxStages
		}
		engines = slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return slices.Contains(skipped, e.ID) })
	}
	return Choice{}, false
}

// enginesBetweenRepeats returns the engines between two stages of the same engine, or
// nil. An engine may occur in a path only once.
func enginesBetweenRepeats(stages []PipelineStage) []string {
	for i, stage := range stages {
		for j := i + 1; j < len(stages); j++ {
			if stages[j].ID == stage.ID {
				var ids []string
				for _, between := range stages[i+1 : j] {
					ids = append(ids, between.ID)
				}
				return ids
			}
		}
	}
	return nil
}

// search finds the cheapest path by dynamic programming over the layer boundaries:
// best[b][e] is the cheapest way to run all layers below boundary b with engine e as
// the last one.
type search struct {
	model        *routing.Model
	engines      []Engine
	request      Request
	layerCost    []float64 // time that the request takes in one layer of each engine, in ns
	boundaries   []int
	best         [][]partialPath
	predecessors []int // engines with a partial path up to the current boundary
}

type partialPath struct {
	cost     time.Duration
	ok       bool
	boundary int // index of the boundary where the last engine begins
	prev     int // previous engine, -1 for the first
}

func newSearch(m *routing.Model, engines []Engine, r Request) *search {
	s := &search{model: m, engines: engines, request: r}
	s.boundaries = []int{0, m.Layers}
	if r.FirstStage != nil {
		s.boundaries = append(s.boundaries, r.FirstStage.To)
	}
	for _, e := range engines {
		s.boundaries = append(s.boundaries, e.From, e.To)
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	s.best = make([][]partialPath, len(s.boundaries))
	all := make([]partialPath, len(s.boundaries)*len(engines))
	for i := range s.best {
		s.best[i] = all[i*len(engines) : (i+1)*len(engines)]
	}
	s.layerCost = make([]float64, len(engines))
	for i := range engines {
		s.layerCost[i] = s.idleLayerTime(&engines[i]) * queueingFactor(engines[i].KVUtilisation)
		if r.CostFactor != nil {
			s.layerCost[i] *= r.CostFactor(engines[i].ID)
		}
	}
	return s
}

func (s *search) run() ([]PipelineStage, time.Duration, bool) {
	if s.boundaries[0] != 0 || s.boundaries[len(s.boundaries)-1] != s.model.Layers {
		return nil, 0, false
	}
	for b := range s.boundaries[:len(s.boundaries)-1] {
		s.extend(b)
	}
	lastBoundary := len(s.boundaries) - 1
	lastEngine := 0
	for i := range s.engines {
		if compare(s.best[lastBoundary][i], s.best[lastBoundary][lastEngine]) < 0 {
			lastEngine = i
		}
	}
	if !s.best[lastBoundary][lastEngine].ok {
		return nil, 0, false
	}
	return s.buildStages(lastBoundary, lastEngine), s.best[lastBoundary][lastEngine].cost, true
}

func compare(a, b partialPath) int {
	switch {
	case a.ok != b.ok && a.ok:
		return -1
	case a.ok != b.ok:
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// extend records, for each engine that holds the layer at boundary b, the cheapest
// partial path that ends with this engine at each later boundary up to the end of the
// engine's layers.
func (s *search) extend(b int) {
	s.predecessors = s.predecessors[:0]
	for j := range s.engines {
		if s.best[b][j].ok {
			s.predecessors = append(s.predecessors, j)
		}
	}
	for i := range s.engines {
		e := &s.engines[i]
		if e.From > s.boundaries[b] || e.To <= s.boundaries[b] {
			continue
		}
		entered, ok := s.cheapestEntry(b, i)
		if !ok {
			continue
		}
		for end := b + 1; end < len(s.boundaries) && s.boundaries[end] <= e.To; end++ {
			if b == 0 && s.request.FirstStage != nil && s.boundaries[end] != s.request.FirstStage.To {
				continue
			}
			next := partialPath{cost: entered.cost + time.Duration(float64(s.boundaries[end]-s.boundaries[b])*s.layerCost[i]), ok: true, boundary: b, prev: entered.prev}
			if compare(next, s.best[end][i]) < 0 {
				s.best[end][i] = next
			}
		}
	}
}

// cheapestEntry returns the cheapest way to enter engine i at boundary b.
func (s *search) cheapestEntry(b, i int) (partialPath, bool) {
	e := &s.engines[i]
	fixedCost := e.Penalty
	if !e.hasKVCapacityFor(s.request) {
		fixedCost += fullEngineCost
	}
	if b == 0 {
		if !s.request.canBeFirst(*e) {
			return partialPath{}, false
		}
		if e.FreeSlots <= 0 {
			fixedCost += fullEngineCost
		}
		return partialPath{cost: fixedCost + s.slotWait(e), prev: -1}, true
	}
	cheapest := partialPath{}
	for _, j := range s.predecessors {
		if last := s.best[b][j]; j != i {
			cost := last.cost + fixedCost + s.hopCost(&s.engines[j], e)
			if !cheapest.ok || cost < cheapest.cost {
				cheapest = partialPath{cost: cost, ok: true, prev: j}
			}
		}
	}
	return cheapest, cheapest.ok
}

// slotWait estimates how long the request waits for a slot of its first engine: the
// time that this engine, when idle, takes for all layers, times queueingFactor - 1.
func (s *search) slotWait(e *Engine) time.Duration {
	if s.request.FirstStage != nil {
		return 0 // a stream that keeps its first engine already has a slot
	}
	return time.Duration((queueingFactor(e.SlotUtilisation) - 1) * s.idleLayerTime(e) * float64(s.model.Layers))
}

// idleLayerTime returns the time that the request takes in one layer of an idle
// engine, in ns.
func (s *search) idleLayerTime(e *Engine) float64 {
	return float64(e.PrefillPerLayer*time.Duration(s.request.InputTokens) + e.DecodePerLayer*time.Duration(s.request.ExpectedOutputTokens))
}

// hopCost returns the total transfer time of the request between two engines, plus the
// delay that its prompt and tokens cause to other transfers between data centres.
func (s *search) hopCost(from, to *Engine) time.Duration {
	transfers := time.Duration(s.request.ExpectedOutputTokens + 1)
	if from.DataCentre == to.DataCentre {
		return routing.LocalHopDelay * transfers
	}
	d := s.model.LinkDelay(from.DataCentre, to.DataCentre) * transfers
	if s.model.InterDataCentreMbps > 0 {
		bits := s.model.ActivationBytes * 8 * float64(s.request.InputTokens+s.request.ExpectedOutputTokens)
		// Each transfer delays others on the shared link.
		d += time.Duration(delayedTransfers * bits / s.model.InterDataCentreMbps * float64(time.Microsecond))
	}
	return d
}

func (s *search) buildStages(boundary, engine int) []PipelineStage {
	var out []PipelineStage
	for engine >= 0 {
		last := s.best[boundary][engine]
		e := s.engines[engine]
		out = append(out, PipelineStage{ID: e.ID, Address: e.Address, StartUnixMs: e.StartUnixMs, From: s.boundaries[last.boundary], To: s.boundaries[boundary]})
		boundary, engine = last.boundary, last.prev
	}
	slices.Reverse(out)
	return out
}

// ValidStages reports whether a path runs every layer of the model once and in order,
// with no engine used twice and no more than MaxStages stages.
func ValidStages(m *routing.Model, stages []PipelineStage) bool {
	next := 0
	seen := make(map[string]bool)
	for _, stage := range stages {
		if stage.From != next || stage.To <= stage.From || seen[stage.Address] {
			return false
		}
		seen[stage.Address] = true
		next = stage.To
	}
	return next == m.Layers && len(stages) <= MaxStages
}
