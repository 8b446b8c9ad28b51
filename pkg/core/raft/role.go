package raft

import (
	"context"

	"github.com/looplab/fsm"
)

// Role is what a node does in its term.
type Role string

// Roles of a node.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

const (
	eventProbe    = "probe"     // ask whether an election could be won
	eventStand    = "stand"     // ask for votes
	eventWin      = "win"       // a quorum granted its vote
	eventStepDown = "step_down" // a leader or a higher term is known, or the quorum is lost
)

func newRoleMachine() *fsm.FSM {
	follower, pre, candidate, leader := string(Follower), string(PreCandidate), string(Candidate), string(Leader)
	return fsm.NewFSM(follower, fsm.Events{
		{Name: eventProbe, Src: []string{follower, pre, candidate}, Dst: pre},
		{Name: eventStand, Src: []string{follower, pre, candidate}, Dst: candidate},
		{Name: eventWin, Src: []string{candidate}, Dst: leader},
		{Name: eventStepDown, Src: []string{follower, pre, candidate, leader}, Dst: follower},
	}, nil)
}

// move fires an event. Staying in the same role is not an error; any other
// refusal is a fault in this package.
func (n *Node) move(event string) {
	err := n.machine.Event(context.Background(), event)
	if _, same := err.(fsm.NoTransitionError); err != nil && !same {
		panic("raft: " + err.Error())
	}
	n.role = Role(n.machine.Current())
}
