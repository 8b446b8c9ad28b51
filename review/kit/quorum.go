package main

import (
	"syscall"
	"time"
)

const (
	// catchUp is catchUpS of the sheet: a machine counts as lost until then after its start.
	catchUp = 4 * time.Second
	// exchangeGap is the time between two machines that are removed. It covers the end of
	// both processes of a machine and catchUpS after that.
	exchangeGap = 8 * time.Second
	// calmTime is the time from the last exchange to the loss.
	calmTime = 12 * time.Second
)

// playQuorum exchanges the three machines with a disk as planned: three new ones start
// first, then the old ones get SIGTERM, one after the other. Later one machine is lost for
// good, and an empty one comes at another address. Without the trouble, only the exchange
// takes place.
func playQuorum(p *platform, trouble bool) int {
	old, err := startCore(p, 284)
	if err != nil {
		return couldNot
	}
	running := append([]*machine(nil), old...)
	op := newOperator(p.record, func() []string { return seedsOf(running...) })
	conf := func(version int) map[string]any {
		return configuration(version, "desk", 260, route("r-desk", "/desk/", "desk", "safe", 1000+version, 150, 2))
	}
	if !op.put(conf(1), 20*time.Second) {
		return couldNot
	}
	time.Sleep(2 * time.Second)

	var next []*machine
	for _, zone := range []string{"a", "b", "c"} {
		m := p.machine("edge-"+zone+"-2", zone, true, 284)
		m.seeds = seedsOf(old...)
		next = append(next, m)
		if startRoles(p, m) != nil {
			return couldNot
		}
	}
	running = append(running, next...)
	time.Sleep(catchUp + 2*time.Second)
	for _, m := range old {
		p.record.line("platform: SIGTERM to %s, which is removed", m.name)
		removedAt := time.Now()
		m.coordinator.stopForGood(syscall.SIGTERM)
		m.gateway.stopForGood(syscall.SIGTERM)
		running = running[1:]
		<-m.coordinator.done
		<-m.gateway.done
		p.record.line("platform: both processes of %s have ended", m.name)
		time.Sleep(time.Until(removedAt.Add(exchangeGap)))
	}
	time.Sleep(calmTime)
	if !op.put(conf(2), 8*time.Second) {
		return couldNot
	}
	if trouble {
		lost := next[0]
		p.record.line("platform: %s is lost for good", lost.name)
		lost.coordinator.stopForGood(syscall.SIGKILL)
		lost.gateway.stopForGood(syscall.SIGKILL)
		time.Sleep(time.Second)
		empty := p.machine("edge-a-3", "a", true, 284)
		empty.seeds = seedsOf(next[1], next[2], empty)
		running = []*machine{next[1], next[2], empty}
		if startRoles(p, empty) != nil {
			return couldNot
		}
		p.record.line("platform: %s comes in its place", empty.name)
	}
	time.Sleep(catchUp + time.Second)
	newest := 2
	if op.put(conf(3), 25*time.Second) {
		newest = 3
	}
	version := op.read(5 * time.Second) // at least contactMs
	p.record.line("check: newest acknowledged version: %d; read back: %d (0: it doesn't come)", newest, version)
	if version < newest {
		return broken
	}
	return held
}
