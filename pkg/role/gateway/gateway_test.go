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

// Guards against a status that promises that a request has not run without
// proof, and against none where it is proved.
func TestStatusOf_PromisesOnlyWhatIsProved(t *testing.T) {
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

// Guards against a crash after which so many streams cross between data centres
// that the tokens of all others wait behind their prompts.
func TestPipes_BoundsWhatCrosses(t *testing.T) {
	m := &routing.Model{InterDataCentreMbps: 1000, ActivationBytes: 1000}
	const entries, tokens = 10, 1000
	inside, across := path.Choice{}, path.Choice{DataCentreCrossings: 1}
	perPrompt := m.ActivationBytes * 8 * tokens / (m.InterDataCentreMbps * 1e6) // seconds of the link
	var p pipes
	admitted := 0
	for range 1000 {
		if p.admit(m, entries, tokens, across) {
			admitted++
		}
		assert.Assert(t, p.admit(m, entries, tokens, inside))
	}
	most := pipeShare*pipeBurst.Seconds()/perPrompt/entries + 1
	assert.Assert(t, admitted >= 1 && float64(admitted) <= most, "%d admitted at once, at most %f", admitted, most)
	assert.Assert(t, p.admitMoved(m, entries, tokens, across), "broken streams have a share of their own")
}

// Guards against less urgent work that takes the last room of an engine, and
// against new work behind a first engine that gives no first events.
func TestEnginesOf_KeepsRoomForUrgentRanks(t *testing.T) {
	g := &Gateway{}
	g.load.init()
	m := &routing.Model{Layers: 8, LayerMB: 10, KVTokenBytes: 8000, TypicalPromptTokens: 10, TypicalOutputTokens: 10, Slots: 5,
		Accelerators: map[string]*routing.Accelerator{"a": {MemoryMB: 100, DecodeFactor: 1, PrefillFactor: 1}}}
	service := &routing.Service{Name: "s", Model: m}
	in := &wirepb.Instance{Id: "e", Service: "s", Accelerator: "a", Layers: &wirepb.LayerRange{From: 0, To: 8}}
	v := &view{byService: map[string][]*wirepb.Instance{"s": {in}}}
	room := func(rank int) int {
		q := &request{service: service, rank: rank, route: &routing.Route{TargetLatency: time.Nanosecond}}
		return g.enginesOf(v, q, nil)[0].FreeKVTokens
	}
	assert.Assert(t, room(0) > room(1) && room(1) > room(2))
	q := &request{service: service, route: &routing.Route{TargetLatency: time.Nanosecond}}
	assert.Assert(t, g.enginesOf(v, q, nil)[0].FreeSlots > 0)
	s := &stream{}
	g.load.await("e", s)
	time.Sleep(time.Millisecond)
	assert.Equal(t, g.enginesOf(v, q, nil)[0].FreeSlots, 0)
	g.load.awaited("e", s)
	assert.Assert(t, g.enginesOf(v, q, nil)[0].FreeSlots > 0)
}

// Guards against an engine in trouble that is avoided for good.
func TestLoadBook_ForgetsTrouble(t *testing.T) {
	var b loadBook
	b.init()
	b.failed("e")
	assert.Assert(t, b.inTrouble("e"))
	b.succeeded("e")
	assert.Assert(t, !b.inTrouble("e"))
}

// Guards against streams that are moved off an engine which only waits for them
// before it gives up its layers, and against streams that stay on an engine which
// started again and knows nothing of them.
func TestServes(t *testing.T) {
	p := path.PipelineStage{ID: "e", Address: "10.0.0.1:80", StartUnixMs: 7, From: 0, To: 4}
	held := &wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Layers: &wirepb.LayerRange{From: 0, To: 4}}
	assert.Assert(t, serves(held, p))
	assert.Assert(t, serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Loading: true}, p), "it waits for its requests")
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 8, Layers: held.Layers}, p), "it started again")
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: "10.0.0.2:80", BornUnixMs: 7, Layers: held.Layers}, p))
	assert.Assert(t, !serves(&wirepb.Instance{Id: "e", Address: p.Address, BornUnixMs: 7, Layers: held.Layers, Suspect: true}, p))
	assert.Assert(t, !serves(nil, p))
}
