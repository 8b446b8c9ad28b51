package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a cluster that grows while a member is lost, which raises the quorum
// without adding a live voter, and against a replaced disk that is not recognised.
func TestDecideAdmission_ReplacesSilentMemberBeforeItAddsOne(t *testing.T) {
	members := func(silence ...time.Duration) []memberState {
		var out []memberState
		for i, s := range silence {
			out = append(out, memberState{id: uint64(i + 1), address: string(rune('a' + i)), silence: s})
		}
		return out
	}
	const noSilence, doubtfulSilence, replaceable, replaceableLonger = 0, time.Second, 2 * time.Second, 3 * time.Second
	tests := map[string]struct {
		members  []memberState
		joining  *wirepb.Voter
		replaced uint64
		refused  bool
	}{
		"adds a voter while all answer":                                {members(noSilence, noSilence, noSilence), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 0, false},
		"replaces the member at the same address, which lost its disk": {members(noSilence, noSilence, replaceableLonger), &wirepb.Voter{Id: 9, PeerAddress: "b"}, 2, false},
		"replaces the member that is silent for longest":               {members(replaceable, noSilence, replaceableLonger), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 3, false},
		"refuses to grow while a member may be lost":                   {members(noSilence, noSilence, doubtfulSilence), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 0, true},
		"replaces no member for one that is a member already":          {members(noSilence, replaceableLonger, noSilence), &wirepb.Voter{Id: 1, PeerAddress: "a"}, 0, false},
		"refuses to exceed the limit":                                  {members(make([]time.Duration, maxVoters)...), &wirepb.Voter{Id: 99, PeerAddress: "x"}, 0, true},
		"replaces a silent member at the limit":                        {members(append(make([]time.Duration, maxVoters-1), replaceable)...), &wirepb.Voter{Id: 99, PeerAddress: "x"}, maxVoters, false},
		"replaces a silent member although another may be lost":        {members(doubtfulSilence, replaceable, noSilence), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 2, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			replaced, err := decideAdmission(tc.members, tc.joining)
			assert.Equal(t, fault.Is(err, fault.Conflict), tc.refused, "%v", err)
			assert.Equal(t, replaced, tc.replaced)
		})
	}
}

// Guards against a lost voter that stays where the cluster would tolerate more failures
// without it, and against the removal of one that may answer again.
func TestRedundantVoter_SelectsLostVoterOfEvenNumber(t *testing.T) {
	const noSilence, doubtfulSilence, replaceable, removable = 0, time.Second, 2 * time.Second, 6 * time.Second
	at := func(id uint64, address string, silence time.Duration) memberState {
		return memberState{id: id, address: address, silence: silence}
	}
	learner := at(4, "c", noSilence)
	learner.learner = true
	tests := map[string]struct {
		members []memberState
		want    uint64
	}{
		"all answer":           {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", noSilence)}, 0},
		"one of three is lost": {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", removable)}, 0},
		"the new member at the address is a learner":  {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", removable), learner}, 0},
		"one of four is lost":                         {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", removable), at(4, "d", noSilence)}, 3},
		"one of four was just lost":                   {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", replaceable), at(4, "d", noSilence)}, 0},
		"one of four is lost and another is doubtful": {[]memberState{at(1, "a", noSilence), at(2, "b", doubtfulSilence), at(3, "c", removable), at(4, "d", noSilence)}, 0},
		"one of five is lost":                         {[]memberState{at(1, "a", noSilence), at(2, "b", noSilence), at(3, "c", removable), at(4, "d", noSilence), at(5, "e", noSilence)}, 0},
	}
	for name, tc := range tests {
		assert.Equal(t, redundantVoter(tc.members), tc.want, name)
	}
}
