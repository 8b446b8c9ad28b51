package explain

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against a query that is explained although it describes no request, and against
// a refusal that does not name the parameter.
func TestParseQuery_RefusesWhatIsNoRequest(t *testing.T) {
	for text, field := range map[string]string{
		"path=/x":       "host",
		"host=a":        "path",
		"host=a&path=x": "path",
		"host=a&path=/x&prompt_tokens=5&output_tokens=16777216": "",
		"host=a&path=/x&prompt_tokens=-1":                       "prompt_tokens",
		"host=a&path=/x&output_tokens=16777217":                 "output_tokens",
		"host=a&path=/x&output_tokens=many":                     "output_tokens",
		"host=a&path=/" + strings.Repeat("x", maxNameLength):    "path",
	} {
		v, err := url.ParseQuery(text)
		assert.NilError(t, err)
		q, err := ParseQuery(v)
		if field == "" {
			assert.NilError(t, err, text)
			again, err := ParseQuery(q.Values())
			assert.NilError(t, err)
			assert.Equal(t, again, q)
			continue
		}
		assert.Assert(t, fault.Is(err, fault.Invalid), text)
		assert.Equal(t, fault.As(err).Field, field)
	}
}

// Guards against a data centre without capacity whose limit is missing or wrong: each has
// another one.
func TestCompareDataCentres_NamesTheLimitOfEach(t *testing.T) {
	m := &routing.Model{Layers: 8}
	engine := func(id string, from, to, freeTokens, freeSlots int, perToken time.Duration) path.Engine {
		return path.Engine{ID: id, From: from, To: to, FreeKVTokens: freeTokens, FreeSlots: freeSlots, DecodePerLayer: perToken}
	}
	const fast, slow = time.Millisecond, 100 * time.Millisecond
	found := CompareDataCentres(m, map[string][]path.Engine{
		"empty": nil,
		"full":  {engine("a", 0, 4, 100, 5, fast), engine("b", 4, 8, 1, 5, fast)},
		"gap":   {engine("a", 0, 4, 100, 5, fast), engine("b", 5, 8, 100, 5, fast)},
		"good":  {engine("a", 0, 8, 100, 5, fast)},
		"slots": {engine("a", 0, 8, 100, 0, fast)},
		"slow":  {engine("a", 0, 8, 100, 5, slow)},
	}, path.Request{InputTokens: 10, ExpectedOutputTokens: 10, DataCentre: "gap", MaxCost: time.Second})
	limits := make(map[string]string)
	for _, d := range found {
		limits[d.Name] = d.Limit
		assert.Equal(t, d.HasCapacity, d.Name == "good")
		assert.Equal(t, d.Own, d.Name == "gap")
	}
	assert.DeepEqual(t, limits, map[string]string{
		"empty": "no engine takes requests",
		"full":  "no engine that holds the layer has KV cache left (layer 4)",
		"gap":   "no engine holds the layer (layer 4)",
		"good":  "",
		"slots": "no first engine has a slot left",
		"slow":  "its path exceeds the 1000 ms within which the request has to end",
	})
}

// Guards against a reason that contradicts the chosen data centre.
func TestDataCentreReason_FitsTheChoice(t *testing.T) {
	full, free := []DataCentre{{Name: "z0", Own: true, Limit: "full"}}, []DataCentre{{Name: "z0", Own: true, HasCapacity: true, CostMs: 30}}
	here, elsewhere := []Stage{{DataCentre: "z0"}}, []Stage{{DataCentre: "z1"}}
	for want, s := range map[string]Stream{
		"no data centre has a path with capacity":                                                       {DataCentres: full},
		"no data centre has a path with capacity of its own":                                            {DataCentres: full, Stages: here, Crossings: 1},
		"no other data centre is faster by enough to leave the gateway's own one":                       {DataCentres: free, Stages: here},
		"the gateway's own data centre serves this request; a share of 0.25 leaves for a faster one":    {DataCentres: free, Stages: here, LeavingShare: 0.25},
		"the gateway's own data centre has no engine of the service":                                    {Stages: elsewhere},
		"the gateway's own data centre has no path with capacity: full":                                 {DataCentres: full, Stages: elsewhere},
		"the best path of the gateway's own data centre costs 10.0 ms more, and a share of 0.50 leaves": {DataCentres: free, Stages: elsewhere, CostMs: 20, LeavingShare: 0.5},
	} {
		assert.Equal(t, s.DataCentreReason(), want)
	}
}
