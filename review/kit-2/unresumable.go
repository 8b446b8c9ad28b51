package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unresumable"] = cutUnresumable }

const (
	// engineCount and cutTime keep to the limits of srv_cut: a share of 0.2 of the servers,
	// for 5 s.
	engineCount = 10
	cutCount    = 2
	cutTime     = 5 * time.Second
	// streamClients keep all engines busy.
	streamClients = 60
	// maxUnanswered is the number of connections that may be closed without an answer.
	maxUnanswered = 3
)

// cutUnresumable sends streams on a route that has no "resumable" while two of ten engines
// are partitioned from control, and not from the gateways. These engines go on working.
func cutUnresumable(p *play) bool {
	nodes := []machine{p.machine(2, "kl-a", true), p.machine(3, "kl-b", true), p.machine(4, "kl-c", true)}
	for _, m := range nodes {
		p.start("coordinator", m, nodes, true)
	}
	front := p.machine(6, "kl-a", false)
	p.start("gateway", front, nodes, false)
	if p.putConfig(nodes, 1, modelConfig(1, "writer", false, 2), 15*time.Second) == "" {
		cannotRun("the configuration is not acknowledged")
	}
	var engines []*engine
	for i := range engineCount {
		e := p.startEngine(100+i, "writer", []string{"kl-a", "kl-b", "kl-c"}[i%3], nodes)
		e.firstEventAfter, e.eventGap, e.events = 1500*time.Millisecond, 100*time.Millisecond, 20
		engines = append(engines, e)
	}
	p.awaitStream(front)
	time.Sleep(contact)

	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range streamClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			c := &client{play: p, address: p.address(front, portFront)}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := p.chat(c)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				if !o.whole || o.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(8 * time.Second)
	for start := 0; start < engineCount && start < 3*cutCount; start += cutCount {
		p.cutEngines(engines[start : start+cutCount])
	}
	close(stop)
	wg.Wait()
	return p.countCut(outcomes, engines)
}

// awaitStream waits until a stream is answered.
func (p *play) awaitStream(front machine) {
	c := &client{play: p, address: p.address(front, portFront)}
	defer c.close()
	for range 40 {
		if o := p.chat(c); o.whole && o.status == 200 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	cannotRun("no stream is served")
}

func (p *play) chat(c *client) outcome {
	header := map[string]string{"Model": "m", "Token-Usage": "760,84", "Prefix-Hash": "5c1e07a2:40,91bd3f06:720", "Content-Type": "text/plain"}
	return c.do("POST", "/chat/1", "a.example", newRequestID(), header, "prompt", 20*time.Second)
}

// cutEngines cuts engines off from control for cutTime, and waits contactMs after it.
func (p *play) cutEngines(engines []*engine) {
	for _, e := range engines {
		if p.trouble {
			p.note("%s is cut off from control", e.id)
			e.cut.Store(true)
		}
	}
	time.Sleep(cutTime)
	for _, e := range engines {
		e.cut.Store(false)
		p.note("%s reaches control", e.id)
	}
	time.Sleep(contact)
}

// countCut reports whether at most maxUnanswered requests of kept connections were passed on
// to an engine, all of which are sound, and got no answer before the connection was closed.
func (p *play) countCut(outcomes []outcome, engines []*engine) bool {
	answered, unanswered, midway, other := 0, 0, 0, 0
	for _, o := range outcomes {
		passedOn := ""
		for _, e := range engines {
			if e.hasRun(o.id) {
				passedOn += " " + e.id
			}
		}
		line := fmt.Sprintf("request %s: status %d, %d bytes, whole %t, on a kept connection %t, passed on to%s, error %v", o.id, o.status, o.bytes, o.whole, o.kept, passedOn, o.err)
		switch {
		case o.whole && o.status == 200:
			answered++
			continue
		case passedOn != "" && o.kept && o.closedByPeer() && o.bytes == 0:
			unanswered++
		case passedOn != "" && o.closedByPeer():
			midway++
		default:
			other++
		}
		p.note("%s", line)
	}
	p.note("%d streams complete, %d closed without an answer on a kept connection, %d closed in the middle, %d other", answered, unanswered, midway, other)
	if answered == 0 {
		cannotRun("no stream was complete")
	}
	return unanswered <= maxUnanswered
}
