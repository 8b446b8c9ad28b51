package main

import (
	"bytes"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitMB = 206     // of a machine of the edge class without a disk
	bodyBytes     = 4194304 // the configuration's maxBodyBytes
	uploadTime    = 3 * time.Second
	workTime      = 3 * time.Second
	usualRate     = 5.0 // requests a second
	burstFactor   = 2.5
	burstTime     = 5300 * time.Millisecond
	usualTime     = 14 * time.Second
)

// slowUpload is a body that arrives at an even pace, as over a client's own link.
type slowUpload struct {
	data  *bytes.Reader
	size  int64
	start time.Time
}

func (u *slowUpload) Read(b []byte) (int, error) {
	if u.start.IsZero() {
		u.start = time.Now()
	}
	sent := u.size - int64(u.data.Len())
	due := int64(float64(u.size) * float64(time.Since(u.start)) / float64(uploadTime))
	if due < sent+1 {
		time.Sleep(20 * time.Millisecond)
		due = int64(float64(u.size) * float64(time.Since(u.start)) / float64(uploadTime))
	}
	n := min(int64(len(b)), max(1, due-sent))
	return u.data.Read(b[:n])
}

// playMemory lets clients send orders with long bodies at a usual rate, and then for some
// seconds at burstFactor times that rate. The platform kills a process that uses more than
// its memory.
func playMemory(p *platform, trouble bool) int {
	core, err := startCore(p, 284)
	if err != nil {
		return couldNot
	}
	control := func() []string { return seedsOf(core...) }
	small := p.machine("edge-a-2", "a", false, memoryLimitMB)
	small.seeds = seedsOf(core...)
	if small.gateway, err = p.start(small, "gateway"); err != nil {
		return couldNot
	}
	op := newOperator(p.record, control)
	if !op.put(configuration(1, "filing", 260, route("r-file", "/file/", "filing", "unsafe", 10000, 4000, 1)), 20*time.Second) {
		return couldNot
	}
	var servers []*server
	for _, zone := range []string{"a", "b", "c"} {
		s := newServer(p.record, "i-file"+zone, "filing", zone, workTime, 16, 32, control)
		if s.start(p.address()) != nil {
			return couldNot
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if !waitFor(10*time.Second, func() bool { return isReady(small) }) {
		return couldNot
	}
	time.Sleep(3 * time.Second) // the servers have announced themselves

	stopWatch := make(chan struct{})
	var watch sync.WaitGroup
	peak, kills := 0, 0
	watch.Go(func() {
		for {
			select {
			case <-stopWatch:
				return
			case <-time.After(20 * time.Millisecond):
			}
			used := small.gateway.residentMB()
			peak = max(peak, used)
			if used > memoryLimitMB {
				p.record.line("platform: gateway of %s uses %d MB, more than %d: killed", small.name, used, memoryLimitMB)
				kills++
				small.gateway.signal(syscall.SIGKILL)
				time.Sleep(time.Second)
			}
		}
	})

	// Kept connections: each client uses its own for one request after the other.
	body := make([]byte, bodyBytes)
	idle := make(chan *client, 1000)
	var mu sync.Mutex
	var answers []answer
	var sent sync.WaitGroup
	send := func() {
		var c *client
		select {
		case c = <-idle:
		default:
			c = newClient(p.record, small.address(portFront))
		}
		sent.Go(func() {
			a := c.send("POST", "/file/x", io.NopCloser(&slowUpload{data: bytes.NewReader(body), size: bodyBytes}), bodyBytes, 10*time.Second)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
			idle <- c
		})
	}
	begin := time.Now()
	for time.Since(begin) < usualTime+burstTime {
		rate := usualRate
		if trouble && time.Since(begin) >= usualTime {
			rate *= burstFactor
		}
		send()
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	sent.Wait()
	close(stopWatch)
	watch.Wait()
	p.record.line("platform: the gateway of %s used %d MB at most and was killed %d times", small.name, peak, kills)

	ran := make(map[string]bool)
	for _, s := range servers {
		for _, a := range s.arrived() {
			ran[a.id] = true
		}
	}
	lost, served, other := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == 0 && a.kept && ran[a.id]:
			p.record.line("check: %s was sent on a kept connection, reached a server and got no answer: %v", a.id, a.err)
			lost++
		case a.status == 200:
			served++
		default:
			other++
		}
	}
	p.record.line("check: %d served, %d passed on from a kept connection and not answered, %d others", served, lost, other)
	if served < 20 {
		return couldNot
	}
	if lost > 3 {
		return broken
	}
	return held
}
