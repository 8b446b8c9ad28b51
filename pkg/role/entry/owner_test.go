package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a new host that counts as slower than the fastest of its group,
// and so gets no work while that one has free slots.
func TestOwner_NewHostHasSpeedOfItsGroup(t *testing.T) {
	o := newOwner(t.Context(), nil)
	first, inter := 40*time.Millisecond, 6*time.Millisecond
	o.fillSpeed(&route.Upstream{Host: "fast", FirstToken: first, InterToken: inter}, "a")
	o.fillSpeed(&route.Upstream{Host: "slow", FirstToken: 2 * first, InterToken: 2 * inter}, "a")
	for group, want := range map[string]speed{"a": {first, inter}, "b": {}} {
		u := &route.Upstream{Host: "new"}
		o.fillSpeed(u, group)
		assert.Equal(t, speed{u.FirstToken, u.InterToken}, want, "group %s", group)
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
