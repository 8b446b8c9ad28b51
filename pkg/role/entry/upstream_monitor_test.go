package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a new host that is assumed to be slower than the fastest of its
// group and therefore gets no requests while that one has free slots.
func TestUpstreamMonitor_NewHostTakesFastestLatenciesOfItsGroup(t *testing.T) {
	m := newUpstreamMonitor(t.Context(), nil)
	first, inter := 40*time.Millisecond, 6*time.Millisecond
	m.resolveLatencies(&route.Upstream{Host: "fast", TimeToFirstToken: first, InterTokenLatency: inter}, "a")
	m.resolveLatencies(&route.Upstream{Host: "slow", TimeToFirstToken: 2 * first, InterTokenLatency: 2 * inter}, "a")
	for group, want := range map[string]tokenLatencies{"a": {first, inter}, "b": {}} {
		u := &route.Upstream{Host: "new"}
		m.resolveLatencies(u, group)
		assert.Equal(t, tokenLatencies{u.TimeToFirstToken, u.InterTokenLatency}, want, "group %s", group)
	}
}

// Guards against an entry that becomes ready before an agent knows whether its
// host is drained, and against one that waits for a drained host.
func TestUpstreamMonitor_WaitsForUsableUpstreamsExceptDrainedOnes(t *testing.T) {
	m := newUpstreamMonitor(t.Context(), nil)
	up := &upstreamState{announcement: &wirepb.Announcement{State: "serving"}, report: &wirepb.LoadReport{Draining: true}}
	m.upstreamStates["host"] = up
	assert.Assert(t, !m.allUpstreamsUsable())
	up.announcement.State = stateDraining
	assert.Assert(t, m.allUpstreamsUsable())
	up.announcement.State = "serving"
	up.report = &wirepb.LoadReport{}
	assert.Assert(t, m.allUpstreamsUsable())
}

// Guards against an idle upstream that gets no requests because the report of its
// engine is old. The agent knows without it how many requests wait and run.
func TestUpstreamMonitor_OldEngineReportDoesNotPenaliseIdleUpstream(t *testing.T) {
	m := newUpstreamMonitor(t.Context(), &Entry{outliers: route.NewOutlierDetector(route.OutlierConfig{})})
	held := []*wirepb.ModelHeld{{Model: "m", Version: "v", FirstLayer: 0, LastLayer: 1}}
	report := func(host string, running, age uint32) {
		up := &upstreamState{
			announcement: &wirepb.Announcement{Host: host, DataCentre: "d", Models: held},
			state:        agent.Alive,
			report: &wirepb.LoadReport{Slots: 8, Running: running, EngineAgeMs: age,
				FirstTokenMsP50: 12, InterTokenUsP50: 6000},
		}
		m.updateTable(up)
	}
	report("busy", 3, 80)
	report("idle", 0, 200)
	chain, err := m.table.SelectChain(route.Requirements{Model: "m", Layers: 2, MaxTokens: 60, DataCentre: "d", EntryCount: 1}, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, chain[0].Host, "idle")
}
