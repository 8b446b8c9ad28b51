package operators

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const testToken = "admin token"

// fakeService records calls and returns the configured error.
type fakeService struct {
	Backend
	err                error
	leaderAdminAddress string // admin address of the leader; if set, Order fails with NotLeader
	operator           string
	applied            *ChangeRequest
	ordered            *OrderRequest
	query              *ClaimsQuery
	settled            *SettleRequest
	refusalCauses      []error
}

func (f *fakeService) Apply(_ context.Context, operator string, req *ChangeRequest) (*ChangeReply, error) {
	f.operator, f.applied = operator, req
	if f.err != nil {
		return nil, f.err
	}
	return &ChangeReply{Revision: 1 << 60, LogIndex: 2}, nil
}

func (f *fakeService) RecordRefused(_ context.Context, _ string, cause error) {
	f.refusalCauses = append(f.refusalCauses, cause)
}

func (f *fakeService) Order(_ context.Context, operator string, req *OrderRequest) (*OrderReply, error) {
	if f.leaderAdminAddress != "" {
		err := fault.New(fault.NotLeader, "not the leader").WithOutcome(fault.NotRun)
		err.Leader = f.leaderAdminAddress
		return nil, err
	}
	f.operator, f.ordered = operator, req
	return &OrderReply{ID: req.RequestID, OrderEpoch: 7}, f.err
}

func (f *fakeService) Claims(_ context.Context, q *ClaimsQuery) (*ClaimsReply, error) {
	f.query = q
	return &ClaimsReply{Claims: []Claim{{Key: "k", Attempt: "a", Host: "h", AgeMs: 5}}, NextCursor: "7.eA"}, f.err
}

func (f *fakeService) SettleClaim(_ context.Context, operator string, req *SettleRequest) (*SettleReply, error) {
	f.operator, f.settled = operator, req
	return &SettleReply{Attempt: req.Attempt, Ran: *req.Ran}, f.err
}

func startAPI(t *testing.T, f *fakeService) string {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	h := NewHandler(Options{Backend: f, Operators: map[string]string{hex.EncodeToString(sum[:]): "ann"}, Log: logs.Nop()})
	s := httptest.NewUnstartedServer(nil)
	s.Config = NewServer(h)
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func postChange(t *testing.T, addr, token, body string) (int, ErrorBody) {
	t.Helper()
	return send(t, http.MethodPost, addr+"/v1/changes", token, body)
}

func send(t *testing.T, method, target, token, body string) (int, ErrorBody) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+target, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	var e ErrorReply
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&e))
	return res.StatusCode, e.Error
}

// Guards against changes without a valid token, oversized bodies, unknown or
// missing fields that are accepted, and refused changes without an audit record.
func TestAPI_InvalidRequestIsRefusedAndAudited(t *testing.T) {
	f := &fakeService{}
	addr := startAPI(t, f)
	code, e := postChange(t, addr, "wrong", `{}`)
	assert.Equal(t, code, http.StatusUnauthorized)
	assert.Equal(t, e.Outcome, "not_run")
	code, _ = postChange(t, addr, testToken, strings.Repeat(" ", maxChangeBodyBytes+1))
	assert.Equal(t, code, http.StatusBadRequest)
	for body, want := range map[string]string{
		`{"request_id":"r","putt":[]}`:                 "putt",
		`{"request_id":"r","put":[{"knd":"service"}]}`: "knd",
		`{"put":[]}`:                      "request_id",
		`{"request_id":"r","put":[null]}`: "put",
		`{"request_id":"r"} {}`:           "after the JSON value",
		``:                                "missing",
	} {
		refused := len(f.refusalCauses)
		code, e := postChange(t, addr, testToken, body)
		assert.Equal(t, code, http.StatusBadRequest, body)
		assert.Assert(t, strings.Contains(e.Message, want), "%s: %s", body, e.Message)
		assert.Equal(t, len(f.refusalCauses), refused+1)
	}
	assert.Assert(t, f.applied == nil)
}

// Guards against data lost between client and server: integers above 2^53, the
// operator's name, and the field, retry delay, outcome and winning revision of a
// typed error.
func TestClient_RequestsAndErrorsKeepEveryField(t *testing.T) {
	f := &fakeService{}
	c := &Client{Addresses: []string{"127.0.0.1:1", startAPI(t, f)}, Token: testToken}
	entry := &wirepb.Entry{Kind: "service", Name: "pay", Owner: "o", Revision: 1<<60 + 1, Service: &wirepb.ServiceSpec{}}
	reply, err := c.Apply(testContext(t), &ChangeRequest{BaseRevision: 1<<60 - 1, Put: []Entry{{entry}}})
	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(1)<<60)
	assert.Equal(t, f.operator, "ann")
	assert.Equal(t, f.applied.Put[0].Value.Revision, entry.Revision)
	assert.Assert(t, f.applied.RequestID != "")
	conflict := fault.New(fault.Conflict, "lost").WithField("base_revision").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	conflict.Revision = 9
	f.err = conflict
	_, err = c.Apply(testContext(t), &ChangeRequest{})
	got := fault.As(err)
	assert.Equal(t, got.Kind, fault.Conflict)
	assert.Equal(t, got.Field, "base_revision")
	assert.Equal(t, got.Revision, uint64(9))
	assert.Equal(t, got.RetryAfter, time.Second)
	assert.Equal(t, got.Outcome, fault.NotRun)
}

// Guards against a client that reports a change as not run although one of its
// attempts may have run.
func TestClient_OutcomeIsUnknownIfAnyAttemptMayHaveRun(t *testing.T) {
	f := &fakeService{err: fault.New(fault.UnknownOutcome, "no answer").WithOutcome(fault.MayHaveRun)}
	c := &Client{Addresses: []string{startAPI(t, f), "127.0.0.1:1"}, Token: testToken}
	_, err := c.Apply(testContext(t), &ChangeRequest{})
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
	c.Addresses = []string{"127.0.0.1:1"}
	_, err = c.Apply(testContext(t), &ChangeRequest{})
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// Guards against orders that a follower drops, and against a forwarding loop
// between replicas that each take the other for the leader.
func TestOrders_FollowerForwardsToLeaderOnce(t *testing.T) {
	leader := &fakeService{}
	leaderAddr := startAPI(t, leader)
	follower := &fakeService{leaderAdminAddress: leaderAddr}
	c := &Client{Addresses: []string{startAPI(t, follower)}, Token: testToken}
	reply, err := c.Drain(testContext(t), "h1", DrainRequest{RequestID: "r"})
	assert.NilError(t, err)
	assert.Equal(t, reply.OrderEpoch, uint64(7))
	assert.Equal(t, leader.operator, "ann")
	assert.Equal(t, leader.ordered.Host, "h1")
	assert.Equal(t, leader.ordered.Order.Value.Action, "drain")
	leader.leaderAdminAddress = c.Addresses[0]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = c.Drain(ctx, "h1", DrainRequest{RequestID: "r"})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}

// Guards against bodies that crash the server, and against accepted bodies that
// change when they are encoded again.
func FuzzChangeBody(f *testing.F) {
	f.Add([]byte(`{"base_revision":3,"request_id":"r","put":[{"kind":"policy","name":"default","policy":{"urgent_percent":60}}]}`))
	f.Add([]byte(`{"request_id":"r","remove":[{"kind":"model","name":"m"}],"wait":true,"wait_ms":5}`))
	f.Add([]byte(`{"request_id":"r","put":[{"limits":{"body_bytes":"18446744073709551615"}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req := &ChangeRequest{}
		if err := decodeChange(body, req); err != nil {
			assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			return
		}
		roundTrip(t, req, func(b []byte, v *ChangeRequest) error { return decodeChange(b, v) })
	})
}

// Guards against order and voter bodies that crash the server, and against accepted
// ones that change when they are encoded again.
func FuzzOrderAndVoterBody(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","host":"h","order":{"action":"load_model","model":"m"},"timeout_ms":5}`))
	f.Add([]byte(`{"request_id":"r","action":"replace","old":1,"voter":{"id":"4","peer_address":"127.0.0.1:1","admin_address":"127.0.0.1:2"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		order, voter := &OrderRequest{}, &VoterRequest{}
		if decode(body, order) == nil && order.validate() == nil {
			roundTrip(t, order, func(b []byte, v *OrderRequest) error { return decode(b, v) })
		}
		if decode(body, voter) == nil && voter.validate() == nil {
			roundTrip(t, voter, func(b []byte, v *VoterRequest) error { return decode(b, v) })
		}
	})
}

func roundTrip[T any](t *testing.T, v *T, decode func([]byte, *T) error) {
	t.Helper()
	encoded, err := json.Marshal(v)
	assert.NilError(t, err)
	decoded := new(T)
	assert.NilError(t, decode(encoded, decoded), "%s", encoded)
	reencoded, err := json.Marshal(decoded)
	assert.NilError(t, err)
	// The white space in the output of protojson is not stable.
	assert.Assert(t, reflect.DeepEqual(compact(t, encoded), compact(t, reencoded)), "%s\n%s", encoded, reencoded)
}

func compact(t *testing.T, b []byte) string {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, json.Compact(&out, b))
	return out.String()
}

// Guards against filters and decisions that do not reach the service, pages
// without a size limit, a missing decision that gets a default, and refused
// decisions without an audit record.
func TestClaims_FiltersAndDecisionsAreChecked(t *testing.T) {
	f := &fakeService{}
	addr := startAPI(t, f)
	c := &Client{Addresses: []string{addr}, Token: testToken}
	q := ClaimsQuery{Organisation: "o", Service: "s", State: "any", After: "7.eA", Limit: 3}
	reply, err := c.Claims(testContext(t), &q)
	assert.NilError(t, err)
	assert.DeepEqual(t, *f.query, q)
	assert.DeepEqual(t, reply, &ClaimsReply{Claims: []Claim{{Key: "k", Attempt: "a", Host: "h", AgeMs: 5}}, NextCursor: "7.eA"})
	_, err = c.Claims(testContext(t), &ClaimsQuery{})
	assert.NilError(t, err)
	assert.DeepEqual(t, *f.query, ClaimsQuery{Limit: defaultPageSize})
	for _, bad := range []string{"limit=1001", "limit=0", "state=open", "after=" + strings.Repeat("x", maxCursorBytes+1)} {
		code, e := send(t, http.MethodGet, addr+"/v1/claims?"+bad, testToken, "")
		assert.Equal(t, code, http.StatusBadRequest, bad)
		assert.Equal(t, e.Field, strings.Split(bad, "=")[0])
	}
	ran := true
	settle := SettleRequest{Organisation: "o", Service: "s", Key: "k", Attempt: "a", Ran: &ran, Comment: "seen in the ledger"}
	settled, err := c.SettleClaim(testContext(t), &settle)
	assert.NilError(t, err)
	assert.DeepEqual(t, settled, &SettleReply{Attempt: "a", Ran: true})
	assert.Equal(t, f.operator, "ann")
	assert.DeepEqual(t, *f.settled, settle)
	f.settled = nil
	for i, body := range []string{`{"request_id":"r","comment":"c"}`, `{"request_id":"r","ran":true}`, `{"ran":true,"comment":"c"}`, `{"rann":true}`} {
		code, _ := send(t, http.MethodPost, addr+"/v1/claims/settle", testToken, body)
		assert.Equal(t, code, http.StatusBadRequest, body)
		assert.Equal(t, len(f.refusalCauses), i+1)
	}
	assert.Assert(t, f.settled == nil)
	f.err = fault.New(fault.Conflict, "claim is answered").WithField("key").WithOutcome(fault.NotRun)
	_, err = c.SettleClaim(testContext(t), &settle)
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
	assert.Equal(t, fault.As(err).Message, "claim is answered")
}
