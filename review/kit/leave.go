package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leaderOf returns the machine to which the others redirect a change, nil if none does.
func leaderOf(machines []*machine) *machine {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	conf, _ := json.Marshal(configuration(1, "desk", 260, deskRoute()))
	for _, m := range machines {
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.address(portControl)+"/config", strings.NewReader(string(conf)))
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		location, err := url.Parse(resp.Header.Get("Location"))
		if resp.StatusCode != http.StatusTemporaryRedirect || err != nil {
			continue
		}
		for _, other := range machines {
			if other.address(portControl) == location.Host {
				return other
			}
		}
	}
	return nil
}

func deskRoute() map[string]any { return route("r-desk", "/desk/", "desk", "unsafe", 1200, 150, 1) }

// playLeave lets a server leave with DELETE first: it serves on for some seconds. The machine
// that acknowledged it loses power right after the acknowledgement, for downTime.
func playLeave(p *platform, trouble bool) int {
	const (
		lossDelay = 2 * time.Millisecond // within the 4 ms of after_ack_kill
		downTime  = 5 * time.Second
		serveOn   = 6 * time.Second
	)
	core, err := startCore(p, 284)
	if err != nil {
		return couldNot
	}
	control := func() []string { return seedsOf(core...) }
	op := newOperator(p.record, control)
	if !op.put(configuration(1, "desk", 260, deskRoute()), 20*time.Second) {
		return couldNot
	}
	var servers []*server
	for _, zone := range []string{"a", "b", "c"} {
		s := newServer(p.record, "i-desk"+zone, "desk", zone, 30*time.Millisecond, 6, 24, control)
		if s.start(p.address()) != nil {
			return couldNot
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if !waitFor(10*time.Second, func() bool { return isReady(core[0]) && isReady(core[1]) && isReady(core[2]) }) {
		return couldNot
	}
	time.Sleep(4 * time.Second)
	leader := leaderOf(core)
	if leader == nil {
		return couldNot
	}
	p.record.line("platform: %s leads", leader.name)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range core {
		if m == leader {
			continue // its gateway loses power as well
		}
		for range 4 {
			c := newClient(p.record, m.address(portFront))
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					c.send("POST", "/desk/order", strings.NewReader("order"), 5, 2500*time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)

	leaving := servers[0]
	leaving.stopBeats()
	leaving.control = func() []string { return []string{leader.address(portControl)} }
	by := leaving.tell(context.Background(), http.MethodDelete, nil)
	ackedAt := time.Now()
	if trouble {
		time.Sleep(lossDelay)
		leader.coordinator.hold()
		leader.gateway.hold()
		leader.coordinator.signal(syscall.SIGKILL)
		leader.gateway.signal(syscall.SIGKILL)
	}
	killedAt := time.Now()
	p.record.line("server %s: DELETE acknowledged by %s; trouble %v after it", leaving.id, by, killedAt.Sub(ackedAt))
	if by == "" {
		return couldNot
	}
	time.Sleep(time.Until(ackedAt.Add(downTime)))
	inTouchUntil := time.Now()
	if trouble {
		leader.coordinator.release()
		leader.gateway.release()
	}
	time.Sleep(time.Until(ackedAt.Add(serveOn)))
	close(stop)
	clients.Wait()

	// In touch: contactMs after the machine was lost, until it starts again.
	inTouchFrom := killedAt.Add(3 * time.Second)
	if !trouble {
		inTouchFrom = ackedAt
	}
	late, early := 0, 0
	for _, a := range leaving.arrived() {
		switch after := a.at.Sub(ackedAt); {
		case after <= 0:
			early++
		case after > 2*time.Second && a.at.After(inTouchFrom) && a.at.Before(inTouchUntil):
			p.record.line("check: %s reached %s %.3f s after the acknowledgement", a.id, leaving.id, after.Seconds())
			late++
		}
	}
	p.record.line("check: %d requests reached the server before it left, %d later than drainMs after that, sent on by machines in touch", early, late)
	if early == 0 {
		return couldNot
	}
	if late > 0 {
		return broken
	}
	return held
}
