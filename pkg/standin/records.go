package standin

import (
	"sync"
)

// maxRecords limits the number of layer records and of idempotency keys.
const maxRecords = 1 << 20

// LayerExecution counts how often an engine ran its layers at one position of a
// session's epoch.
type LayerExecution struct {
	Session    string `json:"session"`
	Epoch      uint64 `json:"epoch"`
	Position   uint32 `json:"position"`
	FirstLayer uint32 `json:"first_layer"`
	LastLayer  uint32 `json:"last_layer"` // inclusive
	Runs       int    `json:"runs"`
}

// Execution counts the executions of calls with one idempotency key.
type Execution struct {
	Key        string   `json:"key"`
	Count      int      `json:"count"`
	RequestIDs []string `json:"request_ids"`
}

// OrderRecord is an order that was carried out.
type OrderRecord struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// Records is the response to GET /records.
type Records struct {
	Layers     []LayerExecution `json:"layers,omitempty"`
	Executions []Execution      `json:"executions,omitempty"`
	Orders     []OrderRecord    `json:"orders,omitempty"`
	Calls      int              `json:"calls"`
	Steps      int              `json:"steps"`
	Sessions   int              `json:"sessions"` // sessions that hold a slot
	Waiting    int              `json:"waiting"`
	Cancelled  int              `json:"cancelled"`
	CacheHits  int              `json:"cache_hits"`
	Dropped    int              `json:"dropped"` // records not kept because of the limit
}

type layerKey struct {
	session  string
	epoch    uint64
	position uint32
}

type layerExecution struct {
	first, last uint32
	runs        int
}

// recorder records what the stand-in executes.
type recorder struct {
	mu               sync.Mutex
	skipLayerRecords bool // for benchmarks of other packages, which need no layer records
	layers           map[layerKey]*layerExecution
	keys             map[string]*Execution
	totals           Records
}

func newRecorder(skipLayerRecords bool) *recorder {
	return &recorder{skipLayerRecords: skipLayerRecords, layers: make(map[layerKey]*layerExecution), keys: make(map[string]*Execution)}
}

func (r *recorder) recordLayers(session string, epoch uint64, position, first, last uint32) {
	if r.skipLayerRecords {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := layerKey{session: session, epoch: epoch, position: position}
	run, ok := r.layers[key]
	if !ok && len(r.layers) >= maxRecords {
		r.totals.Dropped++
		return
	}
	if !ok {
		run = &layerExecution{first: first, last: last}
		r.layers[key] = run
	}
	run.runs++
}

// recordCall counts a call and returns the number of executions of its key, or 0
// if it has no key or is not recorded.
func (r *recorder) recordCall(key, requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Calls++
	if key == "" {
		return 0
	}
	e, ok := r.keys[key]
	if !ok && len(r.keys) >= maxRecords {
		r.totals.Dropped++
		return 0
	}
	if !ok {
		e = &Execution{Key: key}
		r.keys[key] = e
	}
	e.Count++
	e.RequestIDs = append(e.RequestIDs, requestID)
	return e.Count
}

func (r *recorder) add(update func(*Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.totals)
}

func (r *recorder) snapshot() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.Orders = append([]OrderRecord(nil), r.totals.Orders...)
	for key, run := range r.layers {
		out.Layers = append(out.Layers, LayerExecution{
			Session: key.session, Epoch: key.epoch, Position: key.position,
			FirstLayer: run.first, LastLayer: run.last, Runs: run.runs,
		})
	}
	for _, e := range r.keys {
		out.Executions = append(out.Executions, *e)
	}
	return out
}
