package main

import (
	"syscall"
	"time"
)

// catchUp is catchUpS of the sheet: a machine counts as lost until then after its start.
const catchUp = 4 * time.Second

// playQuorum replaces a machine with a disk as planned: the new one starts first, then the
// old one gets SIGTERM. Some seconds after both of its processes ended, another machine with
// a disk is lost for good, and an empty one comes at another address. Without the trouble,
// only the planned replacement takes place.
func playQuorum(p *platform, trouble bool) int {
	core, err := startCore(p, 284)
	if err != nil {
		return couldNot
	}
	running := core
	op := newOperator(p.record, func() []string { return seedsOf(running...) })
	conf := func(version int) map[string]any {
		return configuration(version, "desk", 260, route("r-desk", "/desk/", "desk", "safe", 1000+version, 150, 2))
	}
	if !op.put(conf(1), 20*time.Second) {
		return couldNot
	}
	time.Sleep(4 * time.Second)

	replace := func(old *machine, planned bool, name string) *machine {
		next := p.machine(name, old.zone, true, 284)
		var rest []*machine
		for _, m := range running {
			if m != old {
				rest = append(rest, m)
			}
		}
		next.seeds = seedsOf(append(rest, next)...)
		stop := func(s syscall.Signal) {
			old.coordinator.stopForGood(s)
			old.gateway.stopForGood(s)
		}
		if planned {
			p.record.line("platform: %s comes in place of %s", next.name, old.name)
			_ = startRoles(p, next)
			running = append(append([]*machine(nil), running...), next)
			time.Sleep(catchUp) // from here on, the new one counts as running
			p.record.line("platform: SIGTERM to %s, which is removed", old.name)
			stop(syscall.SIGTERM)
			<-old.coordinator.done
			<-old.gateway.done
			p.record.line("platform: both processes of %s have ended", old.name)
		} else {
			p.record.line("platform: %s is lost for good", old.name)
			stop(syscall.SIGKILL)
			time.Sleep(time.Second)
			p.record.line("platform: %s comes in place of %s", next.name, old.name)
			_ = startRoles(p, next)
		}
		running = append(rest, next)
		return next
	}
	started := time.Now()
	replace(core[0], true, "edge-a-2")
	time.Sleep(time.Second)
	p.record.line("platform: %v since the new machine started, 1 s since the old one has ended", time.Since(started).Round(time.Millisecond))
	if trouble {
		replace(core[1], false, "edge-b-2")
	}
	time.Sleep(catchUp + time.Second)
	newest := 1
	if op.put(conf(2), 45*time.Second) {
		newest = 2
	}
	version := op.read(5 * time.Second) // at least contactMs
	p.record.line("check: newest acknowledged version: %d; read back: %d (0: it doesn't come)", newest, version)
	if version < newest {
		return broken
	}
	return held
}
