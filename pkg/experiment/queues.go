package experiment

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
)

const queueWaitSum = "plantain_agent_queue_wait_seconds_sum"

// queueWait returns the total time that requests have spent in the queues of the
// agents of the first and of the second stage. A session that waits at the second
// stage holds a slot of the first.
func queueWait(d *local.Deployment) (first, second time.Duration) {
	for _, u := range d.Upstreams {
		switch {
		case u.StageIndex < 0:
		case d.Plan.Stages[u.StageIndex].FirstLayer == 0:
			first += agentQueueWait(u)
		default:
			second += agentQueueWait(u)
		}
	}
	return first, second
}

// agentQueueWait returns the total queue wait of one agent, or zero if the agent
// does not respond.
func agentQueueWait(u *local.Upstream) time.Duration {
	seconds, err := local.SumMetric(u.HealthAddress, queueWaitSum)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
