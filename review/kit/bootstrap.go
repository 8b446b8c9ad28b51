package main

import (
	"syscall"
	"time"
)

// playBootstrap starts the whole system for the first time. One of the three machines with a
// disk is lost for good right after its start, and an empty one comes at another address.
func playBootstrap(p *platform, trouble bool) int {
	const lossDelay = 5 * time.Millisecond
	var core []*machine
	for _, zone := range []string{"a", "b", "c"} {
		core = append(core, p.machine("edge-"+zone+"-1", zone, true, 284))
	}
	for i, m := range core {
		m.seeds, m.bootstrap = seedsOf(core...), true
		if i == 2 {
			time.Sleep(200 * time.Millisecond) // all start within 0.3 s of each other
		}
		if err := startRoles(p, m); err != nil {
			return couldNot
		}
	}
	for _, m := range core {
		m.bootstrap = false
	}
	running := core
	if trouble {
		time.Sleep(lossDelay)
		lost := core[2]
		p.record.line("platform: %s is lost for good", lost.name)
		lost.coordinator.stopForGood(syscall.SIGKILL)
		lost.gateway.stopForGood(syscall.SIGKILL)
		time.Sleep(time.Second)
		next := p.machine("edge-c-2", "c", true, 284)
		running = []*machine{core[0], core[1], next}
		next.seeds = seedsOf(running...)
		if err := startRoles(p, next); err != nil {
			return couldNot
		}
	}
	op := newOperator(p.record, func() []string { return seedsOf(running...) })
	acked := op.put(configuration(1, "desk", 260, route("r-desk", "/desk/", "desk", "safe", 1200, 150, 2)), 45*time.Second)
	for _, m := range running {
		p.record.line("check: ready %s: %v", m.name, isReady(m))
	}
	if !acked {
		return broken
	}
	return held
}
