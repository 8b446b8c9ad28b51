package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a panic on metrics that are registered twice: an error without
// an outcome and one with an unknown outcome have the same label.
func TestMetrics_OutcomesWithSameLabel(t *testing.T) {
	m := newMetrics()
	for _, outcome := range []fault.Outcome{fault.Unspecified, fault.MayHaveRun, fault.NotRun, fault.Answered} {
		err := fault.New(fault.Upstream, "engine failed").WithOutcome(outcome)
		m.finished("generate", wirepb.Rank_RANK_URGENT, "o", err, time.Millisecond)
	}
}

// Guards against an upstream that stays out after its lease passed: control
// refuses its incarnation, so it must announce a higher one, once.
func TestUpstream_FencedRaisesIncarnationOnce(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUpstreamState(&wirepb.Announcement{Host: "h", Incarnation: 5}, time.Second, func() time.Time { return now }, logs.Nop(), func(int) {})
	assert.NilError(t, u.HandleAnnouncement(&upstreams.Announcement{Name: "e"}))
	u.Fenced(5)
	raised := u.incarnation()
	assert.Assert(t, raised > 5)
	assert.Equal(t, u.announcement().Incarnation, raised)
	u.Fenced(5)
	assert.Equal(t, u.incarnation(), raised)
	u.HandleDeparture()
	assert.NilError(t, u.HandleAnnouncement(&upstreams.Announcement{Name: "e"}))
	assert.Assert(t, u.announcement().Incarnation > raised)
}

// Guards against load reports that give the time of a whole chain: its head
// would look slow, and the route choice could not see which stage is.
func TestReport_TimesAreThoseOfTheOwnEngine(t *testing.T) {
	const slowStep = 100 * time.Millisecond
	fast := startEngineNode(t, "fast", 0, 1, nil, nil)
	slow := startEngineNode(t, "slow", 2, testLayers-1, nil, func(o *standin.EngineOptions) { o.Timing.Step = slowStep })
	_, _, err := collect(context.Background(), newClient(t), request("s", 1, prompt(20), 5, fast, slow), nil)
	assert.NilError(t, err)
	step := func(n *node) time.Duration {
		return time.Duration(n.agent.buildReport().InterTokenUsP50) * time.Microsecond
	}
	assert.Assert(t, step(slow) >= slowStep, "slow stage reports %s", step(slow))
	assert.Assert(t, step(fast) > 0 && step(fast) < slowStep, "fast head reports %s", step(fast))
	assert.Assert(t, slow.agent.buildReport().FirstTokenMsP50 >= uint32(slowStep/time.Millisecond))
}
