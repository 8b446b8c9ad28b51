package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
)

// loadTracker records the recent requests and failures of this gateway, which the
// reports of the instances do not show yet.
type loadTracker struct {
	mu               sync.Mutex
	unreportedTokens map[string]int // engine ID -> tokens of requests not yet reported
	unreportedStarts map[string]int // first engine ID -> requests that start at it, not yet reported
	active           map[string]int // instance ID -> requests in progress from this gateway
	backoff          map[string]backoff
	full             map[string]time.Time             // engine ID -> time until which it counts as full
	waiting          map[string]map[*stream]time.Time // first engine ID -> start of each request without an event
}

type backoff struct {
	until        time.Time
	failureCount int
}

const (
	// reportLag is the time until a request appears in the reports: the age of a
	// report, the poll interval and the delivery to the gateway.
	reportLag = 600 * time.Millisecond
	// minBackoff is the time for which an instance is avoided after it failed a
	// request. It doubles with each consecutive failure, up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// backoffPenalty is the cost of an engine in backoff, which makes it the last
	// choice.
	backoffPenalty = 8 * time.Second
	// leavingPenalty is the cost of a leaving engine: its streams would have to move
	// again as soon as other engines hold its layers.
	leavingPenalty = 4 * time.Second
)

func (b *loadTracker) init() {
	b.unreportedTokens = make(map[string]int)
	b.unreportedStarts = make(map[string]int)
	b.active = make(map[string]int)
	b.backoff = make(map[string]backoff)
	b.full = make(map[string]time.Time)
	b.waiting = make(map[string]map[*stream]time.Time)
}

// addWaiting records a request that waits for its first event at a first engine.
func (b *loadTracker) addWaiting(id string, s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting[id] == nil {
		b.waiting[id] = make(map[*stream]time.Time)
	}
	b.waiting[id][s] = time.Now()
}

// removeWaiting ends the wait of a request for its first event.
func (b *loadTracker) removeWaiting(id string, s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting[id], s)
	if len(b.waiting[id]) == 0 {
		delete(b.waiting, id)
	}
}

// firstEventOverdue reports whether a request at a first engine has waited for its
// first event for longer than limit.
func (b *loadTracker) firstEventOverdue(id string, limit time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, since := range b.waiting[id] {
		if time.Since(since) > limit {
			return true
		}
	}
	return false
}

// reserve adds a request to the load of each engine of its path until the reports show
// it.
func (b *loadTracker) reserve(stages []path.PipelineStage, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUnreported(stages, tokens, 1)
	time.AfterFunc(reportLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.addUnreported(stages, -tokens, -1)
	})
}

func (b *loadTracker) addUnreported(stages []path.PipelineStage, tokens, requests int) {
	for _, p := range stages {
		addCount(b.unreportedTokens, p.ID, tokens)
	}
	addCount(b.unreportedStarts, stages[0].ID, requests)
}

// addCount changes a counter and removes it at zero.
func addCount(counters map[string]int, id string, n int) {
	if counters[id] += n; counters[id] <= 0 {
		delete(counters, id)
	}
}

// begin counts a request in progress at an instance until end is called.
func (b *loadTracker) begin(id string) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active[id]++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.active[id]--; b.active[id] <= 0 {
			delete(b.active, id)
		}
	}
}

func (b *loadTracker) inProgress(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active[id]
}

// onFailure puts an instance that failed a request into backoff.
func (b *loadTracker) onFailure(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.backoff[id]
	d := min(minBackoff<<min(t.failureCount, 4), maxBackoff)
	b.backoff[id] = backoff{until: time.Now().Add(d), failureCount: t.failureCount + 1}
}

// onRefusal marks an engine as full because it refused a request, which has not run.
// The mark lasts only for refusalAvoidTime: requests end all the time, so the engine
// soon has capacity again.
func (b *loadTracker) onRefusal(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full[id] = time.Now().Add(refusalAvoidTime)
}

func (b *loadTracker) isFull(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := time.Now().Before(b.full[id])
	if !full {
		delete(b.full, id)
	}
	return full
}

// onSuccess ends the backoff of an instance and clears its failures.
func (b *loadTracker) onSuccess(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.backoff, id)
}

func (b *loadTracker) inBackoff(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.backoff[id].until)
}

// unreported returns the tokens of requests on an engine and the number of requests
// that start at it, as far as the reports do not show them yet.
func (b *loadTracker) unreported(id string) (tokens, starts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreportedTokens[id], b.unreportedStarts[id]
}
