package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a status which promises that a request has not run without proof, and
// against the lack of that promise where there is proof.
func TestStatusOf_ReportsNotRunOnlyIfProved(t *testing.T) {
	for _, c := range []struct {
		kind    fault.Kind
		outcome fault.Outcome
		want    int
	}{
		{fault.Unavailable, fault.NotRun, http.StatusServiceUnavailable},
		{fault.Overloaded, fault.NotRun, http.StatusServiceUnavailable},
		{fault.Unavailable, fault.MayHaveRun, http.StatusBadGateway},
		{fault.Upstream, fault.MayHaveRun, http.StatusBadGateway},
		{fault.Upstream, fault.Unspecified, http.StatusBadGateway},
		{fault.Deadline, fault.MayHaveRun, http.StatusGatewayTimeout},
		{fault.Unauthenticated, fault.NotRun, http.StatusUnauthorized},
		{fault.NotFound, fault.NotRun, http.StatusNotFound},
	} {
		assert.Equal(t, statusOf(fault.New(c.kind, "x").WithOutcome(c.outcome)), c.want, "%s", c.kind)
	}
}

// Guards against too many streams that cross between data centres after a failure: the
// tokens of all other streams would wait behind their prompts.
func TestLinkBudgets_LimitCrossDataCentrePaths(t *testing.T) {
	m := &routing.Model{InterDataCentreMbps: 1000, ActivationBytes: 1000}
	const gatewayCount, tokens = 10, 1000
	inside, across := path.Choice{}, path.Choice{DataCentreCrossings: 1}
	perPrompt := m.ActivationBytes * 8 * tokens / (m.InterDataCentreMbps * 1e6) // seconds on the link
	var p linkBudgets
	admitted := 0
	for range 1000 {
		if p.admitNewPath(m, gatewayCount, tokens, across) {
			admitted++
		}
		assert.Assert(t, p.admitNewPath(m, gatewayCount, tokens, inside))
	}
	most := newPathShare*linkBurst.Seconds()/perPrompt/gatewayCount + 1
	assert.Assert(t, admitted >= 1 && float64(admitted) <= most, "%d admitted at once, at most %f", admitted, most)
	assert.Assert(t, p.admitRepath(m, gatewayCount, tokens, across), "broken streams have their own budget")
}

// Guards against less urgent requests that take the last free capacity of an engine,
// and against new requests at a first engine that sends no first events.
func TestCandidateEngines_ReserveCapacityForUrgentRanks(t *testing.T) {
	g := &Gateway{}
	g.load.init()
	m := &routing.Model{Layers: 8, LayerMB: 10, KVTokenBytes: 8000, TypicalPromptTokens: 10, TypicalOutputTokens: 10, Slots: 5,
		Accelerators: map[string]*routing.Accelerator{"a": {MemoryMB: 100, DecodeFactor: 1, PrefillFactor: 1}}}
	service := &routing.Service{Name: "s", Model: m}
	in := &wirepb.Instance{Id: "e", Service: "s", Accelerator: "a", Layers: &wirepb.LayerRange{From: 0, To: 8}}
	v := &view{byService: map[string][]*wirepb.Instance{"s": {in}}}
	freeTokens := func(rank int) int {
		q := &request{service: service, rank: rank, route: &routing.Route{TargetLatency: time.Nanosecond}}
		return g.candidateEngines(v, q, nil, g.isBlocked)[0].FreeKVTokens
	}
	assert.Assert(t, freeTokens(0) > freeTokens(1) && freeTokens(1) > freeTokens(2))
	q := &request{service: service, route: &routing.Route{TargetLatency: time.Nanosecond}}
	assert.Assert(t, g.candidateEngines(v, q, nil, g.isBlocked)[0].FreeSlots > 0)
	s := &stream{}
	g.load.addWaiting("e", s)
	time.Sleep(time.Millisecond)
	assert.Equal(t, g.candidateEngines(v, q, nil, g.isBlocked)[0].FreeSlots, 0)
	g.load.removeWaiting("e", s)
	assert.Assert(t, g.candidateEngines(v, q, nil, g.isBlocked)[0].FreeSlots > 0)
}

// Guards against an engine that stays in backoff after a success.
func TestLoadTracker_SuccessClearsBackoff(t *testing.T) {
	var b loadTracker
	b.init()
	b.onFailure("e")
	assert.Assert(t, b.inBackoff("e"))
	b.onSuccess("e")
	assert.Assert(t, !b.inBackoff("e"))
}

// Guards against streams that are moved off an engine which only waits for them before
// it unloads layers, and against streams that stay on an engine which restarted and has
// lost their state.
func TestServes_AcceptsLoadingAndRejectsRestartedEngines(t *testing.T) {
	p := path.PipelineStage{ID: "e", Address: "10.0.0.1:80", StartUnixMs: 7, From: 0, To: 4}
	held := &wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Layers: &wirepb.LayerRange{From: 0, To: 4}}
	assert.Assert(t, serves(held, p))
	assert.Assert(t, serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Loading: true}, p), "a loading engine still serves its requests")
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 8, Layers: held.Layers}, p), "the engine restarted")
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: "10.0.0.2:80", BornUnixMs: 7, Layers: held.Layers}, p))
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Layers: held.Layers, Suspect: true}, p))
	assert.Assert(t, !serves(nil, p))
}
