// Package stopping decides which streams a process that stops still takes. It answers a
// planned stop while streams last about as long as the grace period: what would be cut at
// its end is refused at once, so that another process takes it from the start. It reads no
// clock: callers pass times.
package stopping

import (
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
	return time.Duration((p.first + lengthMargin*float64(events)*p.perEvent) * float64(time.Second))
}

// Takes reports whether a stopping process takes a stream of this expected length that
// arrives when its grace period has this time left.
func (p *Pace) Takes(remaining time.Duration, events int) bool {
	return p.Expected(events) <= remaining
}
