// Package stopping decides which requests a process that stops still takes. It answers a
// planned stop while requests last about as long as what is left of the grace period: what
// would be cut at its end is refused at once, so that another process takes it from the start.
// It reads no clock: callers pass times.
package stopping

import (
	"math"
	"sync"
	"time"
)

const (
	// paceWeight is the weight of the newest stream in the means: they follow a change of
	// load within some tens of streams.
	paceWeight = 0.05
	// lengthMargin multiplies the expected length. Where that is right at the median and the
	// lengths are spread log-normally by 0.4, four streams in five are shorter. A stream that
	// is cut costs its caller a pause and the engines a second reading of the prompt, a
	// refused one a new connection.
	lengthMargin = 1.4
	// finalLengthMargin is that for streams which may not be repeated: 99 in 100 are shorter.
	finalLengthMargin = 2.5
	// deviationMargin is the number of mean deviations by which a call may exceed the mean, as
	// in retransmission timeouts of TCP.
	deviationMargin = 4
)

// Pace is the recent pace of the streams of a process. Its zero value knows none. It is
// safe for concurrent use.
type Pace struct {
	mu       sync.Mutex
	first    float64 // mean time from the arrival to the first event, in s
	perEvent float64 // mean time between two events, in s
	streams  int
}

// Record records a complete stream with its time to the first event, and the time from
// there to the last of its events.
func (p *Pace) Record(first, rest time.Duration, events int) {
	if events < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams++
	weight := max(paceWeight, 1/float64(p.streams))
	p.first += weight * (first.Seconds() - p.first)
	p.perEvent += weight * (rest.Seconds()/float64(events-1) - p.perEvent)
}

// Expected returns the time within which most new streams of this expected length end, zero
// if no stream was recorded.
func (p *Pace) Expected(events int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == 0 {
		return 0
	}
	return p.expected(events, lengthMargin)
}

func (p *Pace) expected(events int, margin float64) time.Duration {
	return time.Duration((p.first + margin*float64(events)*p.perEvent) * float64(time.Second))
}

// Takes reports whether a stopping process takes a stream of this expected length that
// arrives when its grace period has this time left. Without any recorded stream it takes
// those that may be repeated.
func (p *Pace) Takes(remaining time.Duration, events int, mayRepeat bool) bool {
	if mayRepeat {
		return p.Expected(events) <= remaining
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams > 0 && p.expected(events, finalLengthMargin) <= remaining
}

// CallTimes are the recent times of the calls of a process that are answered whole. Its zero
// value knows none. It is safe for concurrent use.
type CallTimes struct {
	mu              sync.Mutex
	mean, deviation float64 // of the time from the arrival to the answer, in s
	calls           int
}

// Record records the time of a call.
func (c *CallTimes) Record(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	weight := max(paceWeight, 1/float64(c.calls))
	difference := took.Seconds() - c.mean
	c.mean += weight * difference
	if c.calls > 1 {
		c.deviation += weight * (math.Abs(difference) - c.deviation)
	}
}

// Takes reports whether a stopping process takes a call that arrives when its grace period has
// this time left. Without any recorded call it takes none.
func (c *CallTimes) Takes(remaining time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls > 0 && c.mean+deviationMargin*c.deviation <= remaining.Seconds()
}
