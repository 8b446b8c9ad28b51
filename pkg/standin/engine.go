package standin

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	Name             string
	Models           []upstreams.ModelShard
	ModelLayers      uint32 // layers of the whole model
	Slots            uint32
	KVTokens         uint64
	Accelerator      string
	ChecksFencing    bool
	Timing           Timing
	SkipLayerRecords bool // for benchmarks of other packages, which need no layer records
	Report           ReportOptions
}

// Engine is a stand-in for an engine that serves a model.
type Engine struct {
	opts     EngineOptions
	injector *faultInjector
	records  *recorder
	batcher  *batcher
	slots    *slots
	cache    *prefixCache
	sessions *sessionTable

	orderMu    sync.Mutex
	orderEpoch uint64

	ctx  context.Context
	stop context.CancelFunc
}

// NewEngine starts an engine. It is reachable once ServeEngine, or another server
// with Handler, serves it.
func NewEngine(opts EngineOptions) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		opts:     opts,
		injector: newFaultInjector(),
		records:  newRecorder(opts.SkipLayerRecords),
		slots:    newSlots(int(opts.Slots)),
		cache:    newPrefixCache(opts.KVTokens),
		sessions: newSessionTable(),
		ctx:      ctx,
		stop:     stop,
	}
	e.batcher = newBatcher(opts.Timing, e.injector, e.records)
	go e.batcher.loop(ctx)
	return e
}

// Close stops the engine.
func (e *Engine) Close() { e.stop() }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.injector.set(f) }

// Crash stops the engine and its server abruptly, as a crash of the process does.
func (e *Engine) Crash() { e.injector.crash() }

// Records returns what the engine has executed and its running and waiting
// sessions.
func (e *Engine) Records() Records {
	running, waiting := e.slots.usage()
	r := e.records.snapshot()
	r.Sessions, r.Waiting = running, waiting
	return r
}

// Handler returns a handler for the engine HTTP protocol, POST /fault and GET
// /records.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstreams.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+upstreams.PathStage, e.serveStage)
	mux.HandleFunc("DELETE "+upstreams.PathSessions+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+upstreams.PathSessions+"{id}/kv", e.serveExport)
	mux.HandleFunc("PUT "+upstreams.PathSessions+"{id}/kv", e.serveImport)
	mux.HandleFunc("POST "+upstreams.PathOrders, e.serveOrder)
	mux.HandleFunc("POST /fault", e.injector.serveFault)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Records()) })
	return e.blockWhileFrozen(mux)
}

// blockWhileFrozen delays requests while the engine is frozen, except those that
// tests use to inject faults and read records.
func (e *Engine) blockWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/fault" && r.URL.Path != "/records" {
			if e.injector.waitWhileFrozen(r.Context()) != nil {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// checkHeld returns an error unless the engine holds the layers and the adapter.
func (e *Engine) checkHeld(model, version, adapter string, first, last uint32) error {
	for _, m := range e.opts.Models {
		if m.Model != model || m.Version != version {
			continue
		}
		if m.FirstLayer != first || m.LastLayer != last {
			continue
		}
		if adapter == "" || contains(m.Adapters, adapter) {
			return nil
		}
	}
	return fault.New(fault.NotFound, "layers %d to %d of model %.64q %.64q with adapter %.64q are not held", first, last, model, version, adapter).WithField("model")
}

func contains(list []string, want string) bool {
	for _, s := range list {
		if s == want {
			return true
		}
	}
	return false
}

// openSession registers a session and waits for a slot. The caller calls release
// when the session ends.
func (e *Engine) openSession(ctx context.Context, s *session, rank string) (release func(), err error) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.cached = e.cache.lookup(s.prefixes)
	if len(s.cached) > 0 {
		e.records.add(func(r *Records) { r.CacheHits++ })
	}
	if err := e.sessions.open(s); err != nil {
		s.cancel()
		return nil, err
	}
	if err := e.slots.acquire(s.ctx, rank); err != nil {
		e.sessions.close(s)
		return nil, err
	}
	return func() {
		e.sessions.close(s)
		e.slots.release()
	}, nil
}

// step runs the layers of a session at consecutive positions, with the embedded
// tokens or the hidden states of the previous layer as input. It returns the hidden
// state of the last held layer at each position.
func (e *Engine) step(s *session, epoch uint64, position uint32, input []uint64) ([]uint64, error) {
	prefill := 0
	if len(input) > 1 {
		prefill = len(input)
	}
	out := make([]uint64, len(input))
	var stepErr error
	err := e.batcher.submit(s.ctx, prefill, func() {
		if s.ctx.Err() != nil {
			return
		}
		if stepErr = s.checkStep(epoch, position); stepErr != nil {
			return
		}
		for i, b := range input {
			out[i] = e.runPosition(s, b)
		}
	})
	if err != nil {
		return nil, err
	}
	return out, stepErr
}

// runPosition runs the layers at the next position of s, records them and caches
// the state if a prefix block is complete.
func (e *Engine) runPosition(s *session, input uint64) uint64 {
	hidden := runLayers(s.firstLayer, s.kv, input)
	e.records.recordLayers(s.id, s.epoch, s.nextPosition, s.firstLayer, s.firstLayer+uint32(len(s.kv))-1)
	s.nextPosition++
	if s.nextPosition%upstreams.PrefixBlockTokens == 0 {
		if block := int(s.nextPosition/upstreams.PrefixBlockTokens) - 1; block < len(s.prefixes) {
			e.cache.store(s.prefixes[block], s.kv)
		}
	}
	return hidden
}

func decodeHidden(hidden [][]byte) ([]uint64, error) {
	out := make([]uint64, len(hidden))
	for i, h := range hidden {
		if len(h) != hiddenBytes {
			return nil, fault.New(fault.Invalid, "activation of %d bytes in place of %d", len(h), hiddenBytes).WithField("hidden")
		}
		out[i] = binary.LittleEndian.Uint64(h)
	}
	return out, nil
}

func encodeHidden(hidden []uint64) [][]byte {
	out := make([][]byte, len(hidden))
	for i, h := range hidden {
		out[i] = binary.LittleEndian.AppendUint64(nil, h)
	}
	return out
}

// embed maps tokens to the input of the first layer.
func embed(tokens []uint32) []uint64 {
	out := make([]uint64, len(tokens))
	for i, token := range tokens {
		out[i] = uint64(token)
	}
	return out
}

const idleTimeout = 2 * time.Minute
