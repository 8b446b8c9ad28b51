package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service: it announces itself, answers its health
// check, and passes requests to its handler.
type server struct {
	play    *play
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64
	nodes   []machine // that serve control
	// weights returns what announcements say of loaded weights, nil for a plain service.
	weights  func() map[string]any
	sequence int
	listener net.Listener
	ended    chan struct{}
	endOnce  sync.Once
}

func (p *play) newServer(n int, service, zone string, slots int, nodes []machine) *server {
	return &server{
		play: p, id: fmt.Sprintf("i-%s%04d", service, n), service: service, zone: zone, slots: slots, nodes: nodes,
		address: fmt.Sprintf("%s.%d:%d", p.net, n, p.port+portServer), born: time.Now().UnixMilli(), ended: make(chan struct{}),
	}
}

// serve listens and announces the server until close.
func (s *server) serve(handler http.Handler) {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		cannotRun("server does not listen: %v", err)
	}
	s.listener = ln
	go func() { _ = http.Serve(ln, handler) }()
	go s.announceLoop()
}

func (s *server) close() {
	s.endOnce.Do(func() {
		close(s.ended)
		_ = s.listener.Close()
	})
}

func (s *server) announceLoop() {
	for {
		s.announce()
		select {
		case <-s.ended:
			return
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

// announce sends a heartbeat to one node after the other until one acknowledges it.
func (s *server) announce() {
	s.sequence++
	body := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.weights != nil {
		for name, value := range s.weights() {
			body[name] = value
		}
	}
	document, _ := json.Marshal(body)
	for i := range s.nodes {
		m := s.nodes[(s.sequence+i)%len(s.nodes)]
		if status, _, _ := control(http.MethodPut, s.play.address(m, portControl), "/instances/"+s.id, document); status/100 == 2 {
			return
		}
	}
}

// misdirected answers a request that names another server, and reports whether it did.
func (s *server) misdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Expect-Instance")
	if expected == "" || expected == s.id {
		return false
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// engine is a stand-in for a model server that can hold all layers.
type engine struct {
	*server
	// firstEventAfter, eventGap and events tell how a stream is written.
	firstEventAfter, eventGap time.Duration
	events                    int

	mu       sync.Mutex
	from, to int
	orders   int
	active   int
}

const (
	modelLayers = 80
	engineKind  = "big"
	// engineKV is the memory for requests beside all layers, in tokens x layers.
	engineKV = 35_000_000
)

func (p *play) startEngine(n int, service, zone string, nodes []machine) *engine {
	e := &engine{server: p.newServer(n, service, zone, 192, nodes)}
	e.weights = e.announced
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.stream)
	e.serve(mux)
	return e
}

func (e *engine) announced() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]any{"stage": "mixed", "kind": engineKind, "models": []any{}}
	if e.to > e.from {
		out["layers"] = map[string]any{"from": e.from, "target": e.to, "version": 1}
		out["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return out
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	out := e.announced()
	e.mu.Lock()
	out["busy"], out["sequence"], out["queued"], out["active"] = false, e.orders, 0, e.active
	out["kvUsed"], out["kvTotal"], out["handles"], out["pace"], out["born"] = e.active*800*modelLayers, engineKV, 0, 1.0, e.born
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation    string
		From, Target int
		Expect       *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Expect != nil && *order.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case order.From == e.from && order.Target == e.to:
		return
	}
	e.orders++
	e.from, e.to = order.From, order.Target // loads before the first request take no time here
	e.play.note("%s is ordered to hold layers %d to %d", e.id, e.from, e.to)
	w.WriteHeader(http.StatusAccepted)
}

// stream answers a request with a stream of events. The head is sent at once.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	e.mu.Lock()
	holds := e.from == 0 && e.to == modelLayers
	e.mu.Unlock()
	if path := r.Header.Get("Hop-Count"); !holds || !strings.HasPrefix(path, e.address+"=0-") || strings.Contains(path, ",") {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("At-Server", e.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.addActive(1)
	defer e.addActive(-1)
	w.Header().Set("Server-Signature", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	wait := e.firstEventAfter
	for n := 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			e.play.note("%s: the connection of %s was closed before event %d", e.id, id, n)
			return
		case <-time.After(wait):
		}
		wait = e.eventGap
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		flusher.Flush()
	}
}

func (e *engine) addActive(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += n
}

// modelConfig returns a configuration with one streaming route to a service with a model.
func modelConfig(version int, service string, resumable bool, maxAttempts int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":2000,"priority":0,"service":%q,"maxAttempts":%d,"public":true,"sticky":true,"resumable":%t,"targetGapMs":500}],"services":[{"name":%q,"healthPath":"/healthz","maxConnections":1996,"protocol":"h1","tls":false,"engine":{"slots":192,"kvCapacityTokens":100000,"kvTokenBytes":590000,"linkMbps":400000.0,"stride":4,"models":[{"name":"m","pace":1.0,"loadS":14.0,"warmupS":1.0}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":6,"delays":[{"from":"kl-a","target":"kl-b","delay_ms":0.75},{"from":"kl-a","target":"kl-c","delay_ms":0.75},{"from":"kl-b","target":"kl-c","delay_ms":0.75}],"usual":{"prompt":774,"answer":210},"layers":%d,"layerMb":1750.0,"activationBytes":29500,"pipeMbps":19000.0,"kinds":[{"name":%q,"sizeMb":400000.0,"pace":1.0,"readFactor":1.0}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`,
		version, service, maxAttempts, resumable, service, modelLayers, engineKind)
}
