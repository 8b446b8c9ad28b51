package agent

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// unlimitedSlots is more than the requests that an agent ever holds, so that
// none of them waits.
const unlimitedSlots = 1 << 20

// setSlots sets the requests that run at once. As the baseline of measurements
// the agent passes all requests on and leaves the queue to the engine.
func (a *Agent) setSlots(n int) {
	if a.agentSettings.DisableQueue {
		n = unlimitedSlots
	}
	a.queue.setSlots(n)
}

// engineRank is the rank told to the engine. The baseline names none.
func (a *Agent) engineRank(rank wirepb.Rank) string {
	if a.agentSettings.DisableQueue {
		return ""
	}
	return schedRank(rank).String()
}
