package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func TestDecideAdmission(t *testing.T) {
	members := func(silence ...time.Duration) []memberState {
		var out []memberState
		for i, s := range silence {
			out = append(out, memberState{id: uint64(i + 1), address: string(rune('a' + i)), silence: s})
		}
		return out
	}
	const now, doubtful, lost, longLost = 0, time.Second, 2 * time.Second, 3 * time.Second
	tests := map[string]struct {
		members  []memberState
		joining  *wirepb.Voter
		replaced uint64
		refused  bool
	}{
		"adds a voter while all answer":                                {members(now, now, now), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 0, false},
		"replaces the member at the same address, which lost its disk": {members(now, now, longLost), &wirepb.Voter{Id: 9, PeerAddress: "b"}, 2, false},
		"replaces the member that is silent for longest":               {members(lost, now, longLost), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 3, false},
		"refuses to grow while a member may be lost":                   {members(now, now, doubtful), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 0, true},
		"replaces no member for one that is a member already":          {members(now, longLost, now), &wirepb.Voter{Id: 1, PeerAddress: "a"}, 0, false},
		"refuses to exceed the limit":                                  {members(make([]time.Duration, maxVoters)...), &wirepb.Voter{Id: 99, PeerAddress: "x"}, 0, true},
		"replaces a silent member at the limit":                        {members(append(make([]time.Duration, maxVoters-1), lost)...), &wirepb.Voter{Id: 99, PeerAddress: "x"}, maxVoters, false},
		"replaces a silent member although another may be lost":        {members(doubtful, lost, now), &wirepb.Voter{Id: 9, PeerAddress: "x"}, 2, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			replaced, err := decideAdmission(tc.members, tc.joining)
			assert.Equal(t, fault.Is(err, fault.Conflict), tc.refused, "%v", err)
			assert.Equal(t, replaced, tc.replaced)
		})
	}
}

// Guards against a quorum that keeps counting a replaced voter: the leader was killed
// between the addition of the new voter and the removal of the old one (plantain-soak,
// seed 306), and the loss of one more disk then stopped the cluster for good.
func TestRedundantVoter(t *testing.T) {
	const now, doubtful, silent, lost = 0, time.Second, 2 * time.Second, 6 * time.Second
	at := func(id uint64, address string, silence time.Duration) memberState {
		return memberState{id: id, address: address, silence: silence, heard: silence < lost}
	}
	learner := at(4, "c", now)
	learner.learner = true
	tests := map[string]struct {
		members []memberState
		want    uint64
	}{
		"all answer":           {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", now)}, 0},
		"one of three is lost": {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", lost)}, 0},
		"a new voter answers at the address of a silent one":   {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", silent), at(4, "c", now)}, 3},
		"a new leader heard only the new voter at the address": {[]memberState{at(1, "a", now), at(2, "b", now), {id: 3, address: "c"}, at(4, "c", now)}, 3},
		"a new leader heard neither voter at the address":      {[]memberState{at(1, "a", now), at(2, "b", now), {id: 3, address: "c"}, {id: 4, address: "c"}}, 0},
		"the new member at the address is a learner":           {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", lost), learner}, 0},
		"the new voter at the address does not answer":         {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", silent), at(4, "c", silent)}, 0},
		"one of four is lost":                                  {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", lost), at(4, "d", now)}, 3},
		"one of four was just lost":                            {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", silent), at(4, "d", now)}, 0},
		"one of four is lost and another is doubtful":          {[]memberState{at(1, "a", now), at(2, "b", doubtful), at(3, "c", lost), at(4, "d", now)}, 0},
		"one of five is lost":                                  {[]memberState{at(1, "a", now), at(2, "b", now), at(3, "c", lost), at(4, "d", now), at(5, "e", now)}, 0},
	}
	for name, tc := range tests {
		assert.Equal(t, redundantVoter(tc.members), tc.want, name)
	}
}
