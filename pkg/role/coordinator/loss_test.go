package coordinator

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/suspicion"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

type reportDialect struct{ instances.Dialect }

func (reportDialect) ReportCall() instances.Call { return instances.Call{Method: "GET", Target: "/"} }

// leaderOf returns a leader that knows an engine with the id e at an address.
func leaderOf(t *testing.T, address string) *Coordinator {
	c := &Coordinator{ctx: t.Context(), registry: registry.New(), polls: map[string]*pollState{"e": {}}, checks: suspicion.NewChecks(), metrics: newMetrics(),
		ownerCalls: make(chan func(), 8), stepRequested: make(chan struct{}, 1)}
	c.engines = instances.NewEngineClient(instances.NewPool(reportDialect{}, func() {}), reportDialect{}, nil)
	c.watchers.init()
	c.registry.Announce(time.Now(), &wirepb.Instance{Id: "e", BornUnixMs: 2, Sequence: 1, Address: address})
	return c
}

// Guards against an engine that refuses connections and becomes suspect only with the next
// usual poll, a report that makes an engine suspect by itself, polls for reports of other
// processes, and a suspicion that waits with other changes for the next update.
func TestRecordLossReport_PollsAndMarksRefusingEngine(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close()) // connections are refused from now on
	c := leaderOf(t, ln.Addr().String())
	report := func(id string, startUnixMs int64) {
		c.recordLossReport(time.Now(), &wirepb.LossReport{Losses: []*wirepb.EngineLoss{{InstanceId: id, BornUnixMs: startUnixMs}}})
	}
	report("e", 1)
	report("unknown", 0)
	assert.Equal(t, c.metrics.shortPolls.Get(), uint64(0))
	changed, urgent := c.watchers.nextChange()
	report("e", 2)
	assert.Assert(t, !c.registry.Get("e").GetSuspect(), "the report alone made the engine suspect")
	(<-c.ownerCalls)()
	assert.Assert(t, c.registry.Get("e").GetSuspect() && c.metrics.reportedSuspects.Get() == 1)
	shortest := time.Hour
	for range 10 { // a busy host may delay some of them
		started := time.Now()
		assert.Assert(t, c.waitForChange(changed, urgent))
		shortest = min(shortest, time.Since(started))
	}
	assert.Assert(t, shortest < minUpdateSpacing, "%s", shortest)
}

// Guards against an engine that becomes suspect by one lost packet or by an answer that is no
// report.
func TestHandleShortPoll_OneMissMarksNothing(t *testing.T) {
	c, now := leaderOf(t, "10.0.0.1:80"), time.Now()
	in := c.registry.Get("e")
	for i, kind := range []fault.Kind{fault.Deadline, fault.Upstream, fault.Deadline, fault.Unavailable} {
		c.checks.Report(now, checkedProcess(in))
		now = now.Add(time.Second)
		assert.Equal(t, len(c.checks.Due(now)), 1)
		c.handleShortPoll(now, in, instances.EngineState{}, fault.New(kind, "x"), suspicion.Missed)
		assert.Equal(t, c.registry.Get("e").GetSuspect(), i == 3, "after poll %d", i)
	}
}
