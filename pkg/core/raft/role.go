package raft

import (
	"context"

	"github.com/looplab/fsm"
)

// Role is the role of a node in the current term.
type Role string

// Node roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

const (
	eventPreVote       = "probe"     // ask whether an election could be won
	eventStartElection = "stand"     // request votes
	eventWin           = "win"       // a quorum granted its vote
	eventStepDown      = "step_down" // a leader or a higher term is known, or the quorum is lost
)

func newRoleFSM() *fsm.FSM {
	follower, pre, candidate, leader := string(Follower), string(PreCandidate), string(Candidate), string(Leader)
	return fsm.NewFSM(follower, fsm.Events{
		{Name: eventPreVote, Src: []string{follower, pre, candidate}, Dst: pre},
		{Name: eventStartElection, Src: []string{follower, pre, candidate}, Dst: candidate},
		{Name: eventWin, Src: []string{candidate}, Dst: leader},
		{Name: eventStepDown, Src: []string{follower, pre, candidate, leader}, Dst: follower},
	}, nil)
}

// fireEvent applies an event to the role state machine. An event that keeps the role
// is not an error; a refused event is a bug in this package.
func (n *Node) fireEvent(event string) {
	err := n.roleFSM.Event(context.Background(), event)
	if _, same := err.(fsm.NoTransitionError); err != nil && !same {
		panic("raft: " + err.Error())
	}
	n.role = Role(n.roleFSM.Current())
}
