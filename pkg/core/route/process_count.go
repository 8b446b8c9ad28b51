package route

import "time"

// processCountAge is the time for which a higher number of processes counts: within it, all
// processes have found a new leader.
const processCountAge = 10 * time.Second

// ProcessCount is the number of processes that share a limit. A leader or a control replica
// that has just started has heard of few of them; if each of these took the share of one of
// few, all together would exceed the limit. The zero value is ready to use.
type ProcessCount struct {
	samples []countSample // numbers that are the highest since their time, oldest first
}

type countSample struct {
	at    time.Time
	count int
}

// Update records the number of processes that are known. It returns the highest number of
// the last processCountAge, at least one.
func (c *ProcessCount) Update(now time.Time, n int) int {
	n = max(1, n)
	for len(c.samples) > 0 && c.samples[len(c.samples)-1].count <= n {
		c.samples = c.samples[:len(c.samples)-1]
	}
	c.samples = append(c.samples, countSample{now, n})
	for now.Sub(c.samples[0].at) > processCountAge {
		c.samples = c.samples[1:]
	}
	return c.samples[0].count
}
