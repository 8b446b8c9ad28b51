package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/explain"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func explainGateway(instances ...*wirepb.Instance) (*Gateway, *view) {
	g := &Gateway{opts: Options{DataCentre: "z"}, metrics: newMetrics()}
	g.load.init()
	g.requestLimits.init()
	v := &view{byID: make(map[string]*wirepb.Instance), byService: map[string][]*wirepb.Instance{"s": instances}, gatewayCount: 1}
	for _, in := range instances {
		v.byID[in.GetId()] = in
	}
	g.view.Store(v)
	return g, v
}

// Guards against an explanation that names other upstreams than those that requests go to.
func TestExplainPlain_AgreesWithPickUpstream(t *testing.T) {
	var upstreams []*wirepb.Instance
	for i := range 6 {
		upstreams = append(upstreams, &wirepb.Instance{Id: fmt.Sprintf("u%d", i), Service: "s", RequestLimit: 1})
	}
	g, v := explainGateway(upstreams...)
	upstreams[0].Leaving = true
	failed := backoff{until: time.Now().Add(time.Minute)}
	g.load.backoff["u1"] = failed
	g.selfReports.Record(time.Now(), selfreport.Process{ID: "u2"}, selfreport.Report{Pause: time.Minute})
	g.requestLimits.upstream("u3").deniedUntil = time.Now().Add(time.Minute)
	service := &routing.Service{Name: "s"}
	for _, count := range []int{2, 4} {
		explained, picked := make(map[string]bool), make(map[string]bool)
		for _, u := range g.explainPlain(v, service).Upstreams {
			assert.Equal(t, u.Effect == "", u.Reason == "")
			if u.Pickable {
				explained[u.ID] = true
			}
		}
		for range 200 {
			picked[g.pickUpstream(&request{service: service}, nil).GetId()] = true
		}
		assert.Equal(t, len(picked), count)
		assert.DeepEqual(t, explained, picked)
		g.load.backoff["u4"], g.load.backoff["u5"] = failed, failed // only upstreams of the last choice are left
	}
}

// Guards against an engine without new requests, or with fewer, for which no reason is
// given, and against a reason for one that is used as usual.
func TestExplainStream_NamesEveryRestriction(t *testing.T) {
	m, engines := testPaths(1, 1, 1, 1, 1)
	g, v := explainGateway(engines...)
	restricted := map[string]explain.Effect{
		"e0-0": explain.LeftOut, "e0-1": explain.Full, "e1-0": explain.LastChoice, "e1-1": explain.LastChoice,
		"e2-0": explain.NotFirst, "e2-1": explain.LeftOut, "e3-0": explain.LeftOut, "e3-1": explain.LeftOut,
	}
	g.selfReports.Record(time.Now(), selfreport.Process{ID: "e0-0"}, selfreport.Report{Leaving: true})
	g.load.full["e0-1"] = time.Now().Add(time.Minute)
	g.load.backoff["e1-0"] = backoff{until: time.Now().Add(time.Minute)}
	v.byID["e1-1"].Leaving = true
	g.load.addWaiting("e2-0", &stream{})
	v.byID["e2-1"].Layers = nil
	v.byID["e3-0"].Accelerator = "unknown"
	g.selfReports.Record(time.Now(), selfreport.Process{ID: "e3-1"}, selfreport.Report{Pause: time.Minute})
	q := &request{service: &routing.Service{Name: "s", Model: m}, route: &routing.Route{TargetLatency: time.Nanosecond}, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
	q.metadata.PromptTokens, q.metadata.ExpectedOutputTokens, q.metadata.MaxOutputTokens = 10, 10, 10
	out := g.explainStream(v, q)
	found := make(map[string]explain.Effect)
	for _, e := range out.Engines {
		assert.Assert(t, e.Reason != "")
		found[e.Engine] = e.Effect
	}
	assert.DeepEqual(t, found, restricted)
	candidates := g.candidateEngines(v, q, nil, g.isBlocked)
	assert.Equal(t, len(candidates), 6)
	for _, e := range candidates {
		assert.Assert(t, restricted[e.ID] != explain.LeftOut, e.ID)
		assert.Equal(t, e.Penalty > 0, restricted[e.ID] == explain.LastChoice, e.ID)
	}
	assert.Equal(t, out.Stages[0].Engine, "e4-0")
	assert.Equal(t, out.Stages[1].Engine, "e4-1")
	assert.Equal(t, len(g.load.unreportedTokens), 0, "the explanation reserves capacity")
}
