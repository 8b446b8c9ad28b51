package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// engineConfiguration has one service of engines and one route of streams that may not be
// resumed.
func engineConfiguration(version int) map[string]any {
	conf := configuration(version, "writer", 2116)
	conf["routes"] = []any{map[string]any{
		"name": "r-chat", "host": "desk.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 4000,
		"priority": 0, "service": "writer", "maxAttempts": 2, "public": false, "sticky": true, "resumable": false, "targetGapMs": 250,
	}}
	conf["services"] = []any{map[string]any{"name": "writer", "healthPath": "/healthz", "maxConnections": 2116, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 192, "kvCapacityTokens": 100000, "kvTokenBytes": 590000, "linkMbps": 400000.0, "stride": 4,
		"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "loadS": 14.0, "warmupS": 1.0}},
		"step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0,
		"loadsPerS": 0.0, "loads_at_once": 6, "delays": []any{}, "usual": map[string]any{"prompt": 774, "answer": 210},
		"layers": modelLayers, "layerMb": layerMB, "activationBytes": 29500, "pipeMbps": 19000.0,
		"kinds": []any{map[string]any{"name": "a100", "sizeMb": acceleratorM, "pace": 2.4, "readFactor": 3.2}},
	}}}
	return conf
}

// streamAnswer is what a client got for a stream.
type streamAnswer struct {
	id     string
	status int // zero if no byte of an answer came
	events int
	whole  bool // it ended as a complete answer
	kept   bool
	err    error
}

// playCut cuts one engine in five from the machines that serve control, not from the fronts.
// Clients ask for streams that may not be resumed, on connections that they keep.
func playCut(p *platform, trouble bool) int {
	const cutTime = 5 * time.Second
	core, err := startCore(p, 284)
	if err != nil {
		return couldNot
	}
	control := func() []string { return seedsOf(core...) }
	op := newOperator(p.record, control)
	if !op.put(engineConfiguration(1), 20*time.Second) {
		return couldNot
	}
	var engines []*engine
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		e := newEngine(p.record, fmt.Sprintf("i-writer%d", i+1), "writer", zone, control)
		if e.start(p.address()) != nil {
			return couldNot
		}
		defer e.stop()
		engines = append(engines, e)
	}
	if !waitFor(10*time.Second, func() bool { return isReady(core[0]) && isReady(core[1]) && isReady(core[2]) }) {
		return couldNot
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []streamAnswer
	for i := range 75 {
		c := newClient(p.record, core[i%3].address(portFront))
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 45 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := c.stream("/chat/x", 20*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(12 * time.Second)
	cut := engines[0]
	if trouble {
		p.record.line("platform: %s is cut from the machines that serve control, not from the fronts", cut.id)
		cut.cutFromControl()
	}
	time.Sleep(cutTime)
	cut.heal()
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()

	whole, unanswered, midway := 0, 0, 0
	for _, a := range answers {
		ran := ""
		for _, e := range engines {
			e.mu.Lock()
			if _, ok := e.started[a.id]; ok {
				ran = e.id
			}
			e.mu.Unlock()
		}
		switch {
		case a.whole && a.events == engines[0].events:
			whole++
		case a.kept && ran != "" && a.status == 0:
			p.record.line("check: %s was sent on a kept connection, reached %s, and its connection was closed without an answer: %v", a.id, ran, a.err)
			unanswered++
		default:
			p.record.line("check: %s (at %q): status %d, %d events, whole %v: %v", a.id, ran, a.status, a.events, a.whole, a.err)
			midway++
		}
	}
	p.record.line("check: %d whole, %d passed on from a kept connection and closed without an answer, %d others", whole, unanswered, midway)
	if whole < 75 {
		return couldNot
	}
	if unanswered > 3 {
		return broken
	}
	return held
}

// stream asks for a stream and reads it to its end.
func (c *client) stream(path string, deadline time.Duration) streamAnswer {
	out := streamAnswer{id: newID()}
	resp, cancel, kept, err := c.open(out.id, path, deadline)
	defer cancel()
	out.kept = kept()
	if err != nil {
		out.err = err
		c.record.line("client: %s: no answer: %v", out.id, err)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	out.events, out.err = strings.Count(string(text), "\n\n"), err
	out.whole = err == nil && resp.StatusCode == 200
	c.record.line("client: %s: status %d, %d events, error: %v", out.id, out.status, out.events, err)
	return out
}
