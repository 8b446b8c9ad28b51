package gateway

import "time"

// gatewayCountAge is the time for which a higher number of gateways counts: within it, all
// gateways have found a new leader.
const gatewayCountAge = 10 * time.Second

// gatewayCount is the number of gateways that share a limit. A leader that was just elected
// has heard of few of them; if each of these took the share of one of few, all together would
// exceed the limit.
type gatewayCount struct {
	samples []countSample // numbers that are the highest since their time, oldest first
}

type countSample struct {
	at    time.Time
	count int
}

// update records the number of gateways that the leader has heard of. It returns the highest
// number of the last gatewayCountAge, at least one.
func (c *gatewayCount) update(now time.Time, n int) int {
	n = max(1, n)
	for len(c.samples) > 0 && c.samples[len(c.samples)-1].count <= n {
		c.samples = c.samples[:len(c.samples)-1]
	}
	c.samples = append(c.samples, countSample{now, n})
	for now.Sub(c.samples[0].at) > gatewayCountAge {
		c.samples = c.samples[1:]
	}
	return c.samples[0].count
}
