package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

type answer struct {
	status int
	header http.Header
	body   callers.ErrorBody
	raw    string
}

func (s *testSystem) do(method, path, body string, headers ...string) answer {
	s.tb.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, bytes.NewBufferString(body))
	assert.NilError(s.tb, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.tb, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(s.tb, err)
	a := answer{status: resp.StatusCode, header: resp.Header, raw: string(raw)}
	_ = json.Unmarshal(raw, &a.body)
	assert.Assert(s.tb, resp.Header.Get("X-Request-Id") != "")
	assert.Assert(s.tb, resp.Header.Get("Plantain-Outcome") != "")
	return a
}

const chatBody = `{"model":"m","max_tokens":4,"seed":1,"messages":[{"role":"user","content":"hi"}]}`

func keyed() []string { return []string{"Idempotency-Key", uuid.Must(uuid.NewV7()).String()} }

// failureCase describes one point at which a request can fail and the expected
// answer.
type failureCase struct {
	name           string
	agentBehaviour behaviour
	prepare        func(s *testSystem)
	path           string // a chat request if empty
	keyed          bool
	deadlineMs     string // the default deadline if empty
	claim          string // status of the claim; absent if empty
	status         int
	code           fault.Kind
	outcome        string
	agentRequests  int64
}

func refusingWith(kind fault.Kind, o fault.Outcome) behaviour {
	return failingAfter(0, fault.New(kind, "refused by the agent").WithOutcome(o))
}

func stopAgent(s *testSystem) {
	// The table still lists the agent, but its address refuses connections. The
	// session is dropped explicitly: before the entry detects that it has ended, a
	// call may be written to it, and then nothing proves that the call did not run.
	_ = s.agents[0].server.Close()
	s.entry.opts.Agents.CloseSession(s.agents[0].server.Address())
}

func failureCases() []failureCase {
	stale := func(s *testSystem) { s.control.stale.Store(true) }
	drained := func(s *testSystem) { s.entry.lifecycle.Drain() }
	empty := func(s *testSystem) {
		s.control.set(testView(nil, nil))
		waitUntil(s.tb, "the table is empty", func() bool { return s.entry.snapshot.Load().table.Len() == 0 })
	}
	call := "/services/orders/1"
	return []failureCase{
		{name: "chat stale", prepare: stale, status: 503, code: fault.StaleConfig, outcome: "not_run"},
		{name: "chat draining", prepare: drained, status: 503, code: fault.Draining, outcome: "not_run"},
		{name: "chat without upstream", prepare: empty, status: 503, code: fault.Unavailable, outcome: "not_run"},
		{name: "chat dial fails", prepare: stopAgent, status: 503, code: fault.Unavailable, outcome: "not_run"},
		{name: "chat agent proves not run", agentBehaviour: refusingWith(fault.Overloaded, fault.NotRun), status: 503, code: fault.Overloaded, outcome: "not_run", agentRequests: 1},
		{name: "chat agent reports may have run", agentBehaviour: refusingWith(fault.Upstream, fault.MayHaveRun), status: 502, code: fault.Upstream, outcome: "unknown", agentRequests: 1},
		{name: "chat agent reports no outcome", agentBehaviour: refusingWith(fault.Overloaded, fault.Unspecified), status: 503, code: fault.Overloaded, outcome: "unknown", agentRequests: 1},
		{name: "chat connection lost", agentBehaviour: closingAfter(0), status: 503, code: fault.Unavailable, outcome: "unknown", agentRequests: 1},
		{name: "chat fails after tokens", agentBehaviour: failingAfter(2, fault.New(fault.Overloaded, "x").WithOutcome(fault.NotRun)), status: 503, code: fault.Overloaded, outcome: "unknown", agentRequests: 1},
		{name: "chat deadline", agentBehaviour: stallingAt(0), deadlineMs: "100", status: 504, code: fault.Deadline, outcome: "unknown", agentRequests: 1},
		{name: "keyed deadline", agentBehaviour: stallingAt(0), deadlineMs: "100", path: call, keyed: true, status: 504, code: fault.Deadline, outcome: "unknown", agentRequests: 1},
		{name: "chat unexpected frame", agentBehaviour: func(_ *fakeAgent, s *wire.Stream, _ *wirepb.Frame) {
			_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}})
		}, status: 502, code: fault.Protocol, outcome: "unknown", agentRequests: 1},

		{name: "call stale", prepare: stale, path: call, status: 503, code: fault.StaleConfig, outcome: "not_run"},
		{name: "call dial fails", prepare: stopAgent, path: call, status: 503, code: fault.Unavailable, outcome: "not_run"},
		{name: "call connection lost", agentBehaviour: closingAfter(0), path: call, status: 503, code: fault.Unavailable, outcome: "unknown", agentRequests: 1},
		{name: "call answer of another request", agentBehaviour: func(_ *fakeAgent, s *wire.Stream, _ *wirepb.Frame) {
			_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_CallResponse{CallResponse: &wirepb.CallResponse{RequestId: "another", Status: 200}}})
		}, path: call, status: 502, code: fault.Protocol, outcome: "unknown", agentRequests: 1},

		{name: "keyed stale", prepare: stale, path: call, keyed: true, status: 503, code: fault.StaleConfig, outcome: "unknown"},
		{name: "keyed draining", prepare: drained, path: call, keyed: true, status: 503, code: fault.Draining, outcome: "unknown"},
		{name: "keyed without upstream", prepare: empty, path: call, keyed: true, status: 503, code: fault.Unavailable, outcome: "not_run"},
		{name: "keyed without upstream, claim pending", prepare: empty, path: call, keyed: true, claim: control.ClaimPending, status: 503, code: fault.Unavailable, outcome: "unknown"},
		{name: "keyed without upstream, claim answered", prepare: empty, path: call, keyed: true, claim: control.ClaimAnswered, status: 503, code: fault.Unavailable, outcome: "unknown"},
		{name: "keyed dial fails, control unavailable", prepare: func(s *testSystem) { stopAgent(s); s.control.claim.Store("") }, path: call, keyed: true, status: 503, code: fault.Unavailable, outcome: "unknown"},
		{name: "keyed agent proves not run", agentBehaviour: refusingWith(fault.Overloaded, fault.NotRun), path: call, keyed: true, claim: control.ClaimPending, status: 503, code: fault.Overloaded, outcome: "not_run", agentRequests: 1},
		{name: "keyed connection lost", agentBehaviour: closingAfter(0), path: call, keyed: true, status: 503, code: fault.Unavailable, outcome: "unknown", agentRequests: 1},
		{name: "keyed expired", agentBehaviour: refusingWith(fault.Expired, fault.NotRun), path: call, keyed: true, status: 410, code: fault.Expired, outcome: "not_run", agentRequests: 1},
		{name: "keyed answer lost", agentBehaviour: refusingWith(fault.AnswerLost, fault.Answered), path: call, keyed: true, status: 410, code: fault.AnswerLost, outcome: "answered", agentRequests: 1},
	}
}

// Guards against a refusal that reports not_run without proof, at every point
// where a request can fail, and against a retry of a call that may have run.
func TestRefusal_ReportsNotRunOnlyIfProved(t *testing.T) {
	for _, p := range failureCases() {
		t.Run(p.name, func(t *testing.T) {
			agentBehaviour := p.agentBehaviour
			if agentBehaviour == nil {
				agentBehaviour = healthy
			}
			agents := startAgents(t, 1, always(agentBehaviour))
			s := newTestSystem(t, agents, nil, "[streams]\nrepair_wait=0s")
			if p.claim != "" {
				s.control.claim.Store(p.claim)
			}
			if p.prepare != nil {
				p.prepare(s)
			}
			method, path, body := http.MethodPost, "/v1/chat/completions", chatBody
			var headers []string
			if p.path != "" {
				method, path, body = http.MethodGet, p.path, ""
			}
			if p.keyed {
				method, headers = http.MethodPost, keyed()
			}
			if p.deadlineMs != "" {
				headers = append(headers, "Plantain-Deadline-Ms", p.deadlineMs)
			}
			a := s.do(method, path, body, headers...)
			assert.Equal(t, a.status, p.status, a.raw)
			assert.Equal(t, a.body.Error.Code, string(p.code))
			assert.Equal(t, a.body.Error.Outcome, p.outcome)
			assert.Equal(t, a.header.Get("Plantain-Outcome"), p.outcome)
			assert.Equal(t, a.header.Get("Retry-After") != "", p.code != fault.Expired && p.code != fault.AnswerLost)
			assert.Equal(t, agents[0].requests.Load(), p.agentRequests)
		})
	}
}

// Guards against a keyed call that is resent although its outcome is unknown, and
// against a repeatable or refused call that is not retried.
func TestCall_RetriesOnlyIfNotRunOrRepeatable(t *testing.T) {
	cases := []struct {
		name          string
		fail          behaviour
		keyed         bool
		agentRequests int64
		status        int
	}{
		{"repeatable, connection lost", closingAfter(0), false, 2, 200},
		{"keyed, connection lost", closingAfter(0), true, 1, 503},
		{"keyed, refused", refusingWith(fault.Draining, fault.NotRun), true, 2, 200},
		{"keyed, expired", refusingWith(fault.Expired, fault.NotRun), true, 1, 410},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agents := startAgents(t, 3, inSequence(c.fail))
			s := newTestSystem(t, agents, nil, "")
			method, headers := http.MethodGet, []string(nil)
			if c.keyed {
				method, headers = http.MethodPost, keyed()
			}
			a := s.do(method, "/services/orders/a%2Fb?x=1", "", headers...)
			assert.Equal(t, a.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, a.raw, method+" /a%2Fb?x=1")
			}
			var agentRequests int64
			for _, agent := range agents {
				agentRequests += agent.requests.Load()
			}
			assert.Equal(t, agentRequests, c.agentRequests)
		})
	}
}

// Guards against a retry in the data centre of the failed attempt while another
// data centre has upstreams.
func TestCall_RetriesInAnotherDataCentre(t *testing.T) {
	var mu sync.Mutex
	var hosts []string
	agents := startAgents(t, 6, always(func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		mu.Lock()
		hosts = append(hosts, a.host)
		first := len(hosts)%2 == 1
		mu.Unlock()
		if !first {
			healthy(a, s, f)
		}
	}))
	s := newTestSystem(t, agents, nil, "")
	for range 8 {
		assert.Equal(t, s.do(http.MethodGet, "/services/orders/1", "").status, http.StatusOK)
	}
	upstreams := s.control.View().Upstreams
	for i := 0; i < len(hosts); i += 2 {
		assert.Assert(t, upstreams[hosts[i]].DataCentre != upstreams[hosts[i+1]].DataCentre, "%v", hosts)
	}
}

// Guards against retries that multiply the load when all attempts fail.
func TestRetryBudget_BoundsAttemptsWhenAllFail(t *testing.T) {
	agents := startAgents(t, 3, always(refusingWith(fault.Overloaded, fault.NotRun)))
	s := newTestSystem(t, agents, nil, "")
	const requests = 100
	for range requests {
		a := s.do(http.MethodPost, "/v1/chat/completions", chatBody)
		assert.Equal(t, a.body.Error.Outcome, "not_run")
	}
	var agentRequests int64
	for _, a := range agents {
		agentRequests += a.requests.Load()
	}
	// Retries are limited to a tenth of the requests, a burst of 10 and a minimum
	// of one in 10 s.
	assert.Assert(t, agentRequests <= requests+requests/10+10+2, "%d agent requests for %d caller requests", agentRequests, requests)
	assert.Assert(t, s.entry.metrics.retriesDenied.Get() > 0)
}

// Guards against limits that are not enforced or not divided by the number of
// live entries.
func TestConcurrencyLimit_IsDividedByLiveEntries(t *testing.T) {
	agents := startAgents(t, 1, always(stallingAt(1)))
	s := newTestSystem(t, agents, &wirepb.Limits{ConcurrentRequests: 4}, "")
	view := *s.control.View()
	view.LiveEntryProcesses = 2
	s.control.set(&view)
	waitUntil(t, "the view is applied", func() bool { return s.entry.snapshot.Load().view == &view })
	for range 2 {
		st, err := s.client.CreateChatCompletionStream(context.Background(), chatRequest(5, 1))
		assert.NilError(t, err)
		defer st.Close()
	}
	a := s.do(http.MethodPost, "/v1/chat/completions", chatBody)
	assert.Equal(t, a.status, http.StatusTooManyRequests)
	assert.Equal(t, *a.body.Error.Param, "concurrent_requests")
	assert.Equal(t, a.body.Error.Outcome, "not_run")
	assert.Equal(t, a.header.Get("Retry-After"), "1")
}

// Guards against entries that each take a whole limit because a control replica that has just
// started has heard of few of them.
func TestConcurrencyLimit_StaysDividedWhileControlLearnsOfEntries(t *testing.T) {
	s := newTestSystem(t, startAgents(t, 1, always(stallingAt(1))), &wirepb.Limits{ConcurrentRequests: 4}, "")
	for _, live := range []int{4, 1} {
		view := *s.control.View()
		view.LiveEntryProcesses = live
		s.control.set(&view)
		waitUntil(t, "the view is applied", func() bool { return s.entry.snapshot.Load().view == &view })
	}
	st, err := s.client.CreateChatCompletionStream(context.Background(), chatRequest(5, 1))
	assert.NilError(t, err)
	defer st.Close()
	assert.Equal(t, s.do(http.MethodPost, "/v1/chat/completions", chatBody).status, http.StatusTooManyRequests)
}

// Guards against a burst of batch requests that leaves no capacity for urgent ones.
func TestRequestLimiter_ReservesCapacityForUrgentRequests(t *testing.T) {
	l := newRequestLimiter(10)
	admitted := map[sched.Rank]int{}
	for _, rank := range []sched.Rank{sched.Batch, sched.Standard, sched.Urgent} {
		for range 20 {
			if err := l.admitRequest(rank); err == nil {
				admitted[rank]++
			} else {
				assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			}
		}
	}
	assert.DeepEqual(t, admitted, map[sched.Rank]int{sched.Batch: 6, sched.Standard: 2, sched.Urgent: 2})
}

// Guards against a token rate that is exceeded over time, and against an
// organisation that gets less than its rate.
func TestTokenRate_AverageEqualsShareOfEntry(t *testing.T) {
	l := newOrganisationLimiter()
	org := &wirepb.Entry{Name: "o", Limits: &wirepb.Limits{TokensPerSecond: 100}}
	now := time.Unix(1000, 0)
	served, last := 0, time.Time{}
	for step := range 10000 {
		now = now.Add(time.Duration(step%7) * time.Millisecond)
		u, err := l.acquire(org, 2, 10, now)
		if err != nil {
			assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
			assert.Assert(t, fault.As(err).RetryAfter > 0)
			continue
		}
		u.charge(40)
		u.release()
		served += 50
		last = now
	}
	rate := float64(served) / last.Sub(time.Unix(1000, 0)).Seconds()
	assert.Assert(t, rate > 45 && rate < 60, "%.1f tokens per second, the share is 50", rate)
}

// Guards against new requests on a stale configuration, and against interrupting
// the streams in progress because of it.
func TestStaleView_RefusesNewWorkAndFinishesStreams(t *testing.T) {
	agents := startAgents(t, 2, inSequence(stallingAt(2)))
	s := newTestSystem(t, agents, nil, "[streams]\nstall_timeout=300ms")
	st, err := s.client.CreateChatCompletionStream(context.Background(), chatRequest(6, 1))
	assert.NilError(t, err)
	defer st.Close()
	s.control.stale.Store(true)
	assert.Assert(t, fault.Is(s.entry.Ready(), fault.StaleConfig))
	a := s.do(http.MethodPost, "/v1/chat/completions", chatBody)
	assert.Equal(t, a.body.Error.Code, string(fault.StaleConfig))
	text := ""
	for {
		chunk, err := st.Recv()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		text += chunk.Choices[0].Delta.Content
	}
	assert.Equal(t, text, expected(6, 1))
	s.control.stale.Store(false)
	assert.NilError(t, s.entry.Ready())
}

// Guards against a shutdown that interrupts requests in progress, or that refuses
// requests before the load balancer has seen that the entry is not ready.
func TestDrain_FinishesRequestsInProgress(t *testing.T) {
	release := make(chan struct{})
	slow := func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		if a.generate(s, f.GetGenerate(), 2) {
			<-release
			a.mu.Lock()
			delete(a.epochs, f.GetGenerate().Session)
			a.mu.Unlock()
			f.GetGenerate().Emitted, f.GetGenerate().MaxTokens = []uint32{0, 0}, 4
			healthy(a, s, f)
		}
	}
	s := newTestSystem(t, startAgents(t, 1, inSequence(slow)), nil, "[drain]\ndelay=300ms")
	healthServer, err := lifecycle.NewServer("127.0.0.1:0", s.entry.HealthOptions())
	assert.NilError(t, err)
	defer healthServer.Close(context.Background())
	server, err := callers.NewServer("127.0.0.1:0", s.entry.Handler())
	assert.NilError(t, err)
	st, err := s.client.CreateChatCompletionStream(context.Background(), chatRequest(6, 1))
	assert.NilError(t, err)
	defer st.Close()
	drained := make(chan error, 1)
	go func() { drained <- s.entry.Drain(context.Background(), server) }()
	waitUntil(t, "the entry is not ready", func() bool {
		resp, err := http.Get(fmt.Sprintf("http://%s/readyz", healthServer.Address()))
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	assert.Equal(t, s.do(http.MethodPost, "/v1/chat/completions", chatBody).status, http.StatusOK)
	waitUntil(t, "new requests are refused", func() bool {
		return s.do(http.MethodPost, "/v1/chat/completions", chatBody).body.Error.Code == string(fault.Draining)
	})
	close(release)
	text := ""
	for {
		chunk, err := st.Recv()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		text += chunk.Choices[0].Delta.Content
	}
	assert.Equal(t, text, expected(6, 1))
	assert.NilError(t, <-drained)
	assert.Equal(t, s.entry.lifecycle.State(), lifecycle.Stopped)
}
