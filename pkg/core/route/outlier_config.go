package route

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
)

// OutlierConfig sets the thresholds of an OutlierDetector. Zero values select the
// defaults.
type OutlierConfig struct {
	ErrorRate         float64       // a host is ejected above this fraction of recent outcomes
	ConsecutiveErrors int           // a host is ejected after this many
	SlowLatencyFactor float64       // a host is ejected above this multiple of its group's median latency
	MinSamples        float64       // decayed count of outcomes or successes needed to judge error rate or latency
	DecayTime         time.Duration // time constant of the exponential decay of outcomes
	BaseEjectionTime  time.Duration // of the first ejection; doubled for each failed probe
	MaxEjectionTime   time.Duration
	ProbeTimeout      time.Duration // after this time without outcome another probe is due
	SlowStart         time.Duration // time from a successful probe to full weight
}

// Defaults of OutlierConfig.
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
