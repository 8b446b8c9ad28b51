package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// patience is the longest gap that clients of the streams accept, also before the first event: two
// seconds, four times the objective or eight times the pause, whichever is longest.
const patience = 2 * time.Second

// withTalk returns a configuration with a model service, a plain service and a route to each. With
// talk it also has a streaming route to the plain service.
func withTalk(version int, talk bool) ([]byte, error) {
	var conf map[string]any
	if err := json.Unmarshal(engineConfiguration(version, true), &conf); err != nil {
		return nil, err
	}
	chat := conf["routes"].([]any)[0].(map[string]any)
	chat["targetLatencyMs"] = 500
	look := map[string]any{"name": "r-look", "host": routeHost, "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150,
		"priority": 0, "service": "desk", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false}
	desk := map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false}
	routes := []any{chat, look}
	if talk {
		added := maps.Clone(chat)
		added["name"], added["pathPrefix"], added["service"] = "r-talk", "/talk/", "desk"
		routes = append(routes, added)
	}
	conf["routes"], conf["services"] = routes, append(conf["services"].([]any), desk)
	return json.Marshal(conf)
}

// patientStream sends a stream of ten events and leaves after a gap of more than patience. It
// reports whether the stream was complete.
func patientStream(rec *record, n *node, prefix, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.cluster.address(n, "front")+prefix+"1?events=10&prompt=short", bytes.NewReader([]byte("{}")))
	if err != nil {
		return false
	}
	req.Host = routeHost
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "20000", "Authorization": "Bearer " + apiKey,
		"Model": "m", "Token-Usage": "774,40", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:734", time.Now().UnixNano()&0xffffffff)} {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	left := errors.New("the client left")
	result := make(chan error, 1)
	var events atomic.Int64
	go func() {
		resp, err := (&http.Client{Timeout: 21 * time.Second, Transport: transport}).Do(req)
		if err != nil {
			result <- err
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			result <- fmt.Errorf("status %d", resp.StatusCode)
			return
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data:") {
				events.Add(1)
			}
		}
		result <- lines.Err()
	}()
	for seen := int64(0); ; {
		select {
		case err := <-result:
			rec.add("client: %s at %s: %d events, ends with %v", id, n.name, events.Load(), err)
			return err == nil && events.Load() == 10
		case <-time.After(patience):
		}
		if events.Load() == seen {
			rec.add("client: %s at %s: %v after a gap of %v, %d events", id, n.name, left, patience, seen)
			return false
		}
		seen = events.Load()
	}
}

// addedRoute changes the configuration: it adds a streaming route to a service without a model, whose
// servers send the events of a stream as they make them.
func addedRoute(c *cluster, trouble bool, _ time.Duration) (int, error) {
	const watched = 20 * time.Second
	core, gateways, err := c.startSmall()
	if err != nil {
		return exitNotRun, err
	}
	op := &operator{nodes: core, rec: c.rec}
	change := func(version int, talk bool) error {
		conf, err := withTalk(version, talk)
		if err == nil && !op.put(conf, 20*time.Second) {
			err = fmt.Errorf("configuration %d was not acknowledged", version)
		}
		return err
	}
	if err := change(1, false); err != nil {
		return exitNotRun, err
	}
	engines, err := startEngines(c, core)
	for _, e := range engines {
		defer e.stop()
	}
	if err != nil {
		return exitNotRun, err
	}
	for i, z := range zones {
		s, err := startServer(fmt.Sprintf("i-desk-%d", i+1), "desk", z, fmt.Sprintf("%s.%d", c.subnet, 120+i), core, c.rec)
		if err != nil {
			return exitNotRun, err
		}
		defer s.stop()
	}
	time.Sleep(4 * time.Second)
	kinds := []string{"/chat/", "/look/"}
	if trouble {
		if err := change(2, true); err != nil {
			return exitNotRun, err
		}
		kinds = append(kinds, "/talk/")
	}
	time.Sleep(2 * drainMs * time.Millisecond) // configApplyMs is 2 s
	var sent, served [3]atomic.Int64
	cl := &client{rec: c.rec}
	var clients sync.WaitGroup
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for k, prefix := range kinds {
			clients.Go(func() {
				n := sent[k].Add(1)
				gateway := gateways[int(n)%len(gateways)]
				ok := false
				if prefix == "/look/" {
					ok = cl.get(gateway, "/look/1") == http.StatusOK
				} else {
					ok = patientStream(c.rec, gateway, prefix, fmt.Sprintf("%s%05d", prefix[1:2], n))
				}
				if ok {
					served[k].Add(1)
				}
			})
		}
	}
	clients.Wait()
	first := float64(served[0].Load()+served[1].Load()) / float64(sent[0].Load()+sent[1].Load())
	added := float64(served[2].Load()) / float64(max(1, sent[2].Load()))
	c.rec.add("served: %.3f on the first routes; %d of %d on the route that was added", first, served[2].Load(), sent[2].Load())
	switch {
	case first < 0.5:
		return exitNotRun, fmt.Errorf("the first routes are not served")
	case sent[2].Load() >= 20 && added < first/4:
		return exitBroken, nil
	}
	return exitHeld, nil
}
