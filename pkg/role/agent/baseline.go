package agent

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// unlimitedSlots exceeds the number of requests that an agent ever holds, so
// that none of them queues.
const unlimitedSlots = 1 << 20

// setSlots sets the number of requests that run at the same time. With
// DisableQueue, the baseline of measurements, all requests run at once and the
// engine queues them.
func (a *Agent) setSlots(n int) {
	if a.settings.DisableQueue {
		n = unlimitedSlots
	}
	a.queue.setSlots(n)
}

// engineRank returns the rank that is sent to the engine. It is empty with
// DisableQueue.
func (a *Agent) engineRank(rank wirepb.Rank) string {
	if a.settings.DisableQueue {
		return ""
	}
	return schedRank(rank).String()
}
