package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// streamResult is how a stream ended for its client.
type streamResult struct {
	id       string
	status   int // zero without an answer
	events   int
	complete bool
}

// openStream sends a short stream and then, at a time, a long one on the same connection.
func openStream(rec *record, n *node, id string, at time.Time) streamResult {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 21 * time.Second, Transport: transport}
	result := streamResult{id: id}
	for _, request := range []struct{ id, query string }{{id + "-a", "?events=1"}, {id, ""}} {
		time.Sleep(time.Until(at.Add(-readTime - 2*eventGap)))
		if request.query == "" {
			time.Sleep(time.Until(at))
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+n.cluster.address(n, "front")+"/chat/1"+request.query, bytes.NewReader([]byte("{}")))
		if err != nil {
			return result
		}
		req.Host = routeHost
		req.GetBody = nil // the transport sends nothing twice
		for name, value := range map[string]string{"Request-Id": request.id, "Deadline-Ms": "20000", "Authorization": "Bearer " + apiKey,
			"Model": "m", "Token-Usage": fmt.Sprintf("774,%d", 4*streamEvents), "Prefix-Hash": "5c1e07a2:40," + fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff) + ":734"} {
			req.Header.Set(name, value)
		}
		result = streamResult{id: id}
		resp, err := client.Do(req)
		if err != nil {
			rec.add("client: %s at %s has no answer: %v", request.id, n.name, err)
			return result
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		result.status, result.events, result.complete = resp.StatusCode, bytes.Count(data, []byte("data:")), err == nil
		rec.add("client: %s at %s: %d, %d events, ends with %v", request.id, n.name, resp.StatusCode, result.events, err)
		if err != nil || resp.StatusCode != http.StatusOK {
			return result
		}
	}
	return result
}

// cutEngine cuts one of six engines off from control for 5 s while it serves streams that may not
// be resumed.
func cutEngine(c *cluster, trouble bool, _ time.Duration) (int, error) {
	core, gateways, err := c.startSmall()
	if err != nil {
		return exitNotRun, err
	}
	op := &operator{nodes: core, rec: c.rec}
	if !op.put(engineConfiguration(1, false), 20*time.Second) {
		return exitNotRun, fmt.Errorf("the configuration was not acknowledged")
	}
	engines, err := startEngines(c, core)
	for _, e := range engines {
		defer e.stop()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	// The first streams are in the middle when the cut begins at cutAfter. The others arrive
	// within 300 ms after that, before anybody can know of it.
	const (
		running  = 60
		arriving = 100
		cutAfter = 6 * time.Second
	)
	results := make([]streamResult, running+arriving)
	begin := time.Now()
	for i := range results {
		clients.Go(func() {
			at := time.Duration(i) * 20 * time.Millisecond
			if i >= running {
				at = cutAfter + time.Duration(i-running)*3*time.Millisecond
			}
			results[i] = openStream(c.rec, gateways[i%len(gateways)], fmt.Sprintf("q%04d", i), begin.Add(at))
		})
	}
	time.Sleep(time.Until(begin.Add(cutAfter)))
	cut := engines[0]
	if trouble {
		c.rec.add("%s is partitioned from control, not from the gateways", cut.id)
		cut.cut.Store(true)
		time.Sleep(5 * time.Second)
		cut.cut.Store(false)
		c.rec.add("the partition has healed")
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	lost, lostWithoutByte, complete := 0, 0, 0
	for _, r := range results {
		switch {
		case r.complete && r.status == http.StatusOK && r.events == streamEvents:
			complete++
		case r.complete && r.status != http.StatusOK && r.status != 0: // an answer
		default:
			for _, e := range engines {
				if o := e.outcome(r.id); o != "" {
					c.rec.add("%s: the connection ended after %d events without a complete answer; %s, which was sound, says it is %s", r.id, r.events, e.id, o)
					lost++
					if r.status == 0 {
						lostWithoutByte++
					}
				}
			}
		}
	}
	c.rec.add("%d of %d streams are complete; of %d the connection was closed without a complete answer, of %d of these without a byte of one", complete, len(results), lost, lostWithoutByte)
	if lostWithoutByte > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
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
