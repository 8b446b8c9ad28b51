package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["plainstream"] = holdPlainStream }

const (
	// abandonAfter is the gap after which clients abandon a stream: the longest of 2 s, four
	// times the objective of 500 ms and eight times the pause of 250 ms.
	abandonAfter = 2 * time.Second
	// laterRequests is the number of requests from which the rule counts a route.
	laterRequests = 40
	// pieces and pieceGap make a stream of 4 s.
	pieces   = 40
	pieceGap = 100 * time.Millisecond
)

// startTeller starts a server of a plain service that answers with a stream of events.
func (p *play) startTeller(n int, zone string, nodes []machine) *server {
	s := p.newServer(n, "teller", zone, 192, nodes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", s.id) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if s.misdirected(w, r) {
			return
		}
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Signature", s.id+"."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := w.(http.Flusher)
		p.note("%s runs stream %s", s.id, id)
		for i := 1; i <= pieces; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
			flusher.Flush()
			select {
			case <-r.Context().Done():
				p.note("%s: the connection of %s was closed after event %d", s.id, id, i)
				return
			case <-time.After(pieceGap):
			}
		}
		p.note("%s has written all events of %s", s.id, id)
	})
	s.serve(mux)
	return s
}

// holdPlainStream adds a streaming route to a plain service and sends streams on it and on
// the first route. The later route must be served at least a quarter as often as the first.
func holdPlainStream(p *play) bool {
	nodes := []machine{p.machine(2, "kl-a", true), p.machine(3, "kl-b", true), p.machine(4, "kl-c", true)}
	for _, m := range nodes {
		p.start("coordinator", m, nodes, true)
	}
	front := p.machine(6, "kl-a", false)
	p.start("gateway", front, nodes, false)
	first := modelConfig(1, "writer", true, 2)
	if p.putConfig(nodes, 1, first, 15*time.Second) == "" {
		cannotRun("the configuration is not acknowledged")
	}
	for i := range 3 {
		zone := []string{"kl-a", "kl-b", "kl-c"}[i]
		e := p.startEngine(100+i, "writer", zone, nodes)
		e.firstEventAfter, e.eventGap, e.events = pieceGap, pieceGap, pieces
		p.startTeller(110+i, zone, nodes)
	}
	p.awaitStream(front)
	if p.trouble {
		if p.putConfig(nodes, 2, withTeller(first), 4*time.Second) == "" {
			cannotRun("the second configuration is not acknowledged")
		}
	}
	time.Sleep(contact + 2*time.Second) // configApplyMs after the acknowledgement
	firstServed := p.sendStreams(front, "/chat/1", laterRequests)
	p.note("first route: %d of %d streams served", firstServed, laterRequests)
	if firstServed == 0 {
		cannotRun("no stream of the first route is served")
	}
	if !p.trouble {
		return true
	}
	laterServed := p.sendStreams(front, "/tell/1", laterRequests)
	p.note("route added later: %d of %d streams served", laterServed, laterRequests)
	return 4*laterServed >= firstServed
}

// withTeller adds a streaming route to a plain service to a configuration.
func withTeller(document []byte) []byte {
	text := strings.Replace(string(document), `"version":1`, `"version":2`, 1)
	text = strings.Replace(text, `"routes":[`, `"routes":[{"name":"r-2","host":"a.example","pathPrefix":"/tell/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":0,"service":"teller","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"targetGapMs":250},`, 1)
	return []byte(strings.Replace(text, `"services":[`, `"services":[{"name":"teller","healthPath":"/healthz","maxConnections":260,"protocol":"h1","tls":false},`, 1))
}

// sendStreams sends streams, a few at a time, and returns how many were served: with success,
// whole, and with no gap that makes the client leave.
func (p *play) sendStreams(front machine, path string, count int) int {
	var mu sync.Mutex
	served := 0
	var wg sync.WaitGroup
	for i := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := &client{play: p, address: p.address(front, portFront), gap: abandonAfter}
			defer c.close()
			header := map[string]string{"Model": "m", "Token-Usage": "760,160", "Prefix-Hash": "5c1e07a2:40,91bd3f06:720", "Content-Type": "text/plain"}
			o := c.do("POST", path, "a.example", newRequestID(), header, "prompt", 20*time.Second)
			p.note("stream %s on %s: status %d, %d bytes, whole %t, error %v", o.id, path, o.status, o.bytes, o.whole, o.err)
			if o.status == http.StatusOK && o.whole {
				mu.Lock()
				served++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return served
}
