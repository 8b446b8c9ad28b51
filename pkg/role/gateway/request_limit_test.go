package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against gateways that together send more than a limit allows while the leader does
// not answer, also after a time without requests.
func TestRequestLimits_SharesKeepWithinTheLimit(t *testing.T) {
	const gateways, span = 13, 4 * time.Second
	in := &wirepb.Instance{Id: "u", RequestLimit: 5}
	all := make([]requestLimits, gateways)
	for i := range all {
		all[i].init()
	}
	now := time.Unix(1_000_000, 0)
	for round := range 3 {
		sent := 0
		for begin := now; now.Sub(begin) < span; now = now.Add(10 * time.Millisecond) {
			for i := range all {
				if all[i].takeShare(now, in, gateways) {
					sent++
				}
			}
		}
		assert.Assert(t, float64(sent) <= 1.5*in.RequestLimit*span.Seconds()+5, "%d requests in round %d", sent, round)
		assert.Assert(t, round == 0 || float64(sent) > 0.5*in.RequestLimit*span.Seconds(), "%d requests in round %d", sent, round)
		now = now.Add(time.Minute)
	}
}

// Guards against a leader that is asked again and again while it denies permits, and against
// one that is asked although it does not answer.
func TestRequestLimits_AskNoMoreThanNeeded(t *testing.T) {
	in := &wirepb.Instance{Id: "u", RequestLimit: 5}
	var l requestLimits
	l.init()
	now := time.Unix(1_000_000, 0)
	assert.Equal(t, l.wait(now, in), time.Duration(0))
	assert.Assert(t, l.beginAsking(now, "u"))
	l.endAsking(now, "u", false, 200*time.Millisecond, nil)
	assert.Assert(t, l.wait(now.Add(199*time.Millisecond), in) > 0)
	now = now.Add(400 * time.Millisecond)
	assert.Equal(t, l.wait(now, in), time.Duration(0))
	assert.Assert(t, l.beginAsking(now, "u"))
	assert.Assert(t, l.wait(now, in) > 0, "after a denial, one request asks for all")
	l.endAsking(now, "u", false, 0, fault.New(fault.Unavailable, "no leader"))
	assert.Assert(t, !l.beginAsking(now.Add(leaderRetryDelay-1), "u"))
	assert.Assert(t, l.beginAsking(now.Add(leaderRetryDelay), "u"))
	assert.Equal(t, l.wait(now, &wirepb.Instance{Id: "u"}), time.Duration(0), "an upstream without a limit needs no permit")
	l.retain(func(string) bool { return false })
	assert.Equal(t, len(l.byUpstream), 0)
}
