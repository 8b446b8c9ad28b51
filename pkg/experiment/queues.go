package experiment

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
)

const (
	queueWaitSum  = "plantain_agent_queue_wait_seconds_sum"
	scrapeTimeout = 2 * time.Second
	maxMetrics    = 4 << 20
)

// queueWait sums the time that requests have spent in the queues of the agents
// of the first stage, and of those of the second. A session that waits at the
// second stage holds a slot of the first.
func queueWait(d *local.Deployment) (first, second time.Duration) {
	for _, u := range d.Upstreams {
		switch {
		case u.Stage < 0:
		case d.Plan.Stages[u.Stage].First == 0:
			first += agentQueueWait(u)
		default:
			second += agentQueueWait(u)
		}
	}
	return first, second
}

func agentQueueWait(u *local.Upstream) time.Duration {
	client := http.Client{Timeout: scrapeTimeout}
	resp, err := client.Get("http://" + u.Platform + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMetrics))
	if err != nil {
		return 0
	}
	total := 0.0
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, queueWaitSum) {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' ')+1:]), 64)
		if err == nil {
			total += seconds
		}
	}
	return time.Duration(total * float64(time.Second))
}
