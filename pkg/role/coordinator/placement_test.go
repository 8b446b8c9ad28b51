package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/layout"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/takeover"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

var placementModel = &routing.Model{Layers: 80, LoadTime: 14 * time.Second}

func placementWithPendingOrder(wanted layout.Range, at time.Time) *placement {
	p := &placement{pendingOrders: map[string]pendingOrder{"e": {wanted: wanted, at: at}}}
	return p
}

// Guards against an order that is given again because a report is older than the
// announcement before it, which makes the engine look empty.
func TestPlacement_StaleReportKeepsThePendingOrder(t *testing.T) {
	now := time.Now()
	wanted := layout.Range{From: 4, To: 8}
	p := placementWithPendingOrder(wanted, now)
	announced := &wirepb.Instance{Id: "e", Layers: &wirepb.LayerRange{From: 4, To: 8}}
	heldLayers, orderable := p.heldLayers(now.Add(100*time.Millisecond), announced, placementModel)
	assert.Equal(t, heldLayers, wanted)
	assert.Assert(t, !orderable)
	stale := &wirepb.Instance{Id: "e"}
	heldLayers, orderable = p.heldLayers(now.Add(200*time.Millisecond), stale, placementModel)
	assert.Equal(t, heldLayers, wanted, "a stale report replaced the ordered range")
	assert.Assert(t, !orderable)
	reported := &wirepb.Instance{Id: "e", Orders: 1, Layers: announced.Layers}
	heldLayers, orderable = p.heldLayers(now.Add(500*time.Millisecond), reported, placementModel)
	assert.Equal(t, heldLayers, wanted)
	assert.Assert(t, orderable)
}

// Guards against an engine that gets no further orders because one order was lost.
func TestPlacement_LostOrderExpires(t *testing.T) {
	now := time.Now()
	p := placementWithPendingOrder(layout.Range{From: 0, To: 8}, now)
	idle := &wirepb.Instance{Id: "e"}
	_, orderable := p.heldLayers(now.Add(orderEffectTimeout), idle, placementModel)
	assert.Assert(t, !orderable)
	heldLayers, orderable := p.heldLayers(now.Add(orderEffectTimeout+4*time.Second), idle, placementModel)
	assert.Assert(t, orderable && heldLayers.Empty())
}

// Guards against orders to an engine that still carries out another one.
func TestPlacement_LoadingEngineGetsNoOrder(t *testing.T) {
	now := time.Now()
	p := placementWithPendingOrder(layout.Range{From: 0, To: 8}, now)
	loading := &wirepb.Instance{Id: "e", Loading: true}
	_, orderable := p.heldLayers(now.Add(time.Minute), loading, placementModel)
	assert.Assert(t, !orderable)
	_, orderable = (&placement{pendingOrders: map[string]pendingOrder{}}).heldLayers(now, loading, placementModel)
	assert.Assert(t, !orderable)
}

// Guards against a new leader that leaves a lost layer missing for two announcement intervals
// although it has polled every engine.
func TestPlacement_ReadyOnceWatchedEnginesArePolled(t *testing.T) {
	now := time.Now()
	e := takeover.Engine{ID: "e", StartUnixMs: 1}
	for viewAge, want := range map[time.Duration]bool{500 * time.Millisecond: true, 1500 * time.Millisecond: false} {
		c := &Coordinator{leaderSince: now, survey: takeover.NewSurvey(viewAge, true, []takeover.Engine{e}), stepRequested: make(chan struct{}, 1)}
		c.opts.AnnouncementInterval = 1200 * time.Millisecond
		p := newPlacement(c)
		p.noteEngine(now, &wirepb.Instance{Id: "e", BornUnixMs: 1, Layers: &wirepb.LayerRange{From: 0, To: 8}})
		assert.Assert(t, !p.ready(now.Add(10*time.Millisecond)))
		c.recordSurveyed(&wirepb.Instance{Id: "e", BornUnixMs: 1})
		assert.Equal(t, p.ready(now.Add(20*time.Millisecond)), want, "view of %s", viewAge)
		assert.Assert(t, p.ready(now.Add(takeOverAnnouncements*c.opts.AnnouncementInterval)))
	}
}
