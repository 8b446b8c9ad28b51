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

func call(id, key string) *wirepb.CallRequest {
	return &wirepb.CallRequest{
		RequestId: id, Organisation: "o", Rank: wirepb.Rank_RANK_URGENT, DeadlineMs: 400, Service: "pay",
		Method: "POST", Path: "/orders?x=1", Body: []byte("one net"), IdempotencyKey: key, KeyCreatedUnixMs: 1,
	}
}

func quickClaims(s *Settings) {
	s.ClaimTimeout = 100 * time.Millisecond
	s.ServiceTimeout = time.Second
}

// execution returns how often the key ran and the requests that ran it.
func execution(s *standin.Service, key string) standin.Execution {
	for _, e := range s.Records().Executions {
		if e.Key == key {
			return e
		}
	}
	return standin.Execution{}
}

// checkedCall sends a call and asserts that its key ran at most once and that
// an outcome of answered or not_run is true. An outcome of not_run holds at
// some moment of the call: it is false when the key ran before the call began
// or ran for this very request. A concurrent request may run the key later.
func checkedCall(t *testing.T, c *client.Client, n *node, service *standin.Service, id, key string) {
	t.Helper()
	before := execution(service, key)
	answer, err := c.Call(context.Background(), n.agent.Address(), call(id, key))
	after := execution(service, key)
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

// Guards against a call that runs twice, a false not_run and a false answer,
// whichever answers of control and of the service are lost or wrong. Every
// call is sent again through a second agent, also while the first one runs.
func TestCall_AtMostOnceUnderFaults(t *testing.T) {
	services := map[string]standin.Faults{
		"good":  {},
		"late":  {Answer: standin.AnswerLate, AnswerDelayMS: 600},
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
				fake.lose = func(op string) bool {
					if left == 0 || (op != lost && lost != "all") {
						return false
					}
					left--
					return true
				}
				service := newService()
				service.SetFaults(faults)
				n := startServiceNode(t, "a", fake, quickClaims, service)
				other := startAgent(t, "b", fake, quickClaims)
				announce(t, other, n.server.Address())
				c := newClient(t)
				var wg sync.WaitGroup
				for i, target := range []*node{n, other, n, other} {
					wg.Add(1)
					go func() {
						defer wg.Done()
						checkedCall(t, c, target, service, fmt.Sprint("r", i), "k")
					}()
				}
				wg.Wait()
				waitFor(t, "the end of background work", func() bool {
					return n.agent.lifecycle.InFlight() == 0 && other.agent.lifecycle.InFlight() == 0
				})
				checkedCall(t, c, n, service, "again", "k")
			})
		}
	}
}

// Guards against work that stops, or runs again, when the entry that asked for
// it is gone: the outcome must be recorded and reach a resend.
func TestCall_OutcomeRecordedWithoutEntry(t *testing.T) {
	service := newService()
	service.SetFaults(standin.Faults{Answer: standin.AnswerLate, AnswerDelayMS: 150})
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, nil, service)
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, n.agent.Address(), call("r1", "k"))
		ended <- err
	}()
	waitFor(t, "execution", func() bool { return service.Records().Calls == 1 })
	fake.set(func() { fake.cut = true })
	cancel()
	assert.Equal(t, fault.As(<-ended).Outcome, fault.MayHaveRun)
	n.stop() // a drain must wait for the record
	time.AfterFunc(300*time.Millisecond, func() { fake.set(func() { fake.cut = false }) })
	assert.NilError(t, <-n.ended)
	assert.Equal(t, fake.resolves, 1)
	resend := startAgent(t, "b", fake, nil)
	announce(t, resend, n.server.Address())
	answer, err := c.Call(context.Background(), resend.agent.Address(), call("r2", "k"))
	assert.NilError(t, err)
	assert.Assert(t, answer.Replayed)
	assert.Equal(t, answer.RequestId, "r2")
	assert.Equal(t, service.Records().Calls, 1)
}

// Guards against a second run after the death of an agent at any step of a
// claimed call.
func TestCall_AgentKilledAtEachStep(t *testing.T) {
	for _, step := range []string{"claim", "dispatch", "resolve"} {
		t.Run(step, func(t *testing.T) {
			service := newService()
			fake := newFakeControl()
			n := startServiceNode(t, "a", fake, quickClaims, service)
			kill := make(chan struct{})
			var once sync.Once
			die := func() { once.Do(func() { close(kill) }) }
			fake.lose = func(op string) bool {
				if op == step {
					die()
					return true
				}
				return false
			}
			if step == "dispatch" {
				service.SetFaults(standin.Faults{Answer: standin.AnswerLate, AnswerDelayMS: 200})
			}
			c := newClient(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				checkedCall(t, c, n, service, "r1", "k")
			}()
			if step == "dispatch" {
				waitFor(t, "execution", func() bool { return service.Records().Calls == 1 })
				die()
			}
			<-kill
			go n.agent.Close()
			<-ended
			fake.set(func() { fake.lose = func(string) bool { return false } })
			next := startAgent(t, "a", fake, quickClaims)
			announce(t, next, n.server.Address())
			checkedCall(t, c, next, service, "r2", "k")
		})
	}
}

// Guards against a refusal that says not_run of a key that an earlier attempt
// may have run, for each reason to refuse.
func TestCall_RefusalReadsClaim(t *testing.T) {
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, quickClaims, newService())
	c := newClient(t)
	refusals := map[string]func(*wirepb.CallRequest){
		"stale":   func(*wirepb.CallRequest) { fake.set(func() { fake.stale = true }) },
		"service": func(r *wirepb.CallRequest) { r.Service = "other" },
	}
	for name, prepare := range refusals {
		for _, state := range []string{"absent", "pending", "answered", "cut"} {
			r := call("r", name+state)
			prepare(r)
			claim := n.agent.claimOf(r)
			if state == "pending" || state == "answered" {
				_, _ = fake.Claim(context.Background(), claim)
			}
			if state == "answered" {
				_, _ = fake.Resolve(context.Background(), &wirepb.ClaimResolve{Claim: claim, Response: &wirepb.CallResponse{Status: 201}})
			}
			fake.set(func() { fake.cut = state == "cut" })
			answer, err := c.Call(context.Background(), n.agent.Address(), r)
			fake.set(func() { fake.cut, fake.stale = false, false })
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

// Guards against resends of a key without an outcome that keep other keys from
// running.
func TestCall_PendingKeyDoesNotBlockOthers(t *testing.T) {
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, func(s *Settings) { s.MaxPendingClaims = 2 }, newService())
	c := newClient(t)
	stuck := call("stuck", "stuck")
	_, _ = fake.Claim(context.Background(), n.agent.claimOf(stuck))
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
			return n.agent.lifecycle.InFlight() == i+1 && len(n.agent.pending) == 0 && n.agent.queue.load().Running == 0
		})
	}
	_, err := c.Call(context.Background(), n.agent.Address(), call("r", "k"))
	assert.NilError(t, err)
	cancel()
	wg.Wait()
	waitFor(t, "the end of the resends", func() bool { return n.agent.lifecycle.InFlight() == 0 })
}

// Guards against an outcome of unknown for a call that provably never reached
// the service.
func TestCall_RefusedConnectionIsNotRun(t *testing.T) {
	fake := newFakeControl()
	n := startAgent(t, "a", fake, quickClaims)
	ln := listen(t)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	announce(t, n, address)
	c := newClient(t)
	_, err := c.Call(context.Background(), n.agent.Address(), call("r", "k"))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun, "%v", err)
	assert.Equal(t, len(fake.claims), 0)
	assert.Assert(t, n.agent.upstream.view() == nil, "a service that refuses connections must be withdrawn")
}

// Guards against a key that runs again, or whose caller is not told that it
// ran, after an operator has settled its claim: for a resend, for a caller that
// already waits and for a call that the agent refuses.
func TestCall_SettledAsRun(t *testing.T) {
	service := newService()
	fake := newFakeControl()
	n := startServiceNode(t, "a", fake, quickClaims, service)
	c := newClient(t)
	id := "o/pay/k"
	lost := &fakeClaim{attempt: "lost", digest: string(requestDigest(call("", "k")))}
	fake.set(func() { fake.claims[id] = lost })
	send := func(request string) error {
		req := call(request, "k")
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
	n.agent.upstream.drain(true)
	check(send("r3"))
	assert.Equal(t, execution(service, "k").Count, 0)
}

// Guards against an order that follows a newer one, and against orders before
// the highest epoch is known after a restart.
func TestOrders_Fenced(t *testing.T) {
	n := startEngineNode(t, "a", 0, testLayers-1, nil, func(o *standin.EngineOptions) { o.ChecksFencing = false })
	n.control.set(func() { n.control.orders = control.Orders{Epoch: 5} })
	send := func(epoch uint64) fault.Kind {
		r := n.agent.orders.carryOut(&wirepb.Order{Id: fmt.Sprint(epoch), Epoch: epoch, Action: "load_model"})
		return fault.KindOf(asError(r.Error))
	}
	assert.Equal(t, send(6), fault.Unavailable)
	n.control.set(func() { n.control.orders.Known = true })
	assert.Equal(t, send(4), fault.StaleEpoch)
	assert.Equal(t, send(7), fault.Kind(""))
	assert.Equal(t, send(6), fault.StaleEpoch)
	n.engine.SetFaults(standin.Faults{Freeze: true})
	n.agent.set.OrderTimeout = 50 * time.Millisecond
	assert.Equal(t, send(8), fault.Deadline)
	assert.Equal(t, send(9), fault.Unavailable) // order 8 may still be carried out
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

func asError(w *wirepb.Error) error {
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

// Guards against load reports with gaps in their numbers, against cache events
// that are applied twice or bring back an evicted prefix, and against the
// prefixes of a used prompt that disappear behind newer ones.
func TestReport_SequencePerWatcher(t *testing.T) {
	n := startEngineNode(t, "a", 0, testLayers-1, nil, nil)
	c := newClient(t)
	n.agent.upstream.HandleCacheEvents(&upstreams.CacheEvents{Sequence: 1 << 40, Events: []upstreams.CacheEvent{
		{Action: upstreams.CacheStored, Prefix: 1}, {Action: upstreams.CacheStored, Prefix: 2}, {Action: upstreams.CacheEvicted, Prefix: 1},
	}})
	n.agent.upstream.HandleCacheEvents(&upstreams.CacheEvents{Sequence: 1 << 40, Events: []upstreams.CacheEvent{{Action: upstreams.CacheStored, Prefix: 1}}})
	shared := prefixRange(1000, 100)
	set := newPrefixSet(maxKnownPrefixes)
	store := func(sequence uint64, hashes []uint64) {
		for i, h := range hashes {
			set.apply(&upstreams.CacheEvents{Sequence: sequence + uint64(i), Events: []upstreams.CacheEvent{{Action: upstreams.CacheStored, Prefix: h}}})
		}
	}
	store(0, shared)
	set.use(shared)
	store(100, prefixRange(2000, 100)) // another prompt, stored later
	report := set.report(reportedPrefixes)
	assert.Equal(t, len(report), reportedPrefixes)
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
