package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashes       = 32
	downTime      = 1500 * time.Millisecond
	crashGap      = 300 * time.Millisecond // from the return of an engine to the next crash
	requestGap    = 600 * time.Millisecond // between two requests of all clients together
	wipedDownTime = 1400 * time.Millisecond
	afterRecovery = 14 * time.Second
)

// shortStream sends a resumable stream of ten events and reports whether it was answered whole.
func shortStream(rec *record, n *node, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.cluster.address(n, "front")+"/chat/1", bytes.NewReader([]byte("{}")))
	if err != nil {
		return false
	}
	req.Host = routeHost
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "20000", "Authorization": "Bearer " + apiKey,
		"Model": "m", "Token-Usage": fmt.Sprintf("774,%d", 4*streamEvents), "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:734", time.Now().UnixNano()&0xffffffff)} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Timeout: 21 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		rec.add("client: %s at %s: %v", id, n.name, err)
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	events := bytes.Count(data, []byte("data:"))
	if resp.StatusCode != http.StatusOK {
		rec.add("client: %s at %s: %d %q", id, n.name, resp.StatusCode, data)
	} else {
		rec.add("client: %s at %s: 200, %d events, ends with %v", id, n.name, events, err)
	}
	return resp.StatusCode == http.StatusOK && err == nil && events == streamEvents
}

// recovery lets single engines crash and come back under their ids while clients send streams that
// share the first part of their prompts. At last the machine of the core that has just acknowledged
// a change loses its disk.
func recovery(c *cluster, trouble bool, _ time.Duration) (int, error) {
	core, gateways, err := c.startSmall()
	if err != nil {
		return exitNotRun, err
	}
	op := &operator{nodes: core, rec: c.rec}
	if !op.put(engineConfiguration(1), 20*time.Second) {
		return exitNotRun, fmt.Errorf("the configuration was not acknowledged")
	}
	engines, err := startEngines(c, core)
	defer func() {
		for _, e := range engines {
			e.stop()
		}
	}()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	// sent and served count the requests before the final fault and those from recoveryS after it.
	var sent, served [2]atomic.Int64
	var phase atomic.Int32 // 0 before the final fault, 1 until recoveryS after it, 2 then
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(requestGap):
			}
			clients.Go(func() {
				p := phase.Load()
				ok := shortStream(c.rec, gateways[i%len(gateways)], fmt.Sprintf("q%05d", i))
				if p == 1 {
					return
				}
				sent[p/2].Add(1)
				if ok {
					served[p/2].Add(1)
				}
			})
		}
	})
	endClients := sync.OnceFunc(func() { close(stop); clients.Wait() })
	defer endClients()
	time.Sleep(3 * time.Second)
	for n := range crashes {
		if !trouble {
			break
		}
		k := -1
		for end := time.Now().Add(10 * time.Second); k < 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i := range engines {
				if j := (n + i) % len(engines); k < 0 && engines[j].isReading() {
					k = j
				}
			}
		}
		if k < 0 {
			return exitNotRun, fmt.Errorf("no engine has a request")
		}
		old := engines[k]
		c.rec.add("engine %s crashes (%d of %d)", old.id, n+1, crashes)
		old.stop()
		time.Sleep(downTime)
		again, err := startEngine(old.id, old.zone, old.listener.Addr().String(), core, c.rec)
		if err != nil {
			return exitNotRun, err
		}
		engines[k] = again
		c.rec.add("engine %s starts again", old.id)
		time.Sleep(crashGap)
	}
	time.Sleep(2 * time.Second)
	if !op.put(engineConfiguration(2), 10*time.Second) {
		return exitNotRun, fmt.Errorf("the last change was not acknowledged")
	}
	phase.Store(1)
	for _, n := range core {
		if trouble && c.address(n, "control") == op.acknowledgedBy {
			c.rec.add("%s, which acknowledged the last change, loses its disk", n.name)
			n.kill()
			if err := n.wipe(); err != nil {
				return exitNotRun, err
			}
			time.Sleep(wipedDownTime)
			if err := n.start(); err != nil {
				return exitNotRun, err
			}
		}
	}
	time.Sleep(recoveryS * time.Second)
	c.rec.add("the machine is back for %d s", recoveryS)
	phase.Store(2)
	time.Sleep(afterRecovery)
	endClients()
	before := float64(served[0].Load()) / float64(max(1, sent[0].Load()))
	after := float64(served[1].Load()) / float64(max(1, sent[1].Load()))
	c.rec.add("served before the final fault: %.3f of %d, later than %d s after the machine was back: %.3f of %d", before, sent[0].Load(), recoveryS, after, sent[1].Load())
	switch {
	case before < 0.25 || sent[1].Load() < 20:
		return exitNotRun, fmt.Errorf("too little was served before the final fault, or sent after it")
	case after < 0.25:
		return exitBroken, nil
	}
	return exitHeld, nil
}
