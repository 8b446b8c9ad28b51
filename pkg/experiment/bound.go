package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

// stepsPerToken is the time that a busy chain of two engines takes for one token,
// as a multiple of the step time of an engine: two steps and the waits before them.
// A session that arrives during a step waits for the next one, and the waits at two
// engines of the same speed add up to one step.
const stepsPerToken = 3

// SlotThroughputLimit returns the maximum number of generated tokens per second
// that the chains of CurrentSizePlan can serve with their slots. The slots limit
// them because a session holds a slot on both engines of its chain but runs on
// one of them at a time. Engines of the same speed are assumed to be paired. The
// experiment "bound" measures the same limit without the router.
func SlotThroughputLimit(prompt, output float64) float64 {
	const chainsPerSpeed = 10
	limit := 0.0
	for _, step := range []time.Duration{fastStep, slowStep} {
		batch := float64(engineSlots) / stepsPerToken // mean number of sessions in a step
		tokenSeconds := stepsPerToken * (step.Seconds() + batch*stepPerSession.Seconds())
		requestSeconds := output*tokenSeconds + 2*prompt*prefillPerToken.Seconds()
		limit += chainsPerSpeed * engineSlots / requestSeconds
	}
	return limit * output
}

// chatBound returns the throughput bound of the model, or a zero value if no
// model was requested.
func chatBound(p *load.Report) load.ThroughputBound {
	for _, b := range p.ThroughputBounds() {
		if b.Kind == "model" {
			return b
		}
	}
	return load.ThroughputBound{}
}
