package route

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
)

// OutlierConfig sets the thresholds of a Tracker. Zero values take the
// defaults.
type OutlierConfig struct {
	ErrorRate         float64       // ejects above this rate of recent errors
	ConsecutiveErrors int           // ejects after this many errors in a row
	SlowLatencyFactor float64       // ejects above this multiple of the median latency
	MinSamples        float64       // recent samples needed to judge rate or latency
	DecayTime         time.Duration // time constant of "recent"
	BaseEjectionTime  time.Duration // first ejection; doubled for each failed probe
	MaxEjectionTime   time.Duration
	ProbeTimeout      time.Duration // a probe without outcome is given up
	SlowStart         time.Duration // ramp to full weight after the return
}

// Defaults of TrackerConfig.
const (
	DefaultErrorRate         = 0.5
	DefaultConsecutiveErrors = 5
	DefaultSlowLatencyFactor = 3.0
	DefaultMinSamples        = 8.0
	DefaultDecayTime         = 10 * time.Second
	DefaultBaseEjectionTime  = time.Second
	DefaultMaxEjectionTime   = 30 * time.Second
	DefaultProbeTimeout      = 5 * time.Second
	DefaultSlowStart         = 10 * time.Second
)

func (c OutlierConfig) withDefaults() OutlierConfig {
	defaults.Set(&c.ErrorRate, DefaultErrorRate)
	defaults.Set(&c.ConsecutiveErrors, DefaultConsecutiveErrors)
	defaults.Set(&c.SlowLatencyFactor, DefaultSlowLatencyFactor)
	defaults.Set(&c.MinSamples, DefaultMinSamples)
	defaults.Set(&c.DecayTime, DefaultDecayTime)
	defaults.Set(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	defaults.Set(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.SlowStart, DefaultSlowStart)
	return c
}
