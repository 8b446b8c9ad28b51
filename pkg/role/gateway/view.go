package gateway

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// view is an immutable snapshot of the configuration and the instances.
type view struct {
	conf         *routing.Configuration
	byID         map[string]*wirepb.Instance
	byService    map[string][]*wirepb.Instance // usable instances only
	gatewayCount int
	quarantines  quarantine.List
	term         uint64
	receivedAt   time.Time
}

// newView returns a view of a fleet with this number of gateways.
func newView(v *coordinators.View, gatewayCount int) *view {
	out := &view{
		conf: v.Configuration, byID: v.Instances, byService: make(map[string][]*wirepb.Instance),
		gatewayCount: gatewayCount, quarantines: v.Prompts.Quarantines, term: v.Term, receivedAt: v.ReceivedAt,
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
	if v.receivedAt.IsZero() {
		return math.MaxInt64
	}
	return time.Since(v.receivedAt)
}

const (
	// baseMargin is the share of the KV cache of an engine that all requests leave free,
	// because running requests grow and reports lag. Each rank leaves a further
	// rankMargin free for the more urgent ranks.
	baseMargin = 0.05
	rankMargin = 0.05
	// maxMargin bounds the margin, so that the least urgent rank can use most of the
	// cache.
	maxMargin = 0.25
	// overdueShare is the share of the route's target for the first event. If a request
	// has waited for its first event for longer, its first engine gets no new requests:
	// they would only queue.
	overdueShare = 0.8
)

// candidateEngines returns the engines of a service with the capacity that a path of
// the request may use, without those in avoid and those for which excluded returns true. Work in progress slows an engine down by the batch costs of the
// model.
func (g *Gateway) candidateEngines(v *view, q *request, avoid map[string]bool, excluded func(*wirepb.Instance) bool) []path.Engine {
	s := q.service
	m := s.Model
	margin := min(maxMargin, baseMargin+rankMargin*float64(q.rank))
	limit := time.Duration(overdueShare * float64(q.route.TargetLatency))
	var out []path.Engine
	for _, in := range v.byService[s.Name] {
		accelerator := m.Accelerators[in.GetAccelerator()]
		layers := int(in.GetLayers().GetTo()) - int(in.GetLayers().GetFrom())
		if accelerator == nil || layers <= 0 || avoid[in.GetId()] || excluded(in) {
			continue
		}
		e := g.estimateEngine(v, m, accelerator, in, layers)
		e.FreeKVTokens -= int(margin * float64(m.KVCapacity(accelerator, layers)))
		if e.From == 0 && (g.load.firstEventOverdue(e.ID, limit) || g.requestLimits.wait(time.Now(), in) > 0) {
			e.FreeSlots = 0
		}
		out = append(out, e)
	}
	return out
}

// estimateEngine estimates the load of an engine from its last report and the requests
// sent since. A gateway knows only its own requests. The utilisations and the step time
// assume that every other gateway sends as many, so that gateways with equal reports do
// not all choose the same path until the next ones; the free capacity subtracts only
// the gateway's own requests.
func (g *Gateway) estimateEngine(v *view, m *routing.Model, accelerator *routing.Accelerator, in *wirepb.Instance, layers int) path.Engine {
	load := in.GetLoad()
	slowdown := max(1, load.GetSlowdown())
	unreportedTokens, unreportedStarts := g.load.unreported(in.GetId())
	gatewayCount := float64(v.gatewayCount)
	usedKVTokens := float64(load.GetKvUsed()) / float64(layers)
	totalKVTokens := float64(load.GetKvTotal()) / float64(layers)
	if totalKVTokens == 0 {
		totalKVTokens = float64(m.KVCapacity(accelerator, layers))
	}
	typicalTokens := float64(max(1, m.TypicalPromptTokens+m.TypicalOutputTokens))
	expectedKVTokens := usedKVTokens + gatewayCount*float64(unreportedTokens)
	batch := expectedKVTokens / typicalTokens
	decodeStepTime := float64(m.DecodeStepTime) + batch*(float64(m.DecodeStepPerSequence)+float64(m.DecodeStepPer1KTokens)*typicalTokens/1000)
	e := path.Engine{
		ID: in.GetId(), Address: in.GetAddress(), DataCentre: in.GetDataCentre(),
		StartUnixMs: in.GetBornUnixMs(),
		From:        int(in.GetLayers().GetFrom()), To: int(in.GetLayers().GetTo()),
		DecodePerLayer:  time.Duration(decodeStepTime * accelerator.DecodeFactor * slowdown / float64(m.Layers)),
		PrefillPerLayer: time.Duration(float64(m.PrefillTime(accelerator, 1)) * slowdown),
		FreeKVTokens:    int(totalKVTokens-usedKVTokens) - unreportedTokens,
		FreeSlots:       m.Slots - int(load.GetActive()) - int(load.GetQueued()) - unreportedStarts,
		KVUtilisation:   expectedKVTokens / max(1, totalKVTokens),
		SlotUtilisation: (float64(load.GetActive()+load.GetQueued()) + gatewayCount*float64(unreportedStarts)) / float64(max(1, m.Slots)),
	}
	if g.load.isFull(e.ID) {
		e.FreeKVTokens = 0
	}
	switch {
	case g.load.inBackoff(in.GetId()):
		e.Penalty = backoffPenalty
	case in.GetLeaving():
		e.Penalty = leavingPenalty
	}
	return e
}

// spreadRange is the range of the cost factors that make requests with equal reports
// choose different paths.
const spreadRange = 0.3

// spreadFactors returns the cost factor of each engine for a request.
func spreadFactors(requestID string) func(string) float64 {
	return func(id string) float64 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(requestID))
		_, _ = h.Write([]byte(id))
		return 1 + spreadRange*(float64(h.Sum32())/math.MaxUint32-0.5)
	}
}

// localityDraw returns a number in [0, 1) that is fixed for a request.
func localityDraw(requestID string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return float64(h.Sum64()>>11) / (1 << 53)
}
