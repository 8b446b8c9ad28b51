package route

import (
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
)

// refresh computes the median latency of the hosts with enough samples, unless
// it is recent.
func (g *groupState) refresh(now time.Time, minSamples float64) {
	if !g.computed.IsZero() && now.Sub(g.computed) < medianInterval {
		return
	}
	g.computed = now
	g.latencies = g.latencies[:0]
	for _, h := range g.hosts {
		if h.samples >= minSamples {
			g.latencies = append(g.latencies, h.latency)
		}
	}
	g.comparable = len(g.latencies)
	if g.comparable == 0 {
		return
	}
	slices.Sort(g.latencies)
	g.median = g.latencies[(g.comparable-1)/2]
}

func (c TrackerConfig) withDefaults() TrackerConfig {
	defaults.Set(&c.ErrorRate, DefaultErrorRate)
	defaults.Set(&c.ErrorsInRow, DefaultErrorsInRow)
	defaults.Set(&c.SlowFactor, DefaultSlowFactor)
	defaults.Set(&c.MinSamples, DefaultMinSamples)
	defaults.Set(&c.Window, DefaultWindow)
	defaults.Set(&c.BaseEjection, DefaultBaseEjection)
	defaults.Set(&c.MaxEjection, DefaultMaxEjection)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.SlowStart, DefaultSlowStart)
	return c
}
