package raft

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faults holds the probabilities of the faults: drop, repeat and reorder are per mille
// of the messages; crash, freeze, partition and replaceDisk are per mille of 1 in 20
// steps, and voterChange of 1 in 100 steps.
type faults struct {
	drop, repeat, reorder, voterChange    int
	crash, freeze, partition, replaceDisk int
}

// maxInFlight limits the messages in flight; beyond it the oldest are lost.
const maxInFlight = 150

// run takes random steps and returns the first violation of an invariant.
func (m *model) run(steps int, f faults) error {
	for i := 0; i < steps && m.err == nil; i++ {
		m.step(f)
		if i%64 == 0 {
			m.checkLogs()
		}
	}
	return m.err
}

func (m *model) chance(perMille int) bool { return m.rng.IntN(1000) < perMille }

func (m *model) step(f faults) {
	p := m.peers[m.rng.IntN(len(m.peers))]
	m.fault(p, f)
	if p.node == nil {
		if m.chance(100) {
			m.restart(p)
		}
		return
	}
	if p.frozen {
		return
	}
	switch draw := m.rng.IntN(100); {
	case draw < 20:
		p.node.Tick()
		m.process(p)
	case draw < 32:
		m.persist(p)
	case draw < 37:
		m.propose(p)
	case draw < 40:
		m.read(p)
	case draw < 41:
		m.snapshot(p)
	case draw < 42 && m.chance(f.voterChange):
		m.changeVoters(p)
	case draw < 42 && m.chance(100):
		p.node.TransferLeader(m.peers[m.rng.IntN(len(m.peers))].id)
		m.process(p)
	default:
		m.network(f)
	}
}

func (m *model) fault(p *peer, f faults) {
	switch {
	case m.rng.IntN(20) > 0:
	case p.node != nil && m.chance(f.crash):
		m.crash(p)
	case m.chance(f.freeze):
		p.frozen = !p.frozen
		if !p.frozen && p.node != nil {
			m.read(p) // a client that waited reads before any message arrives
		}
	case m.chance(f.partition):
		m.repartition()
	case m.chance(f.replaceDisk):
		m.replaceDisk(p)
	}
}

// repartition replaces the blocked links by random ones, some of them in one
// direction only, or unblocks all.
func (m *model) repartition() {
	clear(m.blockedLinks)
	chance := []int{0, 0, 300, 600}[m.rng.IntN(4)]
	for _, a := range m.peers {
		for _, b := range m.peers {
			m.blockedLinks[[2]uint64{a.id, b.id}] = m.chance(chance)
		}
	}
}

// network delivers, drops, repeats or reorders one message, or delivers a snapshot.
// A message to a frozen node stays in flight.
func (m *model) network(f faults) {
	if len(m.transfers) > 0 && m.chance(200) {
		t := m.transfers[0]
		m.transfers = m.transfers[1:]
		m.install(t)
		return
	}
	if len(m.inFlight) == 0 {
		return
	}
	m.inFlight = m.inFlight[max(0, len(m.inFlight)-maxInFlight):]
	at := 0
	if m.chance(f.reorder) {
		at = m.rng.IntN(len(m.inFlight))
	}
	msg := m.inFlight[at]
	m.inFlight = append(m.inFlight[:at:at], m.inFlight[at+1:]...)
	switch {
	case m.chance(f.drop):
		return
	case m.peers[msg.To-1].frozen || m.chance(f.repeat):
		m.inFlight = append(m.inFlight, msg)
	}
	if !m.peers[msg.To-1].frozen {
		m.deliver(msg)
	}
}

// healAndConverge ends all faults and reports whether proposals then commit and
// reach all nodes of the configuration.
func (m *model) healAndConverge() bool {
	clear(m.blockedLinks)
	for _, p := range m.peers {
		p.frozen = false
		if p.node == nil {
			m.restart(p)
		}
	}
	before := m.highestCommit
	for round := 0; round < 400 && m.err == nil; round++ {
		for _, p := range m.peers {
			p.node.Tick()
			m.process(p)
			if p.node.role == Leader && round%20 == 0 && round < 300 {
				m.propose(p)
			}
			m.persist(p)
		}
		for n := len(m.inFlight) + len(m.transfers); n > 0; n-- {
			m.network(faults{})
		}
	}
	return m.highestCommit > before+1 && m.allCaughtUp()
}

// allCaughtUp reports whether all nodes of the newest configuration know
// everything that was committed, and no replacement of a voter is left unfinished.
func (m *model) allCaughtUp() bool {
	var newest *peer
	for _, p := range m.peers {
		if newest == nil || p.node.log.commit > newest.node.log.commit {
			newest = p
		}
	}
	if newest.node.voterSet().isJoint() {
		return false
	}
	for _, v := range newest.node.Voters() {
		if m.peers[v.Id-1].node.log.commit != m.highestCommit {
			return false
		}
	}
	return true
}

func drawFaults(t *rapid.T) faults {
	rate := func(name string, high int) int { return rapid.IntRange(0, high).Draw(t, name) }
	return faults{
		drop: rate("drop", 100), repeat: rate("repeat", 100), reorder: rate("reorder", 300),
		crash: rate("crash", 40), freeze: rate("freeze", 40), partition: rate("partition", 20), voterChange: rate("voters", 300), replaceDisk: max(0, rate("replaceDisk", 20)-10),
	}
}

// Guards against violations of election safety, log matching, leader completeness,
// state machine safety, durable commits and linearizable reads under lost, repeated
// and reordered messages, partitions in one or both directions, crashes that lose
// unsynced data, replaced disks, frozen nodes and voter changes. Guards also against
// a cluster that makes no progress once the faults have ended. On a failure, rapid
// prints the drawn values.
func TestSafety_HoldsUnderRandomFaults(t *testing.T) {
	committed := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "nodes"), disabledSafeguards{})
		err := m.run(rapid.IntRange(1000, 10000).Draw(t, "steps"), drawFaults(t))
		assert.NilError(t, err)
		settled := m.healAndConverge()
		assert.NilError(t, m.err)
		assert.Assert(t, settled || m.diskReplaced, "no progress after the faults ended")
		committed += m.highestCommit
	})
	t.Logf("%d entries committed over all schedules", committed)
}

// Guards against a model that no longer detects a missing safeguard.
func TestModel_DetectsDisabledSafeguards(t *testing.T) {
	cases := map[string]disabledSafeguards{
		"sync before acknowledge": {syncBeforeSend: true},
		"quorum round for reads":  {readQuorum: true},
	}
	f := faults{drop: 20, repeat: 20, reorder: 100, crash: 20, partition: 10, freeze: 30}
	for name, disabled := range cases {
		const seeds = 100
		seed := uint64(1)
		for ; seed <= seeds; seed++ {
			m := newModel(seed, 3, disabled)
			if err := m.run(6000, f); err != nil {
				t.Logf("%s: seed %d: %v", name, seed, err)
				break
			}
		}
		assert.Assert(t, seed <= seeds, "%s: no violation in %d schedules", name, seeds)
	}
}
