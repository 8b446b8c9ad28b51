package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// operator sends configurations and reads them back, as PROTOCOL.md says: any node, the next
// one after a failure, a 5xx or a second without a response, and 307 twice.
type operator struct {
	nodes []*node
	rec   *record
	next  int
	// acknowledgedBy is the address of the node that gave the last acknowledgement.
	acknowledgedBy string
}

var operatorClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// call sends one call to the next node.
func (o *operator) call(method, path string, body []byte) (int, []byte, string) {
	n := o.nodes[o.next%len(o.nodes)]
	o.next++
	req, err := http.NewRequest(method, "http://"+n.cluster.address(n, "control")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, n.name
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil, n.name
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		o.acknowledgedBy = resp.Request.URL.Host
	}
	return resp.StatusCode, data, n.name
}

// put sends a configuration until it is acknowledged or the time has passed. It reports whether
// it was acknowledged.
func (o *operator) put(document []byte, limit time.Duration) bool {
	end, wait, last := time.Now().Add(limit), 100*time.Millisecond, ""
	for time.Now().Before(end) {
		status, data, name := o.call(http.MethodPut, "/config", document)
		if line := fmt.Sprintf("operator: PUT /config at %s: %d %s", name, status, strings.TrimSpace(string(data))); line != last {
			o.rec.add("%s", line)
			last = line
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
		wait = min(wait*3/2, time.Second)
	}
	return false
}

const (
	routeHost = "shop.example"
	apiKey    = "k0123456789abcdefghi"
)

// configuration returns one with a plain service.
func configuration(version int) []byte {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2500, "targetLatencyMs": 150,
			"priority": 0, "service": "desk", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false}
	}
	data, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-order", "/order/", "unsafe"), route("r-look", "/look/", "safe")},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "apiKeys": []string{apiKey}}},
	})
	return data
}

// server is a sound server of the plain service.
type server struct {
	id, service, zone string
	nodes             []*node
	rec               *record
	listener          net.Listener
	http              *http.Server
	cancel            context.CancelFunc
	done              chan struct{}
	ran               atomic.Int64
}

func startServer(id, service, zone, ip string, nodes []*node, rec *record) (*server, error) {
	ln, err := listen(ip)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{id: id, service: service, zone: zone, nodes: nodes, rec: rec, listener: ln, cancel: cancel, done: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	go s.announce(ctx)
	return s, nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.ran.Add(1)
	s.rec.add("server %s runs %s %s %s", s.id, id, r.Method, r.RequestURI)
	w.Header().Set("Server-Signature", "by."+s.id+"."+id)
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "%s for %s: %s", s.id, id, body)
}

// announce sends heartbeats; after a failure the next node is called.
func (s *server) announce(ctx context.Context) {
	defer close(s.done)
	born, next := time.Now().UnixMilli(), 0
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1",
			"slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born})
		for range s.nodes {
			n := s.nodes[next%len(s.nodes)]
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.cluster.address(n, "control")+"/instances/"+s.id, bytes.NewReader(body))
			if err != nil {
				return
			}
			resp, err := operatorClient.Do(req)
			if err == nil {
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

func (s *server) stop() {
	s.cancel()
	_ = s.http.Close()
	<-s.done
}

// client sends requests of its own ids.
type client struct {
	rec  *record
	sent atomic.Int64
}

// get sends a safe request to a gateway on a new connection and returns the status, zero without
// a response.
func (c *client) get(n *node, path string) int {
	id := fmt.Sprintf("q%08d", c.sent.Add(1))
	req, err := http.NewRequest(http.MethodGet, "http://"+n.cluster.address(n, "front")+path, nil)
	if err != nil {
		return 0
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		c.rec.add("client: %s at %s: %v", id, n.name, err)
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	c.rec.add("client: %s at %s: %d %q", id, n.name, resp.StatusCode, data)
	return resp.StatusCode
}
