package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/ctl"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func organisationEntry(name string, weight uint32) operators.Entry {
	return operators.Entry{Value: &wirepb.Entry{
		Kind: "organisation", Name: name, Owner: "test", Class: "standard",
		Organisation: &wirepb.OrganisationSpec{Weight: weight},
	}}
}

// applyConcurrently lets several operators apply changes concurrently, in the given
// number of rounds. Each change is based on the revision that the operator has read
// before. It returns the number of accepted changes.
func applyConcurrently(ctx context.Context, t *testing.T, d *local.Deployment, operatorCount, rounds int) int {
	t.Helper()
	var mu sync.Mutex
	accepted := map[uint64]string{}
	var wg sync.WaitGroup
	for o := range operatorCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for round := range rounds {
				revision, err := applyChange(ctx, d, fmt.Sprintf("o%d", o), uint32(round+1))
				if fault.Is(err, fault.Conflict) {
					continue
				}
				if err != nil {
					t.Logf("operator %d round %d: %v", o, round, err)
					continue
				}
				mu.Lock()
				who := fmt.Sprintf("operator %d round %d", o, round)
				if other, taken := accepted[revision]; taken {
					t.Errorf("revision %d was given to %s and %s", revision, other, who)
				}
				accepted[revision] = who
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return len(accepted)
}

func applyChange(ctx context.Context, d *local.Deployment, name string, weight uint32) (uint64, error) {
	current, err := d.Admin().Catalogue(ctx, nil)
	if err != nil {
		return 0, err
	}
	reply, err := d.Admin().Apply(ctx, &operators.ChangeRequest{
		BaseRevision: current.Revision, Put: []operators.Entry{organisationEntry(name, weight)},
	})
	if err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

// Guards against two changes that are accepted for the same revision, changes that
// are lost or reverted when control replicas are killed and restarted, and a
// change that does not take effect on every watcher within 5 s.
func TestCatalogue_RacingOperatorsUnderKills(t *testing.T) {
	d, ctx := launch(t, nil)
	before, err := d.Admin().Catalogue(ctx, nil)
	assert.NilError(t, err)
	stop := make(chan struct{})
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond): // interval between two kills
			}
			c := d.Controls[i%len(d.Controls)]
			c.Kill()
			if err := c.Start(); err != nil {
				t.Error(err)
			}
		}
	}()
	accepted := applyConcurrently(ctx, t, d, 4, 40)
	close(stop)
	<-killed
	assert.Assert(t, accepted > 0)
	last, err := d.Admin().Catalogue(ctx, nil)
	assert.NilError(t, err)
	assert.Assert(t, last.Revision >= before.Revision+uint64(accepted))
	reply, err := d.Admin().Apply(ctx, &operators.ChangeRequest{
		BaseRevision: last.Revision, Wait: true, WaitMs: 5000, Put: []operators.Entry{organisationEntry("last", 1)},
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.Confirmation.Confirmed, "%+v", reply.Confirmation)
	t.Logf("accepted %d changes; the last was in force on %d watchers after %d ms",
		accepted, reply.Confirmation.Watchers, reply.Confirmation.ElapsedMs)
}

// Guards against a resent change that is applied twice, or rejected after the
// leader that accepted it was killed.
func TestCatalogue_ResendGetsFirstOutcome(t *testing.T) {
	d, ctx := launch(t, nil)
	current, err := d.Admin().Catalogue(ctx, nil)
	assert.NilError(t, err)
	req := &operators.ChangeRequest{
		BaseRevision: current.Revision, RequestID: "resent", Put: []operators.Entry{organisationEntry("once", 3)},
	}
	first, err := d.Admin().Apply(ctx, req)
	assert.NilError(t, err)
	for _, c := range d.Controls {
		c.Kill()
		assert.NilError(t, c.Start())
		again, err := d.Admin().Apply(ctx, req)
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, first.Revision)
	}
}

// Guards against an upstream that still gets new work 3 s after its engine was
// stopped.
func TestUpstream_LeavingGetsNoNewWork(t *testing.T) {
	d, ctx := launch(t, nil)
	left := d.Upstreams[0]
	assert.NilError(t, left.Standin.Stop(10*time.Second))
	time.Sleep(leaveLimit)
	checkSomeChats(ctx, t, d, "after the leave")
}

// leaveLimit is the time within which an upstream that leaves must stop getting
// new work.
const leaveLimit = 3 * time.Second

// checkSomeChats sends 20 chats through the entries in turn and verifies the
// answers.
func checkSomeChats(ctx context.Context, t *testing.T, d *local.Deployment, about string) {
	t.Helper()
	for i := range 20 {
		content := fmt.Sprintf("%s %d", about, i)
		text, err := chat(ctx, d, i%len(d.Entries), content, 4, nil)
		assert.NilError(t, err)
		assert.Equal(t, text, reference(d.Plan, content, 4))
	}
}

// Guards against a drained upstream that gets new work while its engine still
// runs.
func TestUpstream_DrainedGetsNoNewWork(t *testing.T) {
	d, ctx := launch(t, nil)
	checkSomeChats(ctx, t, d, "before the drain")
	drained := d.Upstreams[0]
	_, err := d.Admin().Drain(ctx, drained.Host, operators.DrainRequest{})
	assert.NilError(t, err)
	time.Sleep(leaveLimit)
	before := len(standinRecords(t, drained).Layers)
	checkSomeChats(ctx, t, d, "after the drain")
	assert.Equal(t, len(standinRecords(t, drained).Layers), before)
	_, err = d.Admin().Order(ctx, &operators.OrderRequest{
		Host: drained.Host, Order: operators.Order{Value: &wirepb.Order{Action: "resume"}},
	})
	assert.NilError(t, err)
	assert.NilError(t, local.WaitUntil(ctx, "the resumed upstream", hasState(ctx, d, drained.Host, "serving")))
	time.Sleep(time.Second)      // longer than entries take to learn of the resumption
	const chats, tokens = 40, 30 // far more chats than one head engine has slots, so that both head engines are needed
	checkChats(t, d, startChats(ctx, d, chats, tokens, func() {}), chats, tokens)
	assert.Assert(t, len(standinRecords(t, drained).Layers) > before, "the resumed upstream gets no work")
}

// hasState returns a condition for local.WaitUntil that holds when the upstream has the
// given state in the registry.
func hasState(ctx context.Context, d *local.Deployment, host, state string) func() error {
	return func() error {
		status, err := d.Admin().Status(ctx)
		if err != nil {
			return err
		}
		for _, u := range status.Upstreams {
			if u.Announcement.Value.GetHost() == host && u.State == state {
				return nil
			}
		}
		return fault.New(fault.Unavailable, "%s is not %s", host, state)
	}
}

// Guards against a drain that ends when the agent restarts although the operator
// has not resumed the host.
func TestUpstream_DrainHoldsOverRestart(t *testing.T) {
	d, ctx := launch(t, nil)
	c := newCommandLine(t, d)
	drained := d.Upstreams[0]
	_, code := c.run("drain", drained.Host)
	assert.Equal(t, code, ctl.ExitOK)
	time.Sleep(leaveLimit)
	before := len(standinRecords(t, drained).Layers)
	drained.Agent.Kill()
	unregistered := func() error {
		if out, _ := c.run("status"); !strings.Contains(out, "drained and not registered: "+drained.Host) {
			return fault.New(fault.Unavailable, "status without the drained host: %s", out)
		}
		return nil
	}
	assert.NilError(t, local.WaitUntil(ctx, "the lease to pass", unregistered))
	assert.NilError(t, drained.Agent.Start())
	for deadline := time.Now().Add(leaveLimit); time.Now().Before(deadline); {
		checkSomeChats(ctx, t, d, "across the restart")
	}
	assert.NilError(t, local.WaitUntil(ctx, "the drained upstream", hasState(ctx, d, drained.Host, "draining")))
	checkSomeChats(ctx, t, d, "after the restart")
	assert.Equal(t, len(standinRecords(t, drained).Layers), before)
	_, code = c.run("order", drained.Host, "resume")
	assert.Equal(t, code, ctl.ExitOK)
	assert.NilError(t, local.WaitUntil(ctx, "the resumed upstream", hasState(ctx, d, drained.Host, "serving")))
	time.Sleep(time.Second) // longer than entries take to learn of the resumption
	const chats, tokens = 40, 30
	checkChats(t, d, startChats(ctx, d, chats, tokens, func() {}), chats, tokens)
	assert.Assert(t, len(standinRecords(t, drained).Layers) > before, "the resumed upstream gets no work")
}

// Guards against an upstream that is not registered again after it was suspended
// for longer than its lease.
func TestUpstream_ReturnsAfterFreeze(t *testing.T) {
	d, ctx := launch(t, nil)
	resumed := make(chan struct{})
	go func() {
		defer close(resumed)
		suspendFor(t, d.Upstreams[0].Agent, 2500*time.Millisecond)
	}()
	unregistered := func() error {
		status, err := d.Admin().Status(ctx)
		if err != nil || len(status.Upstreams) == len(d.Upstreams) {
			return fault.New(fault.Unavailable, "the upstream is still registered: %v", err)
		}
		return nil
	}
	assert.NilError(t, local.WaitUntil(ctx, "the lease to pass", unregistered))
	<-resumed
	assert.NilError(t, d.WaitReady(ctx))
}
