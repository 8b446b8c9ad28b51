package layout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a bound that leaves out the tightest layer, a gap or a slow
// engine.
func TestCapacities_FollowTheTightestLayer(t *testing.T) {
	m := model()
	m.Step, m.ReadRate = 1020*time.Microsecond, 164_000
	all := engines("a", 1, 6, 6)
	plan := Plan(m, all, true)
	for i := range all {
		all[i].Held = plan[all[i].ID]
	}
	c := Capacities(m, all)["a"]
	assert.Equal(t, c.Tokens, 206_471)
	assert.Assert(t, c.Stream > time.Second && c.Stream < 5*time.Second, "%s", c.Stream)
	assert.Assert(t, c.PerSecond > 50 && c.PerSecond < 200, "%f", c.PerSecond)
	all[0].Slow = true
	assert.Equal(t, Capacities(m, all)["a"].PerSecond, 0.0)
}
