package capacity

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a slope that differs from that of the generated points, and
// against a small residual for points that do not lie on a line.
func TestFitLine_RecoversSlopeAndReportsResidual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(0.01, 1e6).Draw(t, "slope")
		intercept := rapid.Float64Range(0, 1e6).Draw(t, "intercept")
		var points []Point
		for _, size := range []float64{10, 1000, 100_000} {
			points = append(points, Point{Size: size, Value: intercept + slope*size})
		}
		line := FitLine(points)
		assert.Assert(t, math.Abs(line.Slope-slope) <= 1e-6*slope, "slope %v, want %v", line.Slope, slope)
		assert.Assert(t, line.Residual < 1e-6, "residual %v", line.Residual)
		points[1].Value *= 2
		assert.Assert(t, FitLine(points).Residual > 0.1)
	})
	one := FitLine([]Point{{Size: 5, Value: 3}, {Size: 5, Value: 3}})
	assert.Equal(t, one.Slope, 0.0)
	assert.Equal(t, one.Intercept, 3.0)
}

const output = `goos: linux
pkg: github.com/plantainstair/plantainstair/pkg/core/state
BenchmarkApplyClaim/claims=100-4         	   32773	      3886 ns/op	       500.0 B/claim
BenchmarkApplyClaim/claims=200-4         	   32773	      3886 ns/op	       500.0 B/claim
BenchmarkSnapshot/take/claims=100-4      	       6	     1.5e+02 ns/op
2026/01/01 a log line
pkg: github.com/plantainstair/plantainstair/pkg/wire
BenchmarkMessage/ping-4         	   42225	      1408 ns/op	        15.00 wire-B
PASS
`

// Guards against values assigned to the wrong benchmark, size or unit, and
// against per-item values that are fitted as totals.
func TestParse_GroupsValuesBySeries(t *testing.T) {
	samples, err := Parse(strings.NewReader(output))
	assert.NilError(t, err)
	assert.Equal(t, len(samples), 7)
	assert.DeepEqual(t, samples[4], Sample{Series: "pkg/core/state.Snapshot/take", Param: "claims", Size: 100, Unit: "ns/op", Value: 150})
	m := Fit(samples)
	assert.Equal(t, math.Round(m.slope("pkg/core/state.ApplyClaim", "claims", "B/claim").Value), 500.0)
	assert.Equal(t, m.atSize("pkg/core/state.ApplyClaim", "claims", "ns/op", 100).Value, 3886.0)
	assert.Equal(t, m.withoutSize("pkg/wire.Message/ping", "wire-B").Value, 15.0)
	assert.NilError(t, m.Err())
	m.slope("pkg/wire.Message/pong", "", "wire-B")
	assert.ErrorContains(t, m.Err(), "pkg/wire.Message/pong")
}

// Guards against tables that are computed from a failed run or from corrupt
// output.
func TestParse_RejectsFailedRunsAndCorruptOutput(t *testing.T) {
	for _, text := range []string{"--- FAIL: BenchmarkX\n", "FAIL\n", "BenchmarkX-4 10 5 ns/op 7\n", "BenchmarkX-4 10 five ns/op\n"} {
		_, err := Parse(strings.NewReader(text))
		assert.Assert(t, err != nil, "%q", text)
	}
}
