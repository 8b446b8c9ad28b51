package coordinator

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxVoters bounds the messages per commit. Further replicas only forward requests to the
	// leader.
	maxVoters = 9
	// replaceableSilence is the time without a message after which a voter may be replaced by
	// a joining one.
	replaceableSilence = 1500 * time.Millisecond
	// liveSilence is the longest time without a message of a voter that is certainly
	// reachable. A voter answers several heartbeats in this time.
	liveSilence = 500 * time.Millisecond
	// removableSilence is the time without a message after which a voter is removed without a
	// replacement, where the cluster then tolerates more further failures. It is longer than
	// the pauses of a host.
	removableSilence = 5 * time.Second
)

// memberState is a voter or learner as the leader sees it.
type memberState struct {
	id      uint64
	address string
	silence time.Duration // time since its last message
	learner bool
}

// decideAdmission decides on a replica that asks to join. It returns the member that the
// replica replaces: the one with the same address, whose disk was lost, or else the one
// that has been silent for longest, if for at least replaceableSilence. It returns zero if
// the replica is a member already, or if the cluster grows. The cluster grows only while
// every member answers: growing while a member is lost would raise the quorum without
// raising the number of live voters.
func decideAdmission(members []memberState, joining *wirepb.Voter) (replaced uint64, err error) {
	longest := replaceableSilence
	doubtful := false
	for _, m := range members {
		switch {
		case m.id == joining.GetId():
			return 0, nil
		case m.address == joining.GetPeerAddress():
			return m.id, nil
		case m.silence >= longest:
			replaced, longest = m.id, m.silence
		case m.silence > liveSilence:
			doubtful = true
		}
	}
	switch {
	case replaced != 0:
		return replaced, nil
	case doubtful:
		return 0, fault.New(fault.Conflict, "a voter missed its latest heartbeats").WithOutcome(fault.NotRun)
	case len(members) >= maxVoters:
		return 0, fault.New(fault.Conflict, "all %d voters answer and no more are allowed", len(members)).WithOutcome(fault.NotRun)
	}
	return 0, nil
}

// redundantVoter returns the voter to remove, or zero. If the number of voters is even and
// all others answer, it is one that has been silent for removableSilence: without it, the
// cluster tolerates one more failure of the others.
func redundantVoter(members []memberState) uint64 {
	var lost uint64
	voters, doubtful := 0, 0
	for _, m := range members {
		if m.learner {
			continue
		}
		voters++
		if m.silence > liveSilence {
			doubtful++
		}
		if m.silence >= removableSilence {
			lost = m.id
		}
	}
	if voters%2 == 0 && doubtful == 1 {
		return lost
	}
	return 0
}
