package agent

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func newService() *standin.Service {
	return standin.NewService(standin.ServiceOptions{Name: "s", Services: []string{"pay"}, Slots: 16})
}

func newCall(id, key string) *wirepb.CallRequest {
	return &wirepb.CallRequest{
		RequestId: id, Organisation: "o", Rank: wirepb.Rank_RANK_URGENT, DeadlineMs: 400, Service: "pay",
		Method: "POST", Path: "/orders?x=1", Body: []byte("one net"), IdempotencyKey: key, KeyCreatedUnixMs: 1,
	}
}

func shortClaimTimeouts(s *Settings) {
	s.ClaimTimeout = 100 * time.Millisecond
	s.DefaultServiceTimeout = time.Second
}

// executionOf returns how often the key ran and the ids of the requests that
// ran it.
func executionOf(s *standin.Service, key string) standin.Execution {
	for _, e := range s.Records().Executions {
		if e.Key == key {
			return e
		}
	}
	return standin.Execution{}
}

// checkCall sends a call and asserts that its key ran at most once and that an
// outcome of answered or not_run is correct. An outcome of not_run is wrong if
// the key ran before the call began or ran for this request. A concurrent
// request may still run the key later.
func checkCall(t *testing.T, c *client.Client, n *testNode, service *standin.Service, id, key string) {
	t.Helper()
	before := executionOf(service, key)
	answer, err := c.Call(context.Background(), n.agent.Address(), newCall(id, key))
	after := executionOf(service, key)
	assert.Check(t, after.Count <= 1, "key %s ran %d times", key, after.Count)
	if err == nil {
		assert.Check(t, after.Count == 1, "answered but never ran")
		assert.Check(t, strings.Contains(string(answer.Body), `"body":"one net"`), "%s", answer.Body)
		return
	}
	if fault.As(err).Outcome == fault.NotRun {
		assert.Check(t, before.Count == 0, "not_run but ran before the call: %v", err)
		assert.Check(t, !slices.Contains(after.RequestIDs, id), "not_run but ran: %v", err)
	}
}

// A call must not run twice, report not_run after it ran, or return a wrong
// answer, whichever answers of control and of the service are lost, late or
// wrong. Every call is retried through a second agent, also while the first
// attempt runs.
func TestCall_AtMostOnceUnderFaults(t *testing.T) {
	services := map[string]standin.Faults{
		"good":  {},
		"late":  {Answer: standin.AnswerLate, AnswerDelayMs: 600},
		"twice": {Answer: standin.AnswerTwice},
		"other": {Answer: standin.AnswerOtherID},
		"drop":  {Answer: standin.AnswerDrop},
	}
	for name, faults := range services {
		for _, lost := range []string{"none", "claim", "resolve", "release", "read", "all"} {
			t.Run(name+"/"+lost, func(t *testing.T) {
				t.Parallel()
				fake := newFakeControl()
				left := 2
				fake.loseAnswer = func(op string) bool {
					if left == 0 || (op != lost && lost != "all") {
						return false
					}
					left--
					return true
				}
				service := newService()
				service.SetFaults(faults)
				n := startServiceNode(t, "a", fake, shortClaimTimeouts, service)
				other := startAgent(t, "b", fake, shortClaimTimeouts)
				announce(t, other, n.server.Address())
				c := newClient(t)
				var wg sync.WaitGroup
				for i, target := range []*testNode{n, other, n, other} {
					wg.Add(1)
					go func() {
						defer wg.Done()
						checkCall(t, c, target, service, fmt.Sprint("r", i), "k")
					}()
				}
				wg.Wait()
				waitFor(t, "the end of background work", func() bool {
					return n.agent.lifecycle.InFlight() == 0 && other.agent.lifecycle.InFlight() == 0
				})
				checkCall(t, c, n, service, "again", "k")
			})
		}
	}
}

// The entry disconnects and control is unreachable while the call runs. The
// call must run once, its outcome must be recorded, and a retry must receive
// the recorded answer.
func TestCall_OutcomeRecordedWithoutEntry(t *testing.T) {
	service := newService()
	service.SetFaults(standin.Faults{Answer: standin.AnswerLate, AnswerDelayMs: 150})
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, nil, service)
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, n.agent.Address(), newCall("r1", "k"))
		ended <- err
	}()
	waitFor(t, "execution", func() bool { return service.Records().Calls == 1 })
	fake.set(func() { fake.unreachable = true })
	cancel()
	assert.Equal(t, fault.As(<-ended).Outcome, fault.MayHaveRun)
	n.stop() // the drain must wait until the outcome is recorded
	time.AfterFunc(300*time.Millisecond, func() { fake.set(func() { fake.unreachable = false }) })
	assert.NilError(t, <-n.ended)
	assert.Equal(t, fake.resolves, 1)
	resend := startAgent(t, "b", fake, nil)
	announce(t, resend, n.server.Address())
	answer, err := c.Call(context.Background(), resend.agent.Address(), newCall("r2", "k"))
	assert.NilError(t, err)
	assert.Assert(t, answer.Replayed)
	assert.Equal(t, answer.RequestId, "r2")
	assert.Equal(t, service.Records().Calls, 1)
}

// An agent that is closed at any step of a claimed call must not cause a second
// run.
func TestCall_AgentKilledAtAnyStepRunsAtMostOnce(t *testing.T) {
	for _, step := range []string{"claim", "dispatch", "resolve"} {
		t.Run(step, func(t *testing.T) {
			service := newService()
			fake := newFakeControl()
			n := startServiceNode(t, "a", fake, shortClaimTimeouts, service)
			kill := make(chan struct{})
			var once sync.Once
			die := func() { once.Do(func() { close(kill) }) }
			fake.loseAnswer = func(op string) bool {
				if op == step {
					die()
					return true
				}
				return false
			}
			if step == "dispatch" {
				service.SetFaults(standin.Faults{Answer: standin.AnswerLate, AnswerDelayMs: 200})
			}
			c := newClient(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				checkCall(t, c, n, service, "r1", "k")
			}()
			if step == "dispatch" {
				waitFor(t, "execution", func() bool { return service.Records().Calls == 1 })
				die()
			}
			<-kill
			go n.agent.Close()
			<-ended
			fake.set(func() { fake.loseAnswer = func(string) bool { return false } })
			next := startAgent(t, "a", fake, shortClaimTimeouts)
			announce(t, next, n.server.Address())
			checkCall(t, c, next, service, "r2", "k")
		})
	}
}

// A refused call may report not_run only if no earlier attempt can have run the
// key. Checked for each reason to refuse and each state of the claim.
func TestCall_RefusalIsNotRunOnlyIfClaimIsAbsent(t *testing.T) {
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, shortClaimTimeouts, newService())
	c := newClient(t)
	refusals := map[string]func(*wirepb.CallRequest){
		"stale":   func(*wirepb.CallRequest) { fake.set(func() { fake.stale = true }) },
		"service": func(r *wirepb.CallRequest) { r.Service = "other" },
	}
	for name, prepare := range refusals {
		for _, state := range []string{"absent", "pending", "answered", "cut"} {
			r := newCall("r", name+state)
			prepare(r)
			claim := n.agent.claimRequestFor(r)
			if state == "pending" || state == "answered" {
				_, _ = fake.Claim(context.Background(), claim)
			}
			if state == "answered" {
				_, _ = fake.Resolve(context.Background(), &wirepb.ClaimResolve{Claim: claim, Response: &wirepb.CallResponse{Status: 201}})
			}
			fake.set(func() { fake.unreachable = state == "cut" })
			answer, err := c.Call(context.Background(), n.agent.Address(), r)
			fake.set(func() { fake.unreachable, fake.stale = false, false })
			switch state {
			case "answered":
				assert.NilError(t, err)
				assert.Equal(t, answer.Status, uint32(201))
			case "absent":
				assert.Equal(t, fault.As(err).Outcome, fault.NotRun, "%s %s: %v", name, state, err)
			default:
				assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun, "%s %s: %v", name, state, err)
			}
		}
	}
	assert.Equal(t, n.service.Records().Calls, 0)
}

// Retries of a key whose first attempt has no outcome must not keep other keys
// from running.
func TestCall_PendingKeyDoesNotBlockOthers(t *testing.T) {
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, func(s *Settings) { s.MaxPendingClaims = 2 }, newService())
	c := newClient(t)
	stuck := newCall("stuck", "stuck")
	_, _ = fake.Claim(context.Background(), n.agent.claimRequestFor(stuck))
	stuck.DeadlineMs = 60_000
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := c.Call(ctx, n.agent.Address(), stuck)
			assert.Check(t, err != nil, "resend %d", i)
		}()
		waitFor(t, "a waiting resend", func() bool {
			return n.agent.lifecycle.InFlight() == i+1 && len(n.agent.pendingClaims) == 0 && n.agent.queue.load().Running == 0
		})
	}
	_, err := c.Call(context.Background(), n.agent.Address(), newCall("r", "k"))
	assert.NilError(t, err)
	cancel()
	wg.Wait()
	waitFor(t, "the end of the resends", func() bool { return n.agent.lifecycle.InFlight() == 0 })
}

// A call whose connection the service refused never ran, so its outcome must be
// not_run rather than unknown.
func TestCall_RefusedConnectionIsNotRun(t *testing.T) {
	fake := newFakeControl()
	n := startAgent(t, "a", fake, shortClaimTimeouts)
	ln := listen(t)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	announce(t, n, address)
	c := newClient(t)
	_, err := c.Call(context.Background(), n.agent.Address(), newCall("r", "k"))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun, "%v", err)
	assert.Equal(t, len(fake.claims), 0)
	assert.Assert(t, n.agent.upstream.currentUpstream() == nil, "a service that refuses connections must be withdrawn")
}

// After an operator has settled a claim as run, the key must not run again and
// callers must be told that it ran: a retry, a caller that is already waiting,
// and a call that the agent refuses.
func TestCall_SettledClaimReturnsAnswerLost(t *testing.T) {
	service := newService()
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, shortClaimTimeouts, service)
	c := newClient(t)
	id := "o/pay/k"
	lost := &fakeClaim{attempt: "lost", digest: string(requestDigest(newCall("", "k")))}
	fake.set(func() { fake.claims[id] = lost })
	send := func(request string) error {
		req := newCall(request, "k")
		req.DeadlineMs = 10_000
		_, err := c.Call(context.Background(), n.agent.Address(), req)
		return err
	}
	check := func(err error) {
		t.Helper()
		assert.Assert(t, fault.Is(err, fault.AnswerLost), "%v", err)
		assert.Equal(t, fault.As(err).Outcome, fault.Answered)
	}
	waiting := make(chan error, 1)
	go func() { waiting <- send("r1") }()
	waitFor(t, "the call", func() bool { return n.agent.lifecycle.InFlight() == 1 })
	fake.set(func() { lost.settled = true })
	check(<-waiting)
	check(send("r2"))
	n.agent.upstream.setDraining(true)
	check(send("r3"))
	assert.Equal(t, executionOf(service, "k").Count, 0)
}

// An order must not run after a newer one, nor before the agent has learnt the
// highest epoch after a restart.
func TestOrders_OlderEpochIsRefused(t *testing.T) {
	n := startEngineNode(t, "a", 0, testLayers-1, nil, func(o *standin.EngineOptions) { o.ChecksFencing = false })
	n.control.set(func() { n.control.orders = control.OrderState{OrderEpoch: 5} })
	send := func(epoch uint64) fault.Kind {
		r := n.agent.orders.executeOrder(&wirepb.Order{Id: fmt.Sprint(epoch), Epoch: epoch, Action: "load_model"})
		return fault.KindOf(errorFromWire(r.Error))
	}
	assert.Equal(t, send(6), fault.Unavailable)
	n.control.set(func() { n.control.orders.Known = true })
	assert.Equal(t, send(4), fault.StaleEpoch)
	assert.Equal(t, send(7), fault.Kind(""))
	assert.Equal(t, send(6), fault.StaleEpoch)
	n.engine.SetFaults(standin.Faults{Freeze: true})
	n.agent.settings.OrderAnswerTimeout = 50 * time.Millisecond
	assert.Equal(t, send(8), fault.Deadline)
	assert.Equal(t, send(9), fault.Unavailable) // order 8 may still be running
	assert.Equal(t, send(8), fault.StaleEpoch)
	n.engine.SetFaults(standin.Faults{})
	waitFor(t, "order 8", func() bool { return len(n.engine.Records().Orders) == 2 })
	waitFor(t, "order 9", func() bool { return send(9) == "" })
	var epochs []uint64
	for _, o := range n.engine.Records().Orders {
		epochs = append(epochs, o.Epoch)
	}
	assert.DeepEqual(t, epochs, []uint64{7, 8, 9})
}

func errorFromWire(w *wirepb.Error) error {
	if w == nil {
		return nil
	}
	return fault.FromWire(w)
}

func prefixRange(first uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}
	return out
}

// Sequence numbers of load reports must be consecutive for each watcher. Cache
// events must not be applied twice or restore an evicted prefix, and the
// prefixes of a used prompt must stay in the report when newer prefixes are
// cached.
func TestReport_ConsecutiveSequencesAndCurrentPrefixes(t *testing.T) {
	n := startEngineNode(t, "a", 0, testLayers-1, nil, nil)
	c := newClient(t)
	n.agent.upstream.HandleCacheEvents(&upstreams.CacheEvents{Sequence: 1 << 40, Events: []upstreams.CacheEvent{
		{Action: upstreams.CacheStored, Prefix: 1}, {Action: upstreams.CacheStored, Prefix: 2}, {Action: upstreams.CacheEvicted, Prefix: 1},
	}})
	n.agent.upstream.HandleCacheEvents(&upstreams.CacheEvents{Sequence: 1 << 40, Events: []upstreams.CacheEvent{{Action: upstreams.CacheStored, Prefix: 1}}})
	shared := prefixRange(1000, 100)
	set := newPrefixSet(maxCachedPrefixes)
	store := func(sequence uint64, hashes []uint64) {
		for i, h := range hashes {
			set.apply(&upstreams.CacheEvents{Sequence: sequence + uint64(i), Events: []upstreams.CacheEvent{{Action: upstreams.CacheStored, Prefix: h}}})
		}
	}
	store(0, shared)
	set.noteUsed(shared)
	store(100, prefixRange(2000, 100)) // another prompt, cached later
	report := set.report(maxReportedPrefixes)
	assert.Equal(t, len(report), maxReportedPrefixes)
	assert.DeepEqual(t, report[:8], []uint64{1063, 1031, 1015, 1007, 1003, 1001, 1000, 1099})
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		next := uint64(1)
		_ = c.WatchLoad(ctx, n.agent.Address(), func(r *wirepb.LoadReport) {
			assert.Equal(t, r.Sequence, next)
			assert.Equal(t, r.Host, "a")
			assert.Equal(t, r.Slots, uint32(16))
			assert.DeepEqual(t, r.Prefixes, []uint64{2})
			if next++; next == 4 {
				cancel()
			}
		})
		cancel()
		assert.Equal(t, next, uint64(4))
	}
}
