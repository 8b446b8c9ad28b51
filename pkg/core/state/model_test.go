package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// model is a simple reference implementation of the store. It keeps everything and
// searches linearly.
type model struct {
	now, expiredBefore, horizon int64
	revision                    uint64
	entries                     map[entryID]string // owner
	outcomes                    map[requestKey]modelOutcome
	claims                      []*modelClaim
	released                    map[string]int64
	orders                      map[string]OrderState
	audits                      int
}

type modelOutcome struct {
	at     int64
	body   string
	result string
}

type modelClaim struct {
	id, attempt, digest, answer string
	keyCreatedMs                int64
}

func newModel() *model {
	return &model{
		horizon:  DefaultClaimHorizon.Milliseconds(),
		entries:  make(map[entryID]string),
		outcomes: make(map[requestKey]modelOutcome),
		released: make(map[string]int64),
		orders:   make(map[string]OrderState),
	}
}

func (m *model) apply(cmd *wirepb.Command) string {
	m.now = max(m.now, cmd.TimeUnixMs)
	m.expiredBefore = max(m.expiredBefore, m.now-m.horizon)
	switch body := cmd.Body.(type) {
	case *wirepb.Command_Claim:
		return m.claim(body.Claim)
	case *wirepb.Command_Resolve:
		return m.resolve(body.Resolve)
	case *wirepb.Command_Release:
		return m.release(body.Release.Claim)
	}
	key := requestKey{cmd.Operator, cmd.RequestId}
	body := fmt.Sprint(cmd.GetChange(), cmd.GetOrder(), cmd.GetSettle())
	if first, ok := m.outcomes[key]; ok && first.at >= m.expiredBefore {
		if first.body != body {
			return "conflict"
		}
		return first.result
	}
	m.audits++
	result := m.execute(cmd)
	m.outcomes[key] = modelOutcome{m.now, body, result}
	return result
}

func (m *model) execute(cmd *wirepb.Command) string {
	if o := cmd.GetOrder(); o != nil {
		next := m.orders[o.Host]
		next.OrderEpoch++
		if a := o.Order.Action; a != "load_model" {
			next.Drained = a == "drain"
		}
		m.orders[o.Host] = next
		return fmt.Sprintf("epoch %d", next.OrderEpoch)
	}
	if d := cmd.GetSettle(); d != nil {
		return m.settle(d)
	}
	ch := cmd.GetChange()
	if ch.BaseRevision != m.revision {
		winner := m.revision
		if ch.BaseRevision < m.revision {
			winner = ch.BaseRevision + 1
		}
		return fmt.Sprintf("conflict with %d", winner)
	}
	for _, e := range ch.Put {
		if e.Owner == "" {
			return "invalid put[0].owner"
		}
	}
	for _, n := range ch.Remove {
		if _, ok := m.entries[entryID{n.Kind, n.Name}]; !ok {
			return "not_found remove[0].name"
		}
		delete(m.entries, entryID{n.Kind, n.Name})
	}
	for _, e := range ch.Put {
		m.entries[idOf(e)] = e.Owner
		if h := e.GetPolicy().GetClaimHorizonSeconds(); h > 0 {
			m.horizon = int64(h) * 1000
		}
	}
	m.revision++
	return fmt.Sprintf("revision %d", m.revision)
}

// find returns the claim of the key. Claims are kept until their whole bucket lies
// before the horizon.
func (m *model) find(id string) *modelClaim {
	for _, c := range m.claims {
		if c.id == id && c.keyCreatedMs/bucketMs >= m.expiredBefore/bucketMs {
			return c
		}
	}
	return nil
}

// describe formats a result of the store as the model does.
func describe(cmd *wirepb.Command, r *wirepb.CommandResult) string {
	e := r.Error
	switch {
	case e != nil && e.Field == "request_id":
		return "conflict"
	case e != nil && cmd.GetSettle() != nil:
		return e.Kind + " " + e.Field + " " + e.Message
	case e != nil && e.Kind == string(fault.Conflict):
		return fmt.Sprintf("conflict with %d", e.Revision)
	case e != nil:
		return e.Kind + " " + e.Field
	case r.Claim != nil && r.Claim.Response != nil:
		return r.Claim.Status + " " + r.Claim.Attempt + " " + string(r.Claim.Response.Body)
	case r.Claim != nil && r.Claim.Attempt != "":
		return r.Claim.Status + " " + r.Claim.Attempt
	case r.Claim != nil:
		return r.Claim.Status
	case cmd.GetOrder() != nil:
		return fmt.Sprintf("epoch %d", r.OrderEpoch)
	}
	return fmt.Sprintf("revision %d", r.Revision)
}

// baseTime is the time relative to which commands are drawn.
func (m *model) baseTime() int64 { return max(m.now, 1_700_000_000_000) }

// drawCommand draws a command from small sets of values, so that races, repeated
// requests and expired keys are frequent.
func drawCommand(t *rapid.T, m *model) *wirepb.Command {
	step := rapid.SampledFrom([]time.Duration{0, 0, time.Second, time.Minute, time.Hour, 13 * time.Hour, -time.Hour})
	cmd := &wirepb.Command{
		TimeUnixMs: m.baseTime() + step.Draw(t, "step").Milliseconds(),
		Operator:   rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator"),
		RequestId:  fmt.Sprintf("r%d", rapid.IntRange(0, 40).Draw(t, "request")),
	}
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0, 1, 2:
		cmd.Body = &wirepb.Command_Change{Change: drawChange(t, m)}
	case 3:
		host := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")
		cmd.Body = &wirepb.Command_Order{Order: &wirepb.OrderChange{Host: host, Order: &wirepb.Order{
			Action: rapid.SampledFrom([]string{"drain", "resume", "load_model"}).Draw(t, "action")}}}
	case 4, 5, 6:
		cmd.Body = &wirepb.Command_Claim{Claim: drawClaim(t, m)}
	case 7:
		body := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")
		cmd.Body = &wirepb.Command_Resolve{Resolve: &wirepb.ClaimResolve{
			Claim: drawClaim(t, m), Response: &wirepb.CallResponse{Body: []byte(body)}}}
	case 8:
		cmd.Body = &wirepb.Command_Release{Release: &wirepb.ClaimRelease{Claim: drawClaim(t, m)}}
	case 9:
		c := drawClaim(t, m)
		if known := m.find(claimID(c)); known != nil && rapid.IntRange(0, 3).Draw(t, "held") > 0 {
			c.Attempt = known.attempt
		}
		cmd.Body = &wirepb.Command_Settle{Settle: &wirepb.ClaimSettle{
			Organisation: c.Organisation, Service: c.Service, Key: c.Key, Attempt: c.Attempt,
			Ran: rapid.Bool().Draw(t, "ran"), Comment: "seen"}}
	}
	return cmd
}

func drawChange(t *rapid.T, m *model) *wirepb.Change {
	base := int64(m.revision) + rapid.SampledFrom([]int64{0, 0, 0, -1, -2, 1}).Draw(t, "base")
	ch := &wirepb.Change{BaseRevision: uint64(max(base, 0))}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		ch.Remove = []*wirepb.EntryName{{Kind: KindService, Name: name}}
	case 1:
		hours := rapid.SampledFrom([]uint32{1, 24, 48}).Draw(t, "horizon")
		ch.Put = []*wirepb.Entry{{Kind: KindPolicy, Name: PolicyName, Owner: "o", Policy: &wirepb.PolicySpec{ClaimHorizonSeconds: hours * 3600}}}
	default:
		owner := rapid.SampledFrom([]string{"o", "p", ""}).Draw(t, "owner")
		ch.Put = []*wirepb.Entry{{Kind: KindService, Name: name, Owner: owner, Service: &wirepb.ServiceSpec{}}}
	}
	return ch
}

func drawClaim(t *rapid.T, m *model) *wirepb.ClaimRequest {
	age := rapid.SampledFrom([]time.Duration{0, time.Hour, 20 * time.Hour, 30 * time.Hour, -time.Minute, -10 * time.Minute})
	created := m.baseTime() - age.Draw(t, "age").Milliseconds()
	if n := len(m.claims); n > 0 && rapid.Bool().Draw(t, "again") {
		created = m.claims[rapid.IntRange(0, n-1).Draw(t, "which")].keyCreatedMs
	}
	digest := make([]byte, digestSize)
	digest[0] = byte(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "digest"))
	return &wirepb.ClaimRequest{
		Organisation:     rapid.SampledFrom([]string{"org1", "org2"}).Draw(t, "organisation"),
		Service:          "pay",
		Key:              rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
		KeyCreatedUnixMs: created,
		Attempt:          fmt.Sprintf("a%d", rapid.IntRange(0, 12).Draw(t, "attempt")),
		RequestDigest:    digest,
	}
}

// Guards against a store that loses, revives or reorders outcomes, and against a
// snapshot that lacks part of the state: a second store is restored from a snapshot
// before every command.
func TestStore_AgreesWithModelAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, whole, restarted := newModel(), New(), New()
		for index := uint64(1); index <= 60; index++ {
			cmd := drawCommand(t, m)
			want := m.apply(cmd)
			got := whole.Apply(index, cmd)
			assert.Equal(t, describe(cmd, got), want, "command %d: %v", index, cmd)
			assert.Equal(t, describe(cmd, restarted.Apply(index, cmd)), want, "restarted, command %d", index)
			before, err := whole.Snapshot()
			assert.NilError(t, err)
			after, err := restarted.Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(before, after), "snapshots differ after command %d", index)
			fresh := New()
			assert.NilError(t, fresh.Restore(after))
			restarted = fresh
			assert.Equal(t, whole.AuditSequence(), uint64(m.audits))
			organisation := rapid.SampledFrom([]string{"", "org1", "none"}).Draw(t, "list")
			state := rapid.SampledFrom([]string{ClaimPending, ClaimSettled, ClaimAnswered}).Draw(t, "state")
			assert.DeepEqual(t, listPages(restarted, organisation, state), m.wantList(organisation, state))
			for host, want := range m.orders {
				assert.Equal(t, restarted.OrderState(host), want, "orders to %s", host)
			}
		}
	})
}

// Guards against a watcher that misses an edit: the delta from any earlier revision
// must give the current catalogue.
func TestStore_DeltasRebuildCatalogue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, s := newModel(), New()
		views := []map[entryID]*wirepb.Entry{{}}
		for index := uint64(1); index <= 40; index++ {
			ch := drawChange(t, m)
			cmd := &wirepb.Command{RequestId: fmt.Sprint(index), Body: &wirepb.Command_Change{Change: ch}}
			m.apply(cmd)
			s.Apply(index, cmd)
			if int(s.Revision()) == len(views) {
				views = append(views, applyDelta(views[len(views)-1], s.Since(s.Revision()-1)))
			}
			from := rapid.IntRange(0, len(views)-1).Draw(t, "from")
			got := applyDelta(views[from], s.Since(uint64(from)))
			assert.Equal(t, len(got), len(m.entries))
			for id, owner := range m.entries {
				assert.Equal(t, got[id].GetOwner(), owner)
			}
		}
	})
}

func applyDelta(view map[entryID]*wirepb.Entry, d Delta) map[entryID]*wirepb.Entry {
	next := make(map[entryID]*wirepb.Entry)
	for id, e := range view {
		if !d.Full {
			next[id] = e
		}
	}
	for _, e := range d.Put {
		next[idOf(e)] = e
	}
	for _, n := range d.Removed {
		delete(next, entryID{n.Kind, n.Name})
	}
	return next
}

// Guards against a read that reports a key as expired because no command has
// advanced the log time for more than five minutes.
func TestReadClaim_IdleLogDoesNotExpireKey(t *testing.T) {
	s := New()
	req := &wirepb.ClaimRequest{Organisation: "o", Service: "s", Key: "k", Attempt: "a", KeyCreatedUnixMs: 1_700_000_000_000, RequestDigest: make([]byte, digestSize)}
	reply, err := s.ReadClaim(req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, ClaimAbsent)
	won := s.Apply(1, &wirepb.Command{TimeUnixMs: req.KeyCreatedUnixMs, Body: &wirepb.Command_Claim{Claim: req}})
	assert.Equal(t, won.Claim.Status, ClaimWon)
	reply, err = s.ReadClaim(req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, ClaimPending)
}

// Guards against accepting a catalogue entry that other processes cannot use or an
// API key that two organisations hold, and against errors that do not name the field.
func TestChange_NamesInvalidField(t *testing.T) {
	hash := fmt.Sprintf("%064x", 1)
	organisation := func(name string, keys ...string) *wirepb.Entry {
		return &wirepb.Entry{Kind: KindOrganisation, Name: name, Owner: "o", Organisation: &wirepb.OrganisationSpec{KeySha256: keys}}
	}
	with := func(change func(e *wirepb.Entry)) []*wirepb.Entry {
		e := organisation("new")
		change(e)
		return []*wirepb.Entry{e}
	}
	s := New()
	first := &wirepb.Change{Put: []*wirepb.Entry{organisation("first", hash)}}
	result := s.Apply(1, &wirepb.Command{RequestId: "0", Body: &wirepb.Command_Change{Change: first}})
	assert.Assert(t, result.Error == nil, "%v", result.Error)
	cases := map[string][]*wirepb.Entry{
		"put":                                  nil,
		"put[0].owner":                         with(func(e *wirepb.Entry) { e.Owner = "" }),
		"put[0].class":                         with(func(e *wirepb.Entry) { e.Class = "gold" }),
		"put[0].kind":                          with(func(e *wirepb.Entry) { e.Kind = "team" }),
		"put[0].organisation":                  with(func(e *wirepb.Entry) { e.Organisation = nil }),
		"put[0].service":                       with(func(e *wirepb.Entry) { e.Service = &wirepb.ServiceSpec{} }),
		"put[0].organisation.weight":           with(func(e *wirepb.Entry) { e.Organisation.Weight = maxWeight + 1 }),
		"put[0].organisation.key_sha256[0]":    {organisation("new", hash)},
		"put[1].organisation.key_sha256[0]":    {organisation("a", fmt.Sprintf("%064x", 2)), organisation("b", fmt.Sprintf("%064x", 2))},
		"put[1].name":                          {organisation("a"), organisation("a")},
		"put[0].name":                          {{Kind: KindService, Name: "a/b", Owner: "o", Service: &wirepb.ServiceSpec{}}},
		"put[0].model.layers":                  {{Kind: KindModel, Name: "m", Owner: "o", Model: &wirepb.ModelSpec{Version: "1"}}},
		"put[0].service.repeatable_methods[0]": {{Kind: KindService, Name: "s", Owner: "o", Service: &wirepb.ServiceSpec{RepeatableMethods: []string{"get"}}}},
		"put[0].policy.urgent_percent":         {{Kind: KindPolicy, Name: PolicyName, Owner: "o", Policy: &wirepb.PolicySpec{UrgentPercent: 60}}},
		"put[0].policy.claim_horizon_seconds":  {{Kind: KindPolicy, Name: PolicyName, Owner: "o", Policy: &wirepb.PolicySpec{ClaimHorizonSeconds: 1}}},
	}
	for field, put := range cases {
		ch := &wirepb.Change{BaseRevision: 1, Put: put}
		result := s.Apply(s.applied+1, &wirepb.Command{RequestId: field, Body: &wirepb.Command_Change{Change: ch}})
		assert.Equal(t, result.Error.GetField(), field, "%v", result.Error)
		assert.Equal(t, result.Error.GetOutcome(), fault.NotRun)
	}
	moved := &wirepb.Change{BaseRevision: 1, Put: []*wirepb.Entry{organisation("first"), organisation("second", hash)}}
	result = s.Apply(s.applied+1, &wirepb.Command{RequestId: "move", Body: &wirepb.Command_Change{Change: moved}})
	assert.Equal(t, result.Revision, uint64(2), "%v", result.Error)
}
