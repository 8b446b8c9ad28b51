package path

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

func model() *routing.Model {
	return &routing.Model{Layers: 12, InterDataCentreMbps: 1000, ActivationBytes: 1000}
}

func engine(id, dc string, from, to int) Engine {
	return Engine{ID: id, Address: id, DataCentre: dc, From: from, To: to, DecodePerLayer: time.Millisecond,
		PrefillPerLayer: time.Microsecond, FreeKVTokens: 10_000, FreeSlots: 10}
}

var typicalRequest = Request{InputTokens: 100, ExpectedOutputTokens: 50, DataCentre: "a"}

// Guards against paths that skip a layer, run one twice, or use an engine twice, for
// any ranges that the engines hold.
func TestChoose_RunsEveryLayerOnce(t *testing.T) {
	m := model()
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			from := rapid.IntRange(0, m.Layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, m.Layers).Draw(t, "to")
			e := engine(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"), from, to)
			e.DecodePerLayer = time.Duration(rapid.IntRange(1, 50).Draw(t, "step")) * time.Millisecond
			engines = append(engines, e)
		}
		c, err := Choose(m, engines, typicalRequest)
		if err == nil {
			assert.Assert(t, ValidStages(m, c.Stages))
			for _, stage := range c.Stages {
				e := engines[engineIndex(stage.ID)]
				assert.Assert(t, e.From <= stage.From && stage.To <= e.To)
			}
		}
	})
}

// Guards against an engine with a range outside the model that keeps the others from being
// used.
func TestChoose_IgnoresRangesOutsideModel(t *testing.T) {
	m := model()
	sound := []Engine{engine("0", "a", 0, 6), engine("1", "a", 6, 12)}
	for _, odd := range []Engine{engine("2", "a", 0, 200), engine("2", "a", -5, 12), engine("2", "a", 100, 120), engine("2", "a", 9, 3)} {
		c, err := Choose(m, append(sound, odd), typicalRequest)
		assert.NilError(t, err, "beside an engine with [%d, %d)", odd.From, odd.To)
		assert.Assert(t, ValidStages(m, c.Stages))
	}
}

func engineIndex(id string) int {
	var i int
	_, _ = fmt.Sscan(id, &i)
	return i
}

// Guards against activations that cross between data centres although one of them
// holds the whole model.
func TestChoose_PrefersPathInsideOneDataCentre(t *testing.T) {
	c, err := Choose(model(), []Engine{engine("a1", "a", 0, 6), engine("b1", "b", 0, 6), engine("b2", "b", 6, 12)}, typicalRequest)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Stages), 2)
	assert.Equal(t, c.Stages[0].ID, "b1")
}

// Guards against refused requests although two data centres together hold every layer.
func TestChoose_CrossesDataCentresWhenNoneHoldsAllLayers(t *testing.T) {
	c, err := Choose(model(), []Engine{engine("a1", "a", 0, 6), engine("b2", "b", 6, 12)}, typicalRequest)
	assert.NilError(t, err)
	assert.Assert(t, ValidStages(model(), c.Stages))
	assert.Equal(t, c.DataCentreCrossings, 1)
	singleDataCentre := typicalRequest
	singleDataCentre.SingleDataCentre = true
	_, err = Choose(model(), []Engine{engine("a1", "a", 0, 6), engine("b2", "b", 6, 12)}, singleDataCentre)
	assert.Assert(t, fault.Is(err, fault.Unavailable))
}

// Guards against choosing an engine without free KV cache while another has some.
func TestChoose_AvoidsFullEngines(t *testing.T) {
	full := engine("full", "a", 0, 12)
	full.FreeKVTokens = 10
	c, err := Choose(model(), []Engine{full, engine("slow", "b", 0, 12)}, typicalRequest)
	assert.NilError(t, err)
	assert.Equal(t, c.Stages[0].ID, "slow")
	assert.Assert(t, c.HasCapacity)
}

// Guards against a path over a missing layer.
func TestChoose_UnavailableWhenALayerIsMissing(t *testing.T) {
	_, err := Choose(model(), []Engine{engine("a1", "a", 0, 6), engine("a2", "a", 7, 12)}, typicalRequest)
	assert.Assert(t, fault.Is(err, fault.Unavailable))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// Guards against a repair that replaces the first engine, which holds the connection
// of the stream.
func TestChoose_KeepsRequiredFirstStage(t *testing.T) {
	r := typicalRequest
	r.FirstStage = &PipelineStage{ID: "a1", Address: "a1", From: 0, To: 6}
	a1 := engine("a1", "a", 0, 6)
	a1.DecodePerLayer = time.Second
	c, err := Choose(model(), []Engine{a1, engine("a3", "a", 0, 6), engine("a4", "a", 3, 9), engine("a2", "a", 6, 12)}, r)
	assert.NilError(t, err)
	assert.Equal(t, c.Stages[0], *r.FirstStage)
}
