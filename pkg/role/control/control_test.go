package control

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a wait that returns before watchers of other replicas apply
// the change, and against entries that are counted by one replica only.
func TestApply_WaitsForWatchersOfAllReplicas(t *testing.T) {
	c := startCluster(t, 3)
	const entries = 6
	for i := range entries {
		c.run(c.client(roleEntry, fmt.Sprintf("e%d", i)))
	}
	c.waitUntil("all entries counted everywhere", func() bool {
		for _, m := range c.replicas {
			if m.liveEntries() != entries {
				return false
			}
		}
		return true
	})
	req := changeRequest(0, "first", "o")
	req.Wait = true
	reply, err := c.replicas[0].Apply(background(t), "ann", req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(1))
	assert.Assert(t, reply.Confirmation.Confirmed, "%+v", reply.Confirmation)
	assert.Equal(t, reply.Confirmation.Watchers, entries)
	for _, m := range c.replicas {
		assert.Equal(t, m.watchers.progress(1).LaggingTotal, uint32(0))
	}
}

// Guards against two operators whose changes are both accepted on the same
// base revision.
func TestApply_OneOfRacingOperatorsWinsEachRevision(t *testing.T) {
	c := startCluster(t, 3)
	const racers = 8
	for base := range uint64(5) {
		var wg sync.WaitGroup
		revisions, errs := make([]uint64, racers), make([]error, racers)
		for i := range racers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// Equal request ids of different operators are different requests.
				reply, err := c.replicas[i%3].Apply(background(t), fmt.Sprintf("operator%d", i), changeRequest(base, fmt.Sprint(base), "o"))
				if errs[i] = err; err == nil {
					revisions[i] = reply.Revision
				}
			}()
		}
		wg.Wait()
		won := 0
		for i, err := range errs {
			if err == nil {
				won++
				assert.Equal(t, revisions[i], base+1)
				continue
			}
			assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
			assert.Equal(t, fault.As(err).Revision, base+1)
		}
		assert.Equal(t, won, 1)
	}
	audit, err := c.replicas[0].Audit(background(t), 0, 100)
	assert.NilError(t, err)
	assert.Equal(t, len(audit.Records), 5*racers)
}

// Guards against a change that is applied twice, or gets another outcome, when
// it is resent after a lost answer and a change of leader or a restart of all
// replicas.
func TestApply_ResendGetsFirstOutcomeAfterFailoverAndRestart(t *testing.T) {
	c := startCluster(t, 3)
	first, err := c.replicas[0].Apply(background(t), "ann", changeRequest(0, "lost", "o"))
	assert.NilError(t, err)
	_, err = c.replicas[1].Apply(background(t), "bob", changeRequest(0, "loser", "p"))
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
	resend := func(m *Control) {
		again, err := m.Apply(background(t), "ann", changeRequest(0, "lost", "o"))
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Equal(t, again.LogIndex, first.LogIndex)
		_, err = m.Apply(background(t), "bob", changeRequest(0, "loser", "p"))
		assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
		_, err = m.Apply(background(t), "ann", changeRequest(0, "lost", "other body"))
		assert.Equal(t, fault.As(err).Field, "request_id")
	}
	old := c.leader()
	c.stop(old)
	c.waitUntil("another leader", func() bool { return c.leader() >= 0 })
	resend(c.replicas[(old+1)%3])
	for i := range c.replicas {
		c.stop(i)
	}
	// The replica has not applied the change itself and must answer with the
	// result of the leader.
	c.hideCommits(c.voters[old].Id, true)
	for i := range c.replicas {
		c.start(i, nil)
	}
	c.waitUntil("a leader after restart", func() bool { return c.leader() >= 0 })
	resend(c.replicas[old])
	c.hideCommits(c.voters[old].Id, false)
	for _, m := range c.replicas {
		c.waitUntil("the change at every replica", func() bool { return m.Revision() > 0 })
		assert.Equal(t, m.Revision(), uint64(1))
	}
}

// Revision returns the revision that this replica has applied.
func (c *Control) Revision() uint64 { return c.machine.Revision() }

// Guards against a watcher whose revision decreases when its replica is
// isolated and it switches to another one.
func TestWatch_RevisionNeverDecreasesAcrossReplicas(t *testing.T) {
	c := startCluster(t, 3)
	k := c.run(c.client(roleEntry, "e1"))
	c.waitUntil("a first view", func() bool { return k.View() != nil })
	highest := uint64(0)
	watch := func() bool {
		r := k.View().Revision
		assert.Assert(t, r >= highest, "revision went back from %d to %d", highest, r)
		highest = r
		return true
	}
	for base := range uint64(6) {
		watched := c.watchedReplica()
		if base%2 == 1 && watched >= 0 {
			c.isolate(c.voters[watched].Id, true)
		}
		owner := fmt.Sprintf("o%d", base)
		c.waitUntil("an accepted change", func() bool {
			for i, m := range c.replicas {
				if i == watched && base%2 == 1 {
					continue
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_, err := m.Apply(ctx, "ann", changeRequest(base, fmt.Sprint(base), owner))
				cancel()
				if err == nil {
					return true
				}
			}
			return false
		})
		c.waitUntil("the new revision", func() bool { return watch() && k.View().Revision == base+1 })
		assert.Equal(t, k.View().Services["pay"].Owner, owner)
		for _, v := range c.voters {
			c.isolate(v.Id, false)
		}
	}
}

// watchedReplica returns the index of the replica that has a watcher, or -1.
func (c *cluster) watchedReplica() int {
	for i, m := range c.replicas {
		if m.watchers.count() > 0 {
			return i
		}
	}
	return -1
}

func claimOf(key, attempt string) *wirepb.ClaimRequest {
	return &wirepb.ClaimRequest{
		Organisation: "org", Service: "pay", Key: key, KeyCreatedUnixMs: time.Now().UnixMilli(),
		Attempt: attempt, RequestDigest: make([]byte, 32), Host: "h1",
	}
}

// Guards against a call that is dispatched twice because its claim was
// repeated, claimed concurrently or received after its release.
func TestClaim_RacingAndLateAttemptsHaveOneWinner(t *testing.T) {
	c := startCluster(t, 3)
	k := c.client(roleAgent, "h1")
	ctx := background(t)
	base := claimOf("k", "")
	const racers = 6
	statuses := make([]*wirepb.ClaimReply, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := claimOf("k", fmt.Sprintf("a%d", i%3)) // each attempt twice
			req.KeyCreatedUnixMs = base.KeyCreatedUnixMs
			reply, err := k.Claim(ctx, req)
			assert.Check(t, err)
			statuses[i] = reply
		}()
	}
	wg.Wait()
	winner := statuses[0].Attempt
	for i, s := range statuses {
		want := state.ClaimPending
		if fmt.Sprintf("a%d", i%3) == winner {
			want = state.ClaimWon
		}
		assert.Equal(t, s.Status, want)
		assert.Equal(t, s.Attempt, winner)
	}
	read := make(chan *wirepb.ClaimReply, 1)
	go func() {
		reply, err := k.ReadClaim(ctx, claimAttempt(base, "reader"), 10*time.Second)
		assert.Check(t, err)
		read <- reply
	}()
	_, err := k.Resolve(ctx, &wirepb.ClaimResolve{Claim: claimAttempt(base, winner), Response: &wirepb.CallResponse{Status: 200, Body: []byte("done")}})
	assert.NilError(t, err)
	assert.Equal(t, string((<-read).GetResponse().GetBody()), "done")

	released := claimOf("k2", "late")
	_, err = k.Release(ctx, released)
	assert.NilError(t, err)
	reply, err := k.Claim(ctx, released)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, state.ClaimAbsent)
	old := claimOf("k3", "a")
	old.KeyCreatedUnixMs -= state.DefaultClaimHorizon.Milliseconds() + 1000
	reply, err = k.Claim(ctx, old)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, state.ClaimExpired)
}

// Guards against a settled key that stays blocked or runs twice, against
// waiting readers that are not told of the decision, and against a page cursor
// that skips claims.
func TestClaims_SettlementReachesReadersAndPagesAreComplete(t *testing.T) {
	c := startCluster(t, 3)
	k := c.client(roleAgent, "h1")
	ctx := background(t)
	base := claimOf("k0", "a0")
	for i := range 3 {
		req := claimAttempt(base, fmt.Sprintf("a%d", i))
		req.Key = fmt.Sprintf("k%d", i)
		_, err := k.Claim(ctx, req)
		assert.NilError(t, err)
	}
	var listed []string
	for q := (&operators.ClaimsQuery{Organisation: "org", Limit: 1}); ; {
		page, err := c.replicas[len(listed)%3].Claims(ctx, q)
		assert.NilError(t, err)
		for _, claim := range page.Claims {
			assert.Equal(t, claim.Host, "h1")
			assert.Equal(t, claim.KeyCreatedUnixMs, base.KeyCreatedUnixMs)
			listed = append(listed, claim.Key+claim.Attempt)
		}
		if q.After = page.NextCursor; q.After == "" {
			break
		}
	}
	assert.DeepEqual(t, listed, []string{"k0a0", "k1a1", "k2a2"})
	_, err := c.replicas[0].Claims(ctx, &operators.ClaimsQuery{After: "x", Limit: 1})
	assert.Equal(t, fault.As(err).Field, "after")
	read := make(chan *wirepb.ClaimReply, 1)
	go func() {
		reply, err := k.ReadClaim(ctx, base, 10*time.Second)
		assert.Check(t, err)
		read <- reply
	}()
	c.waitUntil("the reader to wait", func() bool {
		waiting := 0
		for _, m := range c.replicas {
			m.machine.waitersMu.Lock()
			waiting += len(m.machine.waiters)
			m.machine.waitersMu.Unlock()
		}
		return waiting > 0
	})
	decided := time.Now()
	settle := func(key, attempt string, ran bool) error {
		_, err := c.replicas[1].SettleClaim(ctx, "ann", &operators.SettleRequest{
			RequestID: key + attempt + fmt.Sprint(ran), Organisation: "org", Service: "pay", Key: key, Attempt: attempt, Ran: &ran, Comment: "c"})
		return err
	}
	assert.NilError(t, settle("k0", "a0", true))
	reply := <-read
	assert.Equal(t, reply.Status, state.ClaimAnswered)
	assert.Assert(t, reply.Response == nil)
	assert.Assert(t, time.Since(decided) < 5*time.Second, "the reader was not woken")
	assert.NilError(t, settle("k0", "a0", true)) // a resend
	assert.Assert(t, fault.Is(settle("k0", "a0", false), fault.Conflict))
	assert.NilError(t, settle("k1", "a1", false))
	next := claimAttempt(base, "a9")
	next.Key = "k1"
	reply, err = k.Claim(ctx, next)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, state.ClaimWon)
}

func claimAttempt(c *wirepb.ClaimRequest, attempt string) *wirepb.ClaimRequest {
	req := claimOf(c.Key, attempt)
	req.KeyCreatedUnixMs = c.KeyCreatedUnixMs
	return req
}

// Guards against orders whose epoch is not higher than that of an earlier
// leader, and against a repeated request that sends the order twice.
func TestOrder_EpochsIncreaseAcrossLeaders(t *testing.T) {
	c := startCluster(t, 3)
	agent := c.run(c.client(roleAgent, "h1"))
	var mu sync.Mutex
	var epochs []uint64
	announcement := &wirepb.Announcement{Host: "h1", AgentAddress: "127.0.0.1:1", Incarnation: 1, State: "serving"}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Register(ctx, func() *wirepb.Announcement { return announcement }, nil, func(o *wirepb.Order) *wirepb.OrderResult {
			mu.Lock()
			defer mu.Unlock()
			epochs = append(epochs, o.Epoch)
			return &wirepb.OrderResult{Id: o.Id, Epoch: o.Epoch}
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	order := func(request string) {
		c.waitUntil("an order by the leader", func() bool {
			lead := c.leader()
			if lead < 0 || c.replicas[lead].registry.Find("h1") == nil {
				return false
			}
			_, err := c.replicas[lead].Order(background(t), "ann", &operators.OrderRequest{
				RequestID: request, Host: "h1", Order: operators.Order{Value: &wirepb.Order{Action: "drain"}}})
			return err == nil
		})
	}
	order("one")
	order("one")
	c.stop(c.leader())
	order("two")
	mu.Lock()
	assert.DeepEqual(t, epochs, []uint64{1, 2})
	mu.Unlock()
	// A restarted agent gets the epoch from the replicas.
	restarted := c.run(c.client(roleAgent, "h1"))
	again, cancelAgain := context.WithCancel(context.Background())
	doneAgain := make(chan struct{})
	next := &wirepb.Announcement{Host: "h1", AgentAddress: "127.0.0.1:1", Incarnation: 2}
	go func() {
		defer close(doneAgain)
		restarted.Register(again, func() *wirepb.Announcement { return next }, nil, nil)
	}()
	t.Cleanup(func() { cancelAgain(); <-doneAgain })
	c.waitUntil("the order epoch", func() bool {
		return restarted.Orders() == client.OrderState{Known: true, OrderEpoch: 2, Drained: true}
	})

	entry := c.run(c.client(roleEntry, "e1"))
	c.waitUntil("the upstream in the view", func() bool { return entry.View() != nil && entry.View().Upstreams["h1"] != nil })
	left := time.Now()
	cancelAgain()
	c.waitUntil("the upstream gone", func() bool { return entry.View().Upstreams["h1"] == nil })
	assert.Assert(t, time.Since(left) < 3*time.Second)
}

// Guards against a catalogue that no longer reaches watchers once it is larger
// than a frame.
func TestWatch_CatalogueOverFrameLimitIsSplit(t *testing.T) {
	c := startCluster(t, 1)
	const parts, size = 4, 800
	for part := range parts {
		req := &operators.ChangeRequest{BaseRevision: uint64(part), RequestID: fmt.Sprint(part)}
		for i := range size {
			name := fmt.Sprintf("organisation-%d-%d", part, i)
			keys := []string{fmt.Sprintf("%064x", part*size+i), fmt.Sprintf("%063xf", part*size+i+1<<40)}
			req.Put = append(req.Put, operators.Entry{Value: &wirepb.Entry{
				Kind: "organisation", Name: name, Owner: "o", Organisation: &wirepb.OrganisationSpec{KeySha256: keys},
				Limits: &wirepb.Limits{TokensPerSecond: 1000}}})
		}
		_, err := c.replicas[0].Apply(background(t), "ann", req)
		assert.NilError(t, err)
	}
	k := c.run(c.client(roleEntry, "e1"))
	c.waitUntil("the whole catalogue", func() bool { return k.View() != nil && len(k.View().Organisations) == parts*size })
	c.waitUntil("a confirmation", func() bool { return !k.Confirmed().IsZero() })
	events, _ := c.replicas[0].feed.full(true)
	assert.Assert(t, len(events) > 1)
	for i, e := range events {
		assert.Equal(t, e.More, i < len(events)-1)
	}
}

// Guards against work for an upstream whose agent is frozen, against an agent
// that cannot register again, and against one that registers with an earlier
// incarnation.
func TestRegister_ExpiredUpstreamReturnsUnlessItsIncarnationIsOlder(t *testing.T) {
	c := startCluster(t, 1)
	entry := c.run(c.client(roleEntry, "e1"))
	c.waitUntil("a view", func() bool { return entry.View() != nil })
	session, err := link.Dial(background(t), c.replicas[0].Address(), link.Options{Identity: link.Identity{Role: roleAgent, Host: "h9"}})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	register := func(incarnation uint64) *wire.Stream {
		s, err := session.Open()
		assert.NilError(t, err)
		first := &wirepb.Register{Announcement: testAnnouncement("h9", incarnation), Role: roleAgent}
		assert.NilError(t, s.Write(&wirepb.Frame{Body: &wirepb.Frame_Register{Register: first}}))
		return s
	}
	listed := func(incarnation uint64) func() bool {
		return func() bool { return entry.View().Upstreams["h9"].GetIncarnation() == incarnation }
	}
	// end reads the order state, which the replica sends without a request,
	// and returns the frame after it.
	end := func(s *wire.Stream) (*wirepb.Frame, error) {
		f, err := s.Read()
		assert.NilError(t, err)
		assert.Assert(t, f.GetHeartbeatReply().GetOrderEpochRead(), "%v", f)
		return s.Read()
	}
	frozen := register(5)
	c.waitUntil("the upstream", listed(5))
	since := time.Now()
	f, err := end(frozen)
	assert.NilError(t, err)
	assert.Equal(t, f.GetError().GetKind(), string(fault.StaleEpoch))
	c.waitUntil("the upstream gone", listed(0))
	assert.Assert(t, time.Since(since) < 3*time.Second)
	f, err = register(4).Read()
	assert.NilError(t, err)
	assert.Equal(t, f.GetError().GetRevision(), uint64(5))
	register(5)
	c.waitUntil("the upstream again", listed(5))
	restarted := register(6)
	c.waitUntil("the next incarnation", listed(6))
	assert.NilError(t, restarted.Write(&wirepb.Frame{Body: &wirepb.Frame_Leave{Leave: &wirepb.Leave{}}}))
	_, err = end(restarted)
	assert.Equal(t, err, io.EOF)
	c.waitUntil("the upstream gone after its leave", listed(0))
}

// Guards against more concurrent loads than the store of model weights allows, and
// against a slot that is lost when a waiting order is cancelled.
func TestModelLoadLimiter_BoundsConcurrentLoads(t *testing.T) {
	limiter := &modelLoadLimiter{limit: func() int { return 2 }}
	var running, most atomic.Int64
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				cancel()
			}
			if limiter.acquire(ctx) != nil {
				return
			}
			if n := running.Add(1); n > most.Load() {
				most.Store(n)
			}
			runtime.Gosched()
			running.Add(-1)
			limiter.release()
		}()
	}
	wg.Wait()
	assert.Assert(t, most.Load() <= 2)
	assert.Equal(t, limiter.running, 0)
	assert.Equal(t, len(limiter.queue), 0)
}
