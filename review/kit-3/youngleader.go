package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Times of the small deployment.
const (
	catchUp       = 4 * time.Second
	successorWait = 500 * time.Millisecond // until the empty machine comes
)

// youngLeader replaces the machine of the core that leads by an empty one at another address. Once
// its successor has had catchUpS, another machine of the core loses its disk.
func youngLeader(c *cluster, trouble bool, delay time.Duration) (int, error) {
	if delay == 0 {
		delay = successorWait
	}
	core, _, err := c.startSmall()
	if err != nil {
		return exitNotRun, err
	}
	op := &operator{nodes: core, rec: c.rec}
	version := 0
	put := func(limit time.Duration) bool {
		version++
		return op.put(configuration(version), limit)
	}
	if !put(20 * time.Second) {
		return exitNotRun, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(2 * catchUp)
	if !put(10 * time.Second) {
		return exitNotRun, fmt.Errorf("a change was not acknowledged")
	}
	acknowledging := func() *node {
		for _, n := range op.nodes {
			if c.address(n, "control") == op.acknowledgedBy {
				return n
			}
		}
		return nil
	}
	if trouble {
		first := acknowledging()
		c.rec.add("%s, which acknowledged the last change, is gone for good", first.name)
		first.kill()
		time.Sleep(delay)
		successor := c.add("coordinator", first.zone, true)
		successor.bootstrap = false
		if err := successor.start(); err != nil {
			return exitNotRun, err
		}
		started := time.Now()
		// The operator's list has the machines that are there.
		for i, n := range op.nodes {
			if n == first {
				op.nodes[i] = successor
			}
		}
		time.Sleep(time.Until(started.Add(catchUp + 50*time.Millisecond)))
		if !put(5 * time.Second) {
			return exitNotRun, fmt.Errorf("no change was acknowledged after the replacement")
		}
		second := acknowledging()
		if second == nil {
			return exitNotRun, fmt.Errorf("an unknown machine acknowledged")
		}
		c.rec.add("%s, which acknowledged the last change %v after the start of the successor, loses its disk", second.name, time.Since(started).Round(time.Millisecond))
		second.kill()
		if err := second.wipe(); err != nil {
			return exitNotRun, err
		}
		time.Sleep(wipedDownTime)
		if err := second.start(); err != nil {
			return exitNotRun, err
		}
	}
	// Service may be suspended for recoveryS from here; four times that is allowed.
	acknowledged := version
	end := time.Now().Add(4 * recoveryS * time.Second)
	read := 0
	for read < acknowledged && time.Now().Before(end) {
		status, data, name := op.call(http.MethodGet, "/config", nil)
		var conf struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(data, &conf) == nil {
			read = conf.Version
			c.rec.add("operator: GET /config at %s: version %d", name, read)
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.rec.add("version %d was acknowledged, version %d is read back", acknowledged, read)
	if read < acknowledged {
		acked := put(5 * time.Second)
		c.rec.add("a further change was acknowledged: %v", acked)
		return exitBroken, nil
	}
	return exitHeld, nil
}
