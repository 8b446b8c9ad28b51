package route

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
)

// TrackerConfig sets the thresholds of a Tracker. Zero values take the
// defaults.
type TrackerConfig struct {
	ErrorRate    float64       // ejects above this rate of recent errors
	ErrorsInRow  int           // ejects after this many errors in a row
	SlowFactor   float64       // ejects above this multiple of the median latency
	MinSamples   float64       // recent samples needed to judge rate or latency
	Window       time.Duration // time constant of "recent"
	BaseEjection time.Duration // first ejection; doubled for each failed probe
	MaxEjection  time.Duration
	ProbeTimeout time.Duration // a probe without outcome is given up
	SlowStart    time.Duration // ramp to full weight after the return
}

// Defaults of TrackerConfig.
const (
	DefaultErrorRate    = 0.5
	DefaultErrorsInRow  = 5
	DefaultSlowFactor   = 3.0
	DefaultMinSamples   = 8.0
	DefaultWindow       = 10 * time.Second
	DefaultBaseEjection = time.Second
	DefaultMaxEjection  = 30 * time.Second
	DefaultProbeTimeout = 5 * time.Second
	DefaultSlowStart    = 10 * time.Second
)

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
