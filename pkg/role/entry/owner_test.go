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

// Guards against a new host that counts as slower than the fastest of its group,
// and so gets no work while that one has free slots.
func TestOwner_NewHostHasSpeedOfItsGroup(t *testing.T) {
	o := newOwner(t.Context(), nil)
	first, inter := 40*time.Millisecond, 6*time.Millisecond
	o.fillSpeed(&route.Upstream{Host: "fast", TimeToFirstToken: first, InterTokenLatency: inter}, "a")
	o.fillSpeed(&route.Upstream{Host: "slow", TimeToFirstToken: 2 * first, InterTokenLatency: 2 * inter}, "a")
	for group, want := range map[string]speed{"a": {first, inter}, "b": {}} {
		u := &route.Upstream{Host: "new"}
		o.fillSpeed(u, group)
		assert.Equal(t, speed{u.TimeToFirstToken, u.InterTokenLatency}, want, "group %s", group)
	}
}

// Guards against an entry that is ready while an agent still waits to learn
// whether its host is drained, and against one that waits for a drained host.
func TestOwner_WarmOnceAgentsTakeWork(t *testing.T) {
	o := newOwner(t.Context(), nil)
	p := &peer{announcement: &wirepb.Announcement{State: "serving"}, report: &wirepb.LoadReport{Draining: true}}
	o.peers["host"] = p
	assert.Assert(t, !o.allUsable())
	p.announcement.State = stateDraining
	assert.Assert(t, o.allUsable())
	p.announcement.State = "serving"
	p.report = &wirepb.LoadReport{}
	assert.Assert(t, o.allUsable())
}

// Guards against an idle engine that gets no work because its last report on itself
// is old: the agent knows what waits and runs without it.
func TestOwner_OldEngineReportIsNoWait(t *testing.T) {
	o := newOwner(t.Context(), &Entry{tracker: route.NewOutlierDetector(route.OutlierConfig{})})
	held := []*wirepb.ModelHeld{{Model: "m", Version: "v", FirstLayer: 0, LastLayer: 1}}
	report := func(host string, running, age uint32) {
		p := &peer{
			announcement: &wirepb.Announcement{Host: host, DataCentre: "d", Models: held},
			state:        agent.Alive,
			report: &wirepb.LoadReport{Slots: 8, Running: running, EngineAgeMs: age,
				FirstTokenMsP50: 12, InterTokenUsP50: 6000},
		}
		o.update(p)
	}
	report("busy", 3, 80)
	report("idle", 0, 200)
	chain, err := o.table.SelectChain(route.Requirements{Model: "m", Layers: 2, MaxTokens: 60, DataCentre: "d", EntryCount: 1}, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, chain[0].Host, "idle")
}
