package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

// stepsPerToken is the time of a token of a busy chain of two engines in steps.
// A session that arrives during a step waits for the next one, and over a round
// through two engines of the same speed the two waits add up to one step.
const stepsPerToken = 3

// SlotThroughputLimit returns the generated tokens per second that the chains of
// TodayPlan serve at most with the slots they have, because a session holds a
// slot of both engines of its chain but is at one of them at a time. Engines of
// the same speed are paired. The experiment "bound" measures the same without
// the router.
func SlotThroughputLimit(prompt, output float64) float64 {
	const chainsOfKind = 10
	limit := 0.0
	for _, step := range []time.Duration{fastStep, slowStep} {
		batch := float64(engineSlots) / stepsPerToken
		token := stepsPerToken * (step.Seconds() + batch*perSession.Seconds())
		request := output*token + 2*prompt*prefill.Seconds()
		limit += chainsOfKind * engineSlots / request
	}
	return limit * output
}

// chat returns the bound of the model of a report.
func chat(p *load.Report) load.ThroughputBound {
	for _, b := range p.ThroughputBounds() {
		if b.Kind == "model" {
			return b
		}
	}
	return load.ThroughputBound{}
}
