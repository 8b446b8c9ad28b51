package standin

import (
	"sync"
)

// maxRecords bounds each table of the execution record.
const maxRecords = 1 << 20

// LayerExecution names the layers run at one position of a session's epoch.
type LayerExecution struct {
	Session    string `json:"session"`
	Epoch      uint64 `json:"epoch"`
	Position   uint32 `json:"position"`
	FirstLayer uint32 `json:"first_layer"`
	LastLayer  uint32 `json:"last_layer"`
	Runs       int    `json:"runs"`
}

// Execution counts the executions of one idempotency key.
type Execution struct {
	Key        string   `json:"key"`
	Count      int      `json:"count"`
	RequestIDs []string `json:"request_ids"`
}

// OrderRecord is one order that was carried out.
type OrderRecord struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// Records is the answer to GET /records.
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
	Dropped    int              `json:"dropped"` // records over the limit
}

type layerKey struct {
	session  string
	epoch    uint64
	position uint32
}

type layerRun struct {
	first, last uint32
	runs        int
}

// recorder counts what the stand-in executed.
type recorder struct {
	mu     sync.Mutex
	off    bool // benchmarks of other parts keep no records
	layers map[layerKey]*layerRun
	keys   map[string]*Execution
	totals Records
}

func newRecorder(off bool) *recorder {
	return &recorder{off: off, layers: make(map[layerKey]*layerRun), keys: make(map[string]*Execution)}
}

func (r *recorder) layersRan(session string, epoch uint64, position, first, last uint32) {
	if r.off {
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
		run = &layerRun{first: first, last: last}
		r.layers[key] = run
	}
	run.runs++
}

// executed counts a call and returns how often its key has run.
func (r *recorder) executed(key, requestID string) int {
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
