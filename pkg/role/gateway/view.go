package gateway

import (
	"hash/fnv"
	"math"
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
		entries: max(1, v.EntryCount), term: v.Term, received: v.ReceivedAt,
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

const (
	// rankMargin of an engine's KV cache is kept free by each rank for the more
	// urgent ones, and headroom by all: running requests grow, and reports are
	// late.
	headroom   = 0.05
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
	limit := time.Duration(stuckShare * float64(q.route.TargetLatency))
	var out []path.Engine
	for _, in := range v.byService[s.Name] {
		a := m.Accelerators[in.GetAccelerator()]
		layers := int(in.GetLayers().GetTo()) - int(in.GetLayers().GetFrom())
		if a == nil || layers <= 0 || exclude[in.GetId()] {
			continue
		}
		e := g.engine(v, m, a, in, layers)
		e.FreeKVTokens -= int(margin * float64(m.KVCapacity(a, layers)))
		if e.From == 0 && g.load.stuck(e.ID, limit) {
			e.FreeSlots = 0
		}
		out = append(out, e)
	}
	return out
}

// engine describes an engine by its last report and by what was sent since. Every
// entry knows of its own requests only, and takes its share of all as given: so
// that entries with the same reports do not all choose the same path until the
// next ones.
func (g *Gateway) engine(v *view, m *routing.Model, a *routing.Accelerator, in *wirepb.Instance, layers int) path.Engine {
	load := in.GetLoad()
	slowdown := max(1, load.GetSlowdown())
	pending, heads := g.load.pending(in.GetId())
	entries := float64(v.entries)
	used := float64(load.GetKvUsed()) / float64(layers)
	total := float64(load.GetKvTotal()) / float64(layers)
	if total == 0 {
		total = float64(m.KVCapacity(a, layers))
	}
	usual := float64(max(1, m.TypicalPromptTokens+m.TypicalOutputTokens))
	likely := used + entries*float64(pending)
	batch := likely / usual
	step := float64(m.DecodeStepTime) + batch*(float64(m.DecodeStepPerSequence)+float64(m.DecodeStepPer1KTokens)*usual/1000)
	e := path.Engine{
		ID: in.GetId(), Address: in.GetAddress(), DataCentre: in.GetDataCentre(),
		StartUnixMs: in.GetBornUnixMs(),
		From:        int(in.GetLayers().GetFrom()), To: int(in.GetLayers().GetTo()),
		DecodePerLayer:  time.Duration(step * a.DecodeFactor * slowdown / float64(m.Layers)),
		PrefillPerLayer: time.Duration(float64(m.PrefillTime(a, 1)) * slowdown),
		FreeKVTokens:    int(total-used) - pending,
		FreeSlots:       m.Slots - int(load.GetActive()) - int(load.GetQueued()) - heads,
		KVUtilisation:   likely / max(1, total),
		SlotUtilisation: (float64(load.GetActive()+load.GetQueued()) + entries*float64(heads)) / float64(max(1, m.Slots)),
	}
	if g.load.isFull(e.ID) {
		e.FreeKVTokens = 0
	}
	switch {
	case g.load.inTrouble(in.GetId()):
		e.Penalty = troublePenalty
	case in.GetLeaving():
		e.Penalty = leavingPenalty
	}
	return e
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
