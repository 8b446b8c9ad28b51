package main

import (
	"os"
	"slices"
	"syscall"
	"time"
)

func init() { cases["replacement"] = planReplacement }

// diskLossAfter is the time from the end of the replaced machine to the loss of a disk.
// DISK_LOSS_AFTER replaces it, to see for how long the fault lasts.
func diskLossAfter() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("DISK_LOSS_AFTER")); err == nil {
		return d
	}
	return time.Second
}

const (
	// diskLossDown is the time for which the machine that loses its disk is down.
	diskLossDown = time.Second
	// readBackTime is the time for which the operator tries to read the configuration, several
	// times recoveryS of 12 s.
	readBackTime = 40 * time.Second
)

// planReplacement replaces a machine of the core as planned: the new one is added first, and
// the old one gets SIGTERM once the new one has had catchUpS. Then one machine loses its disk
// right after it has acknowledged a configuration. The configuration must be readable at the
// end.
func planReplacement(p *play) bool {
	a, b, c := p.machine(2, "kl-a", true), p.machine(3, "kl-b", true), p.machine(4, "kl-c", true)
	added := p.machine(5, "kl-a", true)
	founders := []machine{a, b, c}
	running := make(map[string]*process)
	for _, m := range founders {
		running[m.ip] = p.start("coordinator", m, founders, true)
	}
	if p.putConfig(founders, 1, plainConfig(1), 15*time.Second) == "" {
		cannotRun("the first configuration is not acknowledged")
	}
	running[added.ip] = p.start("coordinator", added, founders, false)
	time.Sleep(catchUp)
	p.signal(running[a.ip], syscall.SIGTERM)
	select {
	case <-running[a.ip].ended:
	case <-time.After(graceS * time.Second):
		p.signal(running[a.ip], syscall.SIGKILL)
		<-running[a.ip].ended
	}
	p.note("%s is removed, %s has run for more than catchUpS", a.name, added.name)
	nodes := []machine{b, c, added}
	time.Sleep(diskLossAfter())
	by := p.putConfig(nodes, 2, plainConfig(2), 4*time.Second)
	if by == "" {
		p.note("no node acknowledged configuration 2")
		return !p.trouble // the disruption has not begun
	}
	if p.trouble {
		p.loseDisk(running, nodes, by)
	}
	return p.readBack(nodes, 2, readBackTime)
}

// loseDisk kills the coordinator that acknowledged last and starts it again with an empty disk.
func (p *play) loseDisk(running map[string]*process, nodes []machine, acknowledgedBy string) {
	i := slices.IndexFunc(nodes, func(m machine) bool { return p.address(m, portControl) == acknowledgedBy })
	if i < 0 {
		cannotRun("%s is no node", acknowledgedBy)
	}
	m := nodes[i]
	p.signal(running[m.ip], syscall.SIGKILL)
	<-running[m.ip].ended
	if err := os.RemoveAll(p.dataDir(m)); err != nil {
		cannotRun("disk not emptied: %v", err)
	}
	p.note("%s has lost its disk", m.name)
	time.Sleep(diskLossDown)
	running[m.ip] = p.start("coordinator", m, nodes, false)
}

// readBack reports whether a node answers a read with the version, or a higher one, within the
// time limit.
func (p *play) readBack(nodes []machine, version int, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		for _, m := range nodes {
			if p.readVersion(m) >= version {
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
