package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelLayers  = 8
	layerMB      = 1000.0
	acceleratorM = 200000.0 // memory of the only kind of accelerator, in MB
	kvTotal      = 2_000_000
)

// engine is a model server of the platform. Its accelerator holds the whole model.
type engine struct {
	id, service, zone, address string
	control                    func() []string
	record                     *record
	firstEvent                 time.Duration // from the head of an answer to its first event
	eventGap                   time.Duration
	events                     int

	born   int64
	http   *http.Server
	client *http.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	cut      chan struct{} // while set, nothing passes between the engine and control
	sequence int
	orders   int
	from, to int
	active   int
	started  map[string]time.Time
	finished map[string]bool
	broken   map[string]bool
}

func newEngine(r *record, id, service, zone string, control func() []string) *engine {
	return &engine{id: id, service: service, zone: zone, control: control, record: r, firstEvent: 2500 * time.Millisecond, eventGap: 100 * time.Millisecond, events: 10,
		started: make(map[string]time.Time), finished: make(map[string]bool), broken: make(map[string]bool)}
}

func (e *engine) start(ip string) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	e.address, e.born = ln.Addr().String(), time.Now().UnixMilli()
	e.client = &http.Client{Transport: &http.Transport{}}
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.http.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.done.Go(func() {
		for ctx.Err() == nil {
			if e.cutOff() == nil {
				e.beatOnce(ctx)
			}
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
		}
	})
	return nil
}

func (e *engine) stop() {
	e.cancel()
	e.heal()
	_ = e.http.Close()
	e.done.Wait()
}

// cutOff returns a channel that is closed when the cut from control heals, nil if there is
// no cut.
func (e *engine) cutOff() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// cutFromControl drops all that passes between the engine and the machines that serve control:
// its heartbeats and their calls. Requests pass.
func (e *engine) cutFromControl() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = make(chan struct{})
}

func (e *engine) heal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut != nil {
		close(e.cut)
		e.cut = nil
	}
}

// state returns the fields that heartbeats and reports share. The caller holds mu.
func (e *engine) state() map[string]any {
	out := map[string]any{"stage": "mixed", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}, "kind": "a100", "born": e.born}
	if e.to > e.from {
		out["layers"] = map[string]any{"from": e.from, "target": e.to, "version": 1}
	}
	return out
}

func (e *engine) beatOnce(ctx context.Context) {
	e.mu.Lock()
	e.sequence++
	beat := e.state()
	for name, value := range map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 192, "state": "ready", "coldRemainingMs": 0, "sequence": e.sequence} {
		beat[name] = value
	}
	e.mu.Unlock()
	body, _ := json.Marshal(beat)
	control := e.control()
	for _, i := range rand.Perm(len(control)) {
		call, cancel := context.WithTimeout(ctx, time.Second)
		req, _ := http.NewRequestWithContext(call, http.MethodPut, "http://"+control[i]+"/instances/"+e.id, strings.NewReader(string(body)))
		resp, err := e.client.Do(req)
		ok := err == nil && resp.StatusCode/100 == 2
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		if ok || ctx.Err() != nil {
			return
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/report", "/order":
		if cut := e.cutOff(); cut != nil {
			select { // nothing arrives
			case <-cut:
			case <-r.Context().Done():
				return
			}
		}
		if r.URL.Path == "/report" {
			e.report(w)
		} else {
			e.order(w, body)
		}
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.state()
	for name, value := range map[string]any{"busy": false, "sequence": e.orders, "queued": 0, "active": e.active, "kvUsed": e.active * 1000, "kvTotal": kvTotal, "pace": 1.0, "handles": 0} {
		out[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var in struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
		Expect    *int   `json:"expect"`
	}
	if json.Unmarshal(body, &in) != nil || in.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Expect != nil && *in.Expect != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.from, e.to = in.From, in.Target
	e.record.line("engine %s: holds layers %d to %d", e.id, e.from, e.to)
	w.WriteHeader(http.StatusAccepted)
}

// stream answers with the head at once and with the first event once it has read the prompt.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := r.Header.Get("Hop-Count")
	e.mu.Lock()
	holds := path == "" || path == fmt.Sprintf("%s=%d-%d", e.address, e.from, e.to)
	if holds {
		e.active++
		e.started[id] = time.Now()
	}
	e.mu.Unlock()
	if !holds || id == "" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	e.record.line("engine %s: takes %s, path %s", e.id, id, path)
	h.Set("Server-Signature", "by "+e.id+" for "+id)
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	wait := e.firstEvent
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			e.record.line("engine %s: the connection of %s was closed before event %d", e.id, id, n)
			e.mu.Lock()
			e.broken[id] = true
			e.mu.Unlock()
			return
		}
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: piece "+strconv.Itoa(n)+"\n\n")
		_ = controller.Flush()
		wait = e.eventGap
	}
	e.mu.Lock()
	e.finished[id] = true
	e.mu.Unlock()
}
