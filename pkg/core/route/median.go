package route

import (
	"slices"
	"time"
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
	setDefault(&c.ErrorRate, DefaultErrorRate)
	setDefault(&c.ErrorsInRow, DefaultErrorsInRow)
	setDefault(&c.SlowFactor, DefaultSlowFactor)
	setDefault(&c.MinSamples, DefaultMinSamples)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.BaseEjection, DefaultBaseEjection)
	setDefault(&c.MaxEjection, DefaultMaxEjection)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.SlowStart, DefaultSlowStart)
	return c
}

func setDefault[T float64 | int | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
