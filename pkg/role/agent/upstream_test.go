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

// Registering the same metric twice panics: an error without an outcome and one
// with an unknown outcome have the same label and must share one metric.
func TestMetrics_OutcomesWithSameLabelShareOneMetric(t *testing.T) {
	m := newMetrics()
	for _, outcome := range []fault.Outcome{fault.Unspecified, fault.MayHaveRun, fault.NotRun, fault.Answered} {
		err := fault.New(fault.Upstream, "engine failed").WithOutcome(outcome)
		m.recordRequest("generate", wirepb.Rank_RANK_URGENT, "o", err, time.Millisecond)
	}
}

// Control refuses the incarnation of an upstream whose lease has expired. The
// agent must announce a higher one, exactly once, or the upstream would stay
// out.
func TestUpstream_StaleIncarnationIsRaisedOnce(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUpstreamState(&wirepb.Announcement{Host: "h", Incarnation: 5}, time.Second, func() time.Time { return now }, logs.Nop(), func(int) {})
	assert.NilError(t, u.HandleAnnouncement(&upstreams.Announcement{Name: "e"}))
	u.HandleStaleIncarnation(5)
	raised := u.incarnation()
	assert.Assert(t, raised > 5)
	assert.Equal(t, u.announcement().Incarnation, raised)
	u.HandleStaleIncarnation(5)
	assert.Equal(t, u.incarnation(), raised)
	u.HandleDeparture()
	assert.NilError(t, u.HandleAnnouncement(&upstreams.Announcement{Name: "e"}))
	assert.Assert(t, u.announcement().Incarnation > raised)
}

// Load reports must give the times of the agent's own engine. The time of the
// whole chain would make its head look slow and hide the slow stage from
// routing.
func TestReport_ChainTimesExcludeOtherStages(t *testing.T) {
	const slowStep = 100 * time.Millisecond
	fast := startEngineNode(t, "fast", 0, 1, nil, nil)
	slow := startEngineNode(t, "slow", 2, testLayers-1, nil, func(o *standin.EngineOptions) { o.Timing.PerStep = slowStep })
	_, _, err := collectTokens(context.Background(), newClient(t), newGenerateRequest("s", 1, promptOfLength(20), 5, fast, slow), nil)
	assert.NilError(t, err)
	step := func(n *testNode) time.Duration {
		return time.Duration(n.agent.buildReport().InterTokenUsP50) * time.Microsecond
	}
	assert.Assert(t, step(slow) >= slowStep, "slow stage reports %s", step(slow))
	assert.Assert(t, step(fast) > 0 && step(fast) < slowStep, "fast head reports %s", step(fast))
	assert.Assert(t, slow.agent.buildReport().FirstTokenMsP50 >= uint32(slowStep/time.Millisecond))
}
