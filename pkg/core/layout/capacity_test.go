package layout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a capacity that ignores the layer with the least KV cache, a layer
// without a holder, or a slow engine.
func TestCapacityByDataCentre_IsLimitedByBottleneckLayer(t *testing.T) {
	m := model()
	m.DecodeStepTime, m.PrefillTokensPerSecond = 1020*time.Microsecond, 164_000
	all := engines("a", 1, 6, 6)
	plan := Plan(m, all, true)
	for i := range all {
		all[i].HeldLayers = plan[all[i].ID]
	}
	c := CapacityByDataCentre(m, all)["a"]
	assert.Equal(t, c.KVCacheTokens, 206_471)
	assert.Assert(t, c.RequestTime > time.Second && c.RequestTime < 5*time.Second, "%s", c.RequestTime)
	assert.Assert(t, c.RequestsPerSecond > 50 && c.RequestsPerSecond < 200, "%f", c.RequestsPerSecond)
	all[0].Slow = true
	assert.Equal(t, CapacityByDataCentre(m, all)["a"].RequestsPerSecond, 0.0)
}
