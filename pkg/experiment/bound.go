package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

// SlotLimit returns the generated tokens per second that the chains of
// TodayPlan serve at most with the slots they have. A session holds a slot of
// both engines of its chain but is at one of them at a time, so an engine
// computes half of its sessions in a step on average. A larger batch at one
// stage leaves the other idle; fast engines are paired with fast ones, which
// no other pairing exceeds.
func SlotLimit(prompt, output float64) float64 {
	const chainsOfKind = 10
	limit := 0.0
	for _, step := range []time.Duration{fastStep, slowStep} {
		token := 2 * (step + engineSlots/2*perSession).Seconds()
		request := output*token + 2*prompt*prefill.Seconds()
		limit += chainsOfKind * engineSlots / request
	}
	return limit * output
}

// chat returns the bound of the model of a report.
func chat(p *load.Report) load.Bound {
	for _, b := range p.Bounds() {
		if b.Kind == "model" {
			return b
		}
	}
	return load.Bound{}
}
