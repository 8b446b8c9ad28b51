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

// testPaths returns the engines of one two-engine path for each factor, which
// multiplies the decode step time and the prefill time of its engines.
func testPaths(factors ...float64) (*routing.Model, []*wirepb.Instance) {
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

// Guards against gateways that all choose the fastest path until the next reports: at
// 200 requests per second, requests waited up to 1.7 s for the slots of one path while
// two others were idle.
func TestBestPath_SpreadsBetweenReports(t *testing.T) {
	const gatewayCount, requests, target = 40, 160, 500 * time.Millisecond
	m, engines := testPaths(1, 1.2, 2)
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, gatewayCount: gatewayCount}
	service := &routing.Service{Name: "s", Model: m}
	fleet := make([]*Gateway, gatewayCount)
	for i := range fleet {
		fleet[i] = &Gateway{opts: Options{DataCentre: "z"}}
		fleet[i].load.init()
	}
	random := rand.New(rand.NewPCG(1, 1))
	perHead := make(map[string]int)
	for n := range requests {
		g := fleet[random.IntN(gatewayCount)]
		q := &request{service: service, route: &routing.Route{TargetLatency: target}}
		q.metadata.RequestID, q.metadata.PromptTokens, q.metadata.MaxOutputTokens = fmt.Sprintf("r%d", n), 100, 100
		choice, err := g.bestPath(v, q, nil)
		assert.NilError(t, err)
		assert.Assert(t, choice.HasCapacity)
		if n == 0 {
			assert.Assert(t, choice.Stages[0].ID != "e2-0", "an idle fleet uses its slowest path")
		}
		g.load.reserve(choice.Stages, 200)
		perHead[choice.Stages[0].ID]++
	}
	for i, factor := range []float64{1, 1.2, 2} {
		n := perHead[fmt.Sprintf("e%d-0", i)]
		duration := time.Duration(factor * float64(m.TypicalOutputTokens) * float64(m.DecodeStepTime))
		wait := duration * time.Duration(max(0, n-m.Slots)) / time.Duration(m.Slots)
		assert.Assert(t, wait <= target, "%d requests wait up to %s for the slots of path %d: %v", n, wait, i, perHead)
	}
	assert.Assert(t, perHead["e0-0"] > perHead["e2-0"], "a slow path gets more than a fast one: %v", perHead)
}

// Guards against a refusal for lack of capacity on a path that is only slow. When the
// cost of a busy slow engine counted as lack of capacity, 2,884 attempts were refused
// in a day although there was capacity for twice the load.
func TestBestPath_AcceptsBusyEnginesWithFreeSlots(t *testing.T) {
	m, engines := testPaths(20)
	m.Slots = 200
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 190}
	}
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, gatewayCount: 40}
	g := &Gateway{opts: Options{DataCentre: "z"}}
	g.load.init()
	q := &request{service: &routing.Service{Name: "s", Model: m}, route: &routing.Route{TargetLatency: time.Second}}
	q.metadata.RequestID, q.metadata.PromptTokens, q.metadata.MaxOutputTokens = "r", 100, 100
	choice, err := g.bestPath(v, q, nil)
	assert.NilError(t, err)
	assert.Assert(t, choice.HasCapacity)
	for _, in := range engines {
		in.Load.Active = 200
	}
	_, err = g.bestPath(v, q, nil)
	assert.Assert(t, fault.Is(err, fault.Overloaded), "there is no slot left")
}

// Guards against sending requests along a path so loaded that they would miss their
// deadline, and against refusing long requests while short ones are still accepted.
func TestBestPath_RefusesOverloadedPaths(t *testing.T) {
	m, engines := testPaths(2)
	v := &view{byService: map[string][]*wirepb.Instance{"s": engines}, gatewayCount: 40}
	g := &Gateway{opts: Options{DataCentre: "z"}}
	g.load.init()
	q := &request{service: &routing.Service{Name: "s", Model: m}, route: &routing.Route{TargetLatency: time.Second}, deadline: time.Now().Add(20 * time.Second)}
	q.metadata.RequestID, q.metadata.PromptTokens, q.metadata.MaxOutputTokens = "r", 100, 100
	_, err := g.bestPath(v, q, nil)
	assert.NilError(t, err)
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 57} // of 60 slots
	}
	for _, outputTokens := range []int{100, 150, 400} {
		q.metadata.MaxOutputTokens = outputTokens
		_, err = g.bestPath(v, q, nil)
		assert.Assert(t, fault.Is(err, fault.Overloaded))
	}
	for _, in := range engines {
		in.Load = &wirepb.InstanceLoad{Active: 30}
	}
	for _, outputTokens := range []int{100, 150, 400} {
		q.metadata.MaxOutputTokens = outputTokens
		_, err = g.bestPath(v, q, nil)
		assert.NilError(t, err, "%d tokens", outputTokens)
	}
}
