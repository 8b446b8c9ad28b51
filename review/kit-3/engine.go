package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelLayers  = 8
	engineSlots  = 192
	streamEvents = 10
	eventGap     = 200 * time.Millisecond
	// readTime is the time to the first event, in which an engine reads the prompt.
	readTime = 600 * time.Millisecond
	loadTime = 300 * time.Millisecond
)

// engineConfiguration returns a configuration with a model service, whose streams may be resumed.
func engineConfiguration(version int) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-chat", "host": routeHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 1000,
			"priority": 0, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 250}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": engineSlots, "kvCapacityTokens": 100000, "kvTokenBytes": 59000, "linkMbps": 400000.0, "stride": 4,
			"models":  []any{map[string]any{"name": "m", "pace": 1.0, "loadS": 1.0, "warmupS": 0.1}},
			"step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0,
			"loadsPerS": 0.0, "loads_at_once": 6, "delays": []any{}, "usual": map[string]any{"prompt": 774, "answer": 4 * streamEvents},
			"layers": modelLayers, "layerMb": 1750.0, "activationBytes": 29500, "pipeMbps": 19000.0,
			"kinds": []any{map[string]any{"name": "a100", "sizeMb": 72000.0, "pace": 2.4, "readFactor": 3.2}},
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{apiKey}}},
	})
	return data
}

// engine is a sound model server that holds all layers of the model.
type engine struct {
	id, zone string
	nodes    []*node
	rec      *record
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	done     chan struct{}
	born     int64
	mu       sync.Mutex
	from, to int
	orders   int
	loaded   time.Time
	active   int
	reading  int // requests without an event
}

// startEngine starts an engine on a free port of an IP address, or on the port that it had.
func startEngine(id, zone, address string, nodes []*node, rec *record) (*engine, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{id: id, zone: zone, nodes: nodes, rec: rec, listener: ln, cancel: cancel, done: make(chan struct{}), born: time.Now().UnixMilli()}
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = e.http.Serve(ln) }()
	go e.announce(ctx)
	return e, nil
}

func (e *engine) stop() {
	e.cancel()
	_ = e.http.Close()
	<-e.done
}

// state returns what the engine says of itself, with the lock held.
func (e *engine) state() map[string]any {
	out := map[string]any{"born": e.born, "kind": "a100", "stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}}
	if e.to > e.from && time.Now().After(e.loaded) {
		out["layers"] = map[string]any{"from": e.from, "target": e.to, "version": 1}
	} else {
		out["layers"] = nil
	}
	return out
}

func (e *engine) announce(ctx context.Context) {
	defer close(e.done)
	next := 0
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		m := e.state()
		e.mu.Unlock()
		for name, value := range map[string]any{"service": "llm", "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1",
			"slots": engineSlots, "state": "ready", "coldRemainingMs": 0, "sequence": sequence} {
			m[name] = value
		}
		body, _ := json.Marshal(m)
		for range e.nodes {
			n := e.nodes[next%len(e.nodes)]
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.cluster.address(n, "control")+"/instances/"+e.id, bytes.NewReader(body))
			if err != nil {
				return
			}
			if resp, err := operatorClient.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			next++
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, body)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.state()
	for name, value := range map[string]any{"busy": time.Now().Before(e.loaded), "sequence": e.orders, "queued": 0, "active": e.active,
		"kvUsed": e.active * 1000 * modelLayers, "kvTotal": 100000 * modelLayers, "handles": 0, "pace": 1.0, "stalled": []any{}} {
		m[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m)
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation    string
		From, Target int
		Expect       *int
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "place" && o.Operation != "repath" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Operation == "repath":
		w.WriteHeader(http.StatusNotFound)
	case o.Expect != nil && *o.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
	case e.from == o.From && e.to == o.Target:
		w.WriteHeader(http.StatusOK)
	default:
		e.from, e.to, e.loaded = o.From, o.Target, time.Now().Add(loadTime)
		e.orders++
		e.rec.add("engine %s loads the layers %d to %d", e.id, o.From, o.Target)
		w.WriteHeader(http.StatusAccepted)
	}
}

// stream serves a request: the head at once, then an event each eventGap.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	holds := e.from == 0 && e.to == modelLayers && time.Now().After(e.loaded)
	if holds {
		e.active++
	}
	e.mu.Unlock()
	if !holds {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.rec.add("engine %s runs %s (Last-Event-Id %q)", e.id, id, r.Header.Get("Last-Event-Id"))
	outcome := "complete"
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
		e.rec.add("engine %s: %s is %s", e.id, id, outcome)
	}()
	w.Header().Set("Server-Signature", "by."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	count := streamEvents
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		count = n
	}
	wait := readTime
	e.addReading(1)
	isReading := true
	defer func() {
		if isReading {
			e.addReading(-1)
		}
	}()
	for i := first; i <= count; i++ {
		select {
		case <-r.Context().Done():
			outcome = fmt.Sprintf("cut by its caller before event %d", i)
			return
		case <-time.After(wait):
		}
		wait = eventGap
		if isReading {
			isReading = false
			e.addReading(-1)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
			outcome = fmt.Sprintf("cut by its caller before event %d", i)
			return
		}
		_ = controller.Flush()
	}
}

func (e *engine) addReading(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reading += n
}

// isReading reports whether the engine reads the prompt of a request.
func (e *engine) isReading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reading > 0
}

// isReady reports whether the engine holds all layers.
func (e *engine) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.to == modelLayers && time.Now().After(e.loaded)
}

// startEngines starts two engines in each zone and waits until they have layers.
func startEngines(c *cluster, core []*node) ([]*engine, error) {
	var engines []*engine
	for i := range 6 {
		e, err := startEngine(fmt.Sprintf("i-%d", i+1), zones[i%3], fmt.Sprintf("%s.%d:0", c.subnet, 100+i), core, c.rec)
		if err != nil {
			return engines, err
		}
		engines = append(engines, e)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range engines {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(engines) {
			return engines, nil
		}
		if time.Now().After(end) {
			return engines, fmt.Errorf("only %d engines have layers", ready)
		}
	}
}
