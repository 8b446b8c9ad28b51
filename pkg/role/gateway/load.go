package gateway

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
)

// loadBook knows what this gateway has sent lately and what failed lately,
// which the reports of the instances do not show yet.
type loadBook struct {
	mu      sync.Mutex
	tokens  map[string]int // engine -> tokens of requests not yet reported
	heads   map[string]int // first engine -> requests not yet reported
	active  map[string]int // instance -> requests in progress from here
	trouble map[string]trouble
	full    map[string]time.Time             // engine -> until when it is taken to be full
	waiting map[string]map[*stream]time.Time // first engine -> requests without an event
}

type trouble struct {
	until time.Time
	times int
}

const (
	// reportLag is the time until a request shows in the reports: the age of a
	// report, the interval of the polls and the way to the entry.
	reportLag = 600 * time.Millisecond
	// troubleTime is the time for which an instance that failed a request is
	// avoided. It doubles with each failure in a row up to troubleLimit.
	troubleTime  = 400 * time.Millisecond
	troubleLimit = 3 * time.Second
	// troublePenalty is the cost of an engine in trouble: it is used where
	// nothing else is left.
	troublePenalty = 8 * time.Second
	// leavingPenalty is the cost of an engine that leaves: streams are moved off
	// it again as soon as others hold its layers.
	leavingPenalty = 4 * time.Second
)

func (b *loadBook) init() {
	b.tokens = make(map[string]int)
	b.heads = make(map[string]int)
	b.active = make(map[string]int)
	b.trouble = make(map[string]trouble)
	b.full = make(map[string]time.Time)
	b.waiting = make(map[string]map[*stream]time.Time)
}

// await counts a request that waits for its first event at a first engine.
func (b *loadBook) await(id string, s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting[id] == nil {
		b.waiting[id] = make(map[*stream]time.Time)
	}
	b.waiting[id][s] = time.Now()
}

// awaited ends the wait of a request.
func (b *loadBook) awaited(id string, s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting[id], s)
	if len(b.waiting[id]) == 0 {
		delete(b.waiting, id)
	}
}

// stuck reports whether a request has waited for its first event for longer
// than limit at a first engine.
func (b *loadBook) stuck(id string, limit time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, since := range b.waiting[id] {
		if time.Since(since) > limit {
			return true
		}
	}
	return false
}

// reserve counts a request on each engine of its path until reports show it.
func (b *loadBook) reserve(parts []path.PipelineStage, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(parts, tokens, 1)
	time.AfterFunc(reportLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.count(parts, -tokens, -1)
	})
}

func (b *loadBook) count(parts []path.PipelineStage, tokens, requests int) {
	for _, p := range parts {
		add(b.tokens, p.ID, tokens)
	}
	add(b.heads, parts[0].ID, requests)
}

// add changes a counter and forgets it at zero.
func add(counters map[string]int, id string, n int) {
	if counters[id] += n; counters[id] <= 0 {
		delete(counters, id)
	}
}

// begin counts a request in progress at an instance.
func (b *loadBook) begin(id string) (end func()) {
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

func (b *loadBook) inProgress(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active[id]
}

// failed notes that an instance failed a request.
func (b *loadBook) failed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.trouble[id]
	d := min(troubleTime<<min(t.times, 4), troubleLimit)
	b.trouble[id] = trouble{until: time.Now().Add(d), times: t.times + 1}
}

// refused notes that an engine refused a request that has not run. It is full for
// as long as its last report is believed, and no longer: requests end all the time.
func (b *loadBook) refused(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full[id] = time.Now().Add(avoidTime)
}

func (b *loadBook) isFull(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := time.Now().Before(b.full[id])
	if !full {
		delete(b.full, id)
	}
	return full
}

// succeeded forgets the failures of an instance.
func (b *loadBook) succeeded(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.trouble, id)
}

func (b *loadBook) inTrouble(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.trouble[id].until)
}

// pending returns the tokens of requests on an engine, and the requests that begin
// at it, that reports do not show yet.
func (b *loadBook) pending(id string) (tokens, heads int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[id], b.heads[id]
}
