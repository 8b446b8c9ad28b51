package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/layout"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

var placementModel = &routing.Model{Layers: 80, LoadTime: 14 * time.Second}

func ordered(wanted layout.Range, at time.Time) *placement {
	p := &placement{ordered: map[string]order{"e": {wanted: wanted, at: at}}}
	return p
}

// Guards against an order that is given again because a report is older than the
// announcement before it: the engine would be taken for empty.
func TestPlacement_TrustsAnAnnouncementOnlyWithItsReport(t *testing.T) {
	now := time.Now()
	wanted := layout.Range{From: 4, To: 8}
	p := ordered(wanted, now)
	announced := &wirepb.Instance{Id: "e", Layers: &wirepb.LayerRange{From: 4, To: 8}}
	held, free := p.held(now.Add(100*time.Millisecond), announced, placementModel)
	assert.Equal(t, held, wanted)
	assert.Assert(t, !free)
	stale := &wirepb.Instance{Id: "e"}
	held, free = p.held(now.Add(200*time.Millisecond), stale, placementModel)
	assert.Equal(t, held, wanted, "the engine is taken for empty")
	assert.Assert(t, !free)
	reported := &wirepb.Instance{Id: "e", Orders: 1, Layers: announced.Layers}
	held, free = p.held(now.Add(500*time.Millisecond), reported, placementModel)
	assert.Equal(t, held, wanted)
	assert.Assert(t, free)
}

// Guards against an engine that is never ordered again because an order was lost.
func TestPlacement_GivesUpALostOrder(t *testing.T) {
	now := time.Now()
	p := ordered(layout.Range{From: 0, To: 8}, now)
	idle := &wirepb.Instance{Id: "e"}
	_, free := p.held(now.Add(orderPatience), idle, placementModel)
	assert.Assert(t, !free)
	held, free := p.held(now.Add(orderPatience+4*time.Second), idle, placementModel)
	assert.Assert(t, free && held.Empty())
}

// Guards against orders to an engine that still carries out one.
func TestPlacement_LeavesALoadingEngineAlone(t *testing.T) {
	now := time.Now()
	p := ordered(layout.Range{From: 0, To: 8}, now)
	loading := &wirepb.Instance{Id: "e", Loading: true}
	_, free := p.held(now.Add(time.Minute), loading, placementModel)
	assert.Assert(t, !free)
	_, free = (&placement{ordered: map[string]order{}}).held(now, loading, placementModel)
	assert.Assert(t, !free)
}
