package gateway

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// view is what requests read. It is immutable.
type view struct {
	conf      *routing.Configuration
	byID      map[string]*wirepb.Instance
	byService map[string][]*wirepb.Instance // usable ones
	entries   int
	term      uint64
	received  time.Time
}

func newView(v *coordinators.View) *view {
	out := &view{
		conf: v.Configuration, byID: v.Instances, byService: make(map[string][]*wirepb.Instance),
		entries: max(1, v.Entries), term: v.Term, received: v.Received,
	}
	for _, in := range v.Instances {
		if registry.Usable(in) {
			out.byService[in.GetService()] = append(out.byService[in.GetService()], in)
		}
	}
	return out
}

// age returns the time since the leader last confirmed the view.
func (v *view) age() time.Duration {
	if v.received.IsZero() {
		return math.MaxInt64
	}
	return time.Since(v.received)
}

// loadBook knows what this gateway has sent lately and what failed lately,
// which the reports of the instances do not show yet.
type loadBook struct {
	mu      sync.Mutex
	tokens  map[string]int // engine -> tokens of requests not yet reported
	active  map[string]int // instance -> requests in progress from here
	trouble map[string]trouble
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
	troublePenalty = 20 * time.Second
	// leavingPenalty is the cost of an engine that leaves: streams are moved off
	// it again as soon as others hold its layers.
	leavingPenalty = 4 * time.Second
)

func (b *loadBook) init() {
	b.tokens = make(map[string]int)
	b.active = make(map[string]int)
	b.trouble = make(map[string]trouble)
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
func (b *loadBook) reserve(parts []path.Part, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		b.tokens[p.ID] += tokens
	}
	time.AfterFunc(reportLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, p := range parts {
			if b.tokens[p.ID] -= tokens; b.tokens[p.ID] <= 0 {
				delete(b.tokens, p.ID)
			}
		}
	})
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

const (
	// rankMargin of an engine's KV cache is kept free by each rank for the more
	// urgent ones, and headroom by all: running requests grow, and reports are
	// late.
	headroom   = 0.02
	rankMargin = 0.05
	// maxMargin keeps room for the least urgent rank.
	maxMargin = 0.25
	// stuckShare of the target for a first event is the wait after which a first
	// engine gets no new requests: they would only queue behind.
	stuckShare = 0.8
)

// enginesOf returns the engines of a service as a path of the request may use
// them. Work in progress slows an engine down by what the model says of its
// batch.
func (g *Gateway) enginesOf(v *view, q *request, exclude map[string]bool) []path.Engine {
	s := q.service
	m := s.Model
	margin := min(maxMargin, headroom+rankMargin*float64(q.rank))
	limit := time.Duration(stuckShare * float64(q.route.Target))
	var out []path.Engine
	for _, in := range v.byService[s.Name] {
		a := m.Accelerators[in.GetAccelerator()]
		layers := int(in.GetLayers().GetTo()) - int(in.GetLayers().GetFrom())
		if a == nil || layers <= 0 || exclude[in.GetId()] {
			continue
		}
		e := g.engine(m, a, in, layers)
		e.FreeTokens -= int(margin * float64(m.KVTokens(a, layers)))
		if e.From == 0 && g.load.stuck(e.ID, limit) {
			e.FreeSlots = 0
		}
		out = append(out, e)
	}
	return out
}

func (g *Gateway) engine(m *routing.Model, a *routing.Accelerator, in *wirepb.Instance, layers int) path.Engine {
	load := in.GetLoad()
	slowdown := max(1, load.GetSlowdown())
	pending := g.load.pendingTokens(in.GetId())
	used := float64(load.GetKvUsed()) / float64(layers)
	total := float64(load.GetKvTotal()) / float64(layers)
	if total == 0 {
		total = float64(m.KVTokens(a, layers))
	}
	usual := float64(max(1, m.UsualPrompt+m.UsualAnswer))
	batch := (used + float64(pending)) / usual
	step := float64(m.Step) + batch*(float64(m.PerSequence)+float64(m.PerContext)*usual/1000)
	e := path.Engine{
		ID: in.GetId(), Address: in.GetAddress(), DataCentre: in.GetDataCentre(),
		From: int(in.GetLayers().GetFrom()), To: int(in.GetLayers().GetTo()),
		Step:       time.Duration(step * a.StepFactor * slowdown / float64(m.Layers)),
		FreeTokens: int(total-used) - pending,
		FreeSlots:  m.Slots - int(load.GetActive()) - int(load.GetQueued()),
	}
	if m.ReadRate > 0 {
		e.Read = time.Duration(float64(time.Second) / m.ReadRate * a.ReadFactor * slowdown / float64(m.Layers))
	}
	switch {
	case g.load.inTrouble(in.GetId()):
		e.Penalty = troublePenalty
	case in.GetLeaving():
		e.Penalty = leavingPenalty
	}
	return e
}

func (b *loadBook) pendingTokens(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[id]
}

// spreadWidth is the range of the factors that make requests with equal reports
// choose differently.
const spreadWidth = 0.3

// spread returns the factors for a request.
func spread(requestID string) func(string) float64 {
	return func(id string) float64 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(requestID))
		_, _ = h.Write([]byte(id))
		return 1 + spreadWidth*(float64(h.Sum32())/math.MaxUint32-0.5)
	}
}
