package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// chains returns the engines of some paths, each as fast as its factor says.
func chains(factors ...float64) (*routing.Model, []*wirepb.Instance) {
	m := &routing.Model{
		Layers: 8, LayerMB: 10, KVTokenBytes: 8000, TypicalPromptTokens: 100, TypicalOutputTokens: 100, Slots: 60,
		DecodeStepTime: 10 * time.Millisecond, PrefillTokensPerSecond: 100_000, Accelerators: make(map[string]*routing.Accelerator),
	}
	var engines []*wirepb.Instance
	for i, factor := range factors {
		kind := fmt.Sprintf("a%d", i)
		m.Accelerators[kind] = &routing.Accelerator{MemoryMB: 200, DecodeFactor: factor, PrefillFactor: factor}
		for part := range uint32(2) {
			engines = append(engines, &wirepb.Instance{
				Id: fmt.Sprintf("e%d-%d", i, part), Address: fmt.Sprintf("10.0.%d.%d:80", i, part), Service: "s", DataCentre: "z",
				Accelerator: kind, Layers: &wirepb.LayerRange{From: part * 4, To: part*4 + 4},
			})
		}
	}
	return m, engines
}

// Guards against entries that all choose the fastest path until the next reports:
// on a calm day 200 requests a second went to one path in turn, and waited up to
// 1.7 s for its slots while two others were idle.
func TestBestPath_SpreadsBetweenReports(t *testing.T) {
	const entries, requests, target = 40, 160, 500 * time.Millisecond
	m, engines := chains(1, 1.2, 2)
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, entries: entries}
	service := &routing.Service{Name: "s", Model: m}
	fleet := make([]*Gateway, entries)
	for i := range fleet {
		fleet[i] = &Gateway{opts: Options{DataCentre: "z"}}
		fleet[i].load.init()
	}
	random := rand.New(rand.NewPCG(1, 1))
	first := make(map[string]int)
	for n := range requests {
		g := fleet[random.IntN(entries)]
		q := &request{service: service, route: &routing.Route{TargetLatency: target}}
		q.caller.RequestID, q.caller.Prompt, q.caller.MaxAnswer = fmt.Sprintf("r%d", n), 100, 100
		choice, err := g.bestPath(v, q, nil)
		assert.NilError(t, err)
		assert.Assert(t, choice.HasCapacity)
		if n == 0 {
			assert.Assert(t, choice.Stages[0].ID != "e2-0", "an idle fleet uses its slowest path")
		}
		g.load.reserve(choice.Stages, 200)
		first[choice.Stages[0].ID]++
	}
	for i, factor := range []float64{1, 1.2, 2} {
		n := first[fmt.Sprintf("e%d-0", i)]
		whole := time.Duration(factor * float64(m.TypicalOutputTokens) * float64(m.DecodeStepTime))
		wait := whole * time.Duration(max(0, n-m.Slots)) / time.Duration(m.Slots)
		assert.Assert(t, wait <= target, "%d requests wait up to %s for the slots of path %d: %v", n, wait, i, first)
	}
	assert.Assert(t, first["e0-0"] > first["e2-0"], "a slow path gets more than a fast one: %v", first)
}

// Guards against a refusal for want of room on a path that is only expensive: the
// cost of a busy slow engine once passed for a lack of room, and the Association's
// grown site refused 2,884 attempts on a day with room for twice its load.
func TestBestPath_BusyIsNotFull(t *testing.T) {
	m, engines := chains(20)
	m.Slots = 200
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 190}
	}
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, entries: 40}
	g := &Gateway{opts: Options{DataCentre: "z"}}
	g.load.init()
	q := &request{service: &routing.Service{Name: "s", Model: m}, route: &routing.Route{TargetLatency: time.Second}}
	q.caller.RequestID, q.caller.Prompt, q.caller.MaxAnswer = "r", 100, 100
	choice, err := g.bestPath(v, q, nil)
	assert.NilError(t, err)
	assert.Assert(t, choice.HasCapacity)
	for _, in := range engines {
		in.Load.Active = 200
	}
	_, err = g.bestPath(v, q, nil)
	assert.Assert(t, fault.Is(err, fault.Overloaded), "there is no slot left")
}

// Guards against requests on a path on which they would not end in time, which makes
// all others there slower too, and against the refusal of long requests only.
func TestBestPath_RefusesOnCrowdedPaths(t *testing.T) {
	m, engines := chains(2)
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, entries: 40}
	g := &Gateway{opts: Options{DataCentre: "z"}}
	g.load.init()
	q := &request{service: &routing.Service{Name: "s", Model: m}, route: &routing.Route{TargetLatency: time.Second}, deadline: time.Now().Add(20 * time.Second)}
	q.caller.RequestID, q.caller.Prompt, q.caller.MaxAnswer = "r", 100, 100
	_, err := g.bestPath(v, q, nil)
	assert.NilError(t, err)
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 57} // of 60 slots
	}
	for _, answer := range []int{100, 150, 400} {
		q.caller.MaxAnswer = answer
		_, err = g.bestPath(v, q, nil)
		assert.Assert(t, fault.Is(err, fault.Overloaded))
	}
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 30}
	}
	for _, answer := range []int{100, 150, 400} {
		q.caller.MaxAnswer = answer
		_, err = g.bestPath(v, q, nil)
		assert.NilError(t, err, "%d tokens", answer)
	}
}
