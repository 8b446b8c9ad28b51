package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// twoServices returns a configuration with two plain services.
func twoServices(version int) []byte {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150,
			"priority": 0, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("r-look", "/look/", "desk"), route("r-find", "/find/", "archive")},
		"services": []any{service("desk"), service("archive")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "apiKeys": []string{apiKey}}},
	})
	return data
}

// oddEntries leaves one entry of another writer for each server of a service: it has the address
// of the server and a service that no configuration names.
func oddEntries(c *cluster, trouble bool, _ time.Duration) (int, error) {
	const watched = 20 * time.Second
	core, gateways, err := c.startSmall()
	if err != nil {
		return exitNotRun, err
	}
	op := &operator{nodes: core, rec: c.rec}
	if !op.put(twoServices(1), 20*time.Second) {
		return exitNotRun, fmt.Errorf("the configuration was not acknowledged")
	}
	var desk []*server
	for i, z := range zones {
		for j, name := range []string{"desk", "archive"} {
			s, err := startServer(fmt.Sprintf("i-%s-%d", name, i+1), name, z, fmt.Sprintf("%s.%d", c.subnet, 100+10*j+i), core, c.rec)
			if err != nil {
				return exitNotRun, err
			}
			defer s.stop()
			if name == "desk" {
				desk = append(desk, s)
			}
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for _, s := range desk {
			body, _ := json.Marshal(map[string]any{"service": "audit", "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": 1,
				"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
			id := s.id
			status, _, name := op.call(http.MethodPut, "/instances/"+id, body)
			c.rec.add("another writer: PUT /instances/%s at %s: %d, %s", id, name, status, body)
		}
	}
	var sent, served [2]atomic.Int64
	cl := &client{rec: c.rec}
	var clients sync.WaitGroup
	for k, path := range []string{"/look/1", "/find/1"} {
		clients.Go(func() {
			for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				n := sent[k].Add(1)
				if cl.get(gateways[int(n)%len(gateways)], path) == http.StatusOK {
					served[k].Add(1)
				}
			}
		})
	}
	clients.Wait()
	share := func(served, sent int64) float64 { return float64(served) / float64(max(1, sent)) }
	look := share(served[0].Load(), sent[0].Load())
	all := share(served[0].Load()+served[1].Load(), sent[0].Load()+sent[1].Load())
	c.rec.add("served: %.3f of /look/, %.3f of all requests", look, all)
	if look < all/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
