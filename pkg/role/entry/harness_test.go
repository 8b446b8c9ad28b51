package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	openai "github.com/sashabaranov/go-openai"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	testKey    = "key-of-titiwangsa"
	testLayers = 4
)

// Guards against goroutines that outlive their request, watch or upstream.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeControl is a ControlClient whose view, staleness and claims are set by the
// test.
type fakeControl struct {
	view    atomic.Pointer[control.View]
	changed chan struct{}
	stale   atomic.Bool
	claim   atomic.Value // status of every claim read; empty means no answer
}

func (c *fakeControl) View() *control.View      { return c.view.Load() }
func (c *fakeControl) Changed() <-chan struct{} { return c.changed }

func (c *fakeControl) Confirmed() time.Time {
	if c.stale.Load() {
		return time.Now().Add(-time.Hour)
	}
	return time.Now()
}

func (c *fakeControl) ReadClaim(context.Context, *wirepb.ClaimRequest, time.Duration) (*wirepb.ClaimReply, error) {
	status, _ := c.claim.Load().(string)
	if status == "" {
		return nil, fault.New(fault.Unavailable, "no control replica answered")
	}
	return &wirepb.ClaimReply{Status: status}, nil
}

func (c *fakeControl) set(v *control.View) {
	c.view.Store(v)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// behaviour handles one request of the entry, whose stream is closed afterwards.
type behaviour func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame)

// fakeAgent implements the agent side of the protocol.
type fakeAgent struct {
	host          string
	server        *link.Server
	nextBehaviour func() behaviour
	silent        atomic.Bool
	engineLost    atomic.Bool // reports that it takes no work, as an agent without its engine
	requests      atomic.Int64
	cancelled     atomic.Int64
	reports       atomic.Int64
	mu            sync.Mutex
	epochs        map[string]uint64
}

func startAgent(tb testing.TB, host string, nextBehaviour func() behaviour) *fakeAgent {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	a := &fakeAgent{host: host, nextBehaviour: nextBehaviour, epochs: make(map[string]uint64)}
	a.server = link.NewServer(ln, link.Options{}, a.serve, nil)
	tb.Cleanup(func() { _ = a.server.Close() })
	return a
}

func (a *fakeAgent) serve(_ link.Identity, s *wire.Stream) {
	defer s.Close()
	f, err := s.Read()
	if err != nil {
		return
	}
	if f.GetLoadWatch() != nil {
		a.report(s)
		return
	}
	a.requests.Add(1)
	a.nextBehaviour()(a, s, f)
}

func (a *fakeAgent) report(s *wire.Stream) {
	ended := make(chan struct{})
	go func() { defer close(ended); _, _ = s.Read() }()
	for n := uint64(1); ; n++ {
		if !a.silent.Load() {
			r := &wirepb.LoadReport{Sequence: n, Host: a.host, Incarnation: 1, Slots: 8, Draining: a.engineLost.Load()}
			if s.Write(&wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: r}}) != nil {
				return
			}
			a.reports.Add(1)
		}
		select {
		case <-ended:
			return
		case <-time.After(agent.LoadReportInterval):
		}
	}
}

// open checks and records the epoch of an attempt as a real agent does.
func (a *fakeAgent) open(req *wirepb.GenerateRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Epoch <= a.epochs[req.Session] {
		return fault.New(fault.StaleEpoch, "stale epoch")
	}
	a.epochs[req.Session] = req.Epoch
	return nil
}

// endOf returns the position after the last token of the answer.
func endOf(req *wirepb.GenerateRequest) uint32 { return uint32(len(req.Emitted)) + req.MaxTokens }

func token(req *wirepb.GenerateRequest, position, id uint32) *wirepb.Token {
	return &wirepb.Token{Session: req.Session, Epoch: req.Epoch, Position: position, Id: id, Last: position+1 == endOf(req)}
}

func sendToken(s *wire.Stream, t *wirepb.Token) error {
	return s.Write(&wirepb.Frame{Body: &wirepb.Frame_Token{Token: t}})
}

// generate sends correct tokens for the positions before end. It reports whether
// all were sent.
func (a *fakeAgent) generate(s *wire.Stream, req *wirepb.GenerateRequest, end uint32) bool {
	if err := a.open(req); err != nil {
		_ = s.WriteError(err)
		return false
	}
	reference := standin.ReferenceTokens(req.Prompt, testLayers, req.Seed, int(endOf(req)))
	for p := uint32(len(req.Emitted)); p < min(end, endOf(req)); p++ {
		if sendToken(s, token(req, p, reference[p])) != nil {
			return false
		}
	}
	return true
}

// healthy answers without faults.
func healthy(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
	if call := f.GetCall(); call != nil {
		answer := &wirepb.CallResponse{RequestId: call.RequestId, Status: 200, Body: []byte(call.Method + " " + call.Path)}
		_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_CallResponse{CallResponse: answer}})
		return
	}
	req := f.GetGenerate()
	if a.generate(s, req, endOf(req)) {
		done := &wirepb.GenerateDone{FinishReason: finishLength, CompletionTokens: endOf(req)}
		_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_GenerateDone{GenerateDone: done}})
	}
}

// failingAfter returns an error after the given number of further tokens.
func failingAfter(count uint32, err *fault.Error) behaviour {
	return func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		if req := f.GetGenerate(); req != nil && !a.generate(s, req, uint32(len(req.Emitted))+count) {
			return
		}
		_ = s.WriteError(err)
	}
}

// closingAfter closes the stream after the given number of further tokens.
func closingAfter(count uint32) behaviour {
	return func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		if req := f.GetGenerate(); req != nil {
			a.generate(s, req, uint32(len(req.Emitted))+count)
		}
	}
}

// stallingAt sends the tokens before the given position, then waits until the
// entry cancels or closes the stream.
func stallingAt(position uint32) behaviour {
	return func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		if req := f.GetGenerate(); req != nil {
			a.generate(s, req, position)
		}
		_, _ = s.Read()
		a.cancelled.Add(1)
	}
}

// testSystem is an entry with an HTTP client and fake agents.
type testSystem struct {
	tb      testing.TB
	entry   *Entry
	control *fakeControl
	agents  []*fakeAgent
	server  *httptest.Server
	client  *openai.Client
}

func always(b behaviour) func() behaviour { return func() behaviour { return b } }

// inSequence uses each behaviour for one request, across all agents, and healthy
// for all further requests.
func inSequence(list ...behaviour) func() behaviour {
	var next atomic.Int64
	return func() behaviour {
		if n := int(next.Add(1)); n <= len(list) {
			return list[n-1]
		}
		return healthy
	}
}

func startAgents(tb testing.TB, n int, nextBehaviour func() behaviour) []*fakeAgent {
	var agents []*fakeAgent
	for i := range n {
		agents = append(agents, startAgent(tb, fmt.Sprintf("host-%d", i), nextBehaviour))
	}
	return agents
}

func testView(agents []*fakeAgent, limits *wirepb.Limits) *control.View {
	sum := sha256.Sum256([]byte(testKey))
	org := &wirepb.Entry{Kind: "organisation", Name: "titiwangsa", Class: "urgent", Limits: limits,
		Organisation: &wirepb.OrganisationSpec{Weight: 1}}
	v := &control.View{
		Revision:           1,
		Models:             map[string]*wirepb.Entry{"m": {Name: "m", Model: &wirepb.ModelSpec{Layers: testLayers, Version: "1", MaxTokens: 5000}}},
		Services:           map[string]*wirepb.Entry{"orders": {Name: "orders", Service: &wirepb.ServiceSpec{RepeatableMethods: []string{"GET"}}}},
		OrganisationsByKey: map[string]*wirepb.Entry{hex.EncodeToString(sum[:]): org},
		Upstreams:          map[string]*wirepb.Announcement{},
		LiveEntryProcesses: 1,
	}
	for i, a := range agents {
		v.Upstreams[a.host] = &wirepb.Announcement{
			Host: a.host, DataCentre: fmt.Sprintf("dc-%d", i%3), AgentAddress: a.server.Address(), Incarnation: 1,
			Models:   []*wirepb.ModelHeld{{Model: "m", Version: "1", FirstLayer: 0, LastLayer: testLayers - 1}},
			Services: []string{"orders"},
		}
	}
	return v
}

func testSettings(tb testing.TB, extra string) Settings {
	s, err := ParseSettings("test.ini", []byte("[process]\nhost=e\ndata_centre=dc-0\n[callers]\nlisten=127.0.0.1:0\n[platform]\nlisten=127.0.0.1:0\n[control]\naddresses=127.0.0.1:1\n"+extra))
	assert.NilError(tb, err)
	return s
}

func newTestSystem(tb testing.TB, agents []*fakeAgent, limits *wirepb.Limits, settings string) *testSystem {
	tb.Helper()
	s := &testSystem{tb: tb, agents: agents, control: &fakeControl{changed: make(chan struct{}, 1)}}
	s.control.view.Store(testView(agents, limits))
	s.control.claim.Store(control.ClaimAbsent)
	pool := link.NewPool(link.Options{})
	s.entry = New(Options{
		Settings: testSettings(tb, settings), Control: s.control, Agents: agent.NewClient(pool), Log: logs.Nop(),
		Tokenize: upstreams.Tokenize, Detokenize: upstreams.Detokenize, PrefixHashes: upstreams.PrefixHashes,
	})
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(tb, s.entry.Start(ctx))
	s.server = httptest.NewServer(s.entry.Handler())
	conf := openai.DefaultConfig(testKey)
	conf.BaseURL = s.server.URL + "/v1"
	s.client = openai.NewClientWithConfig(conf)
	tb.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		s.server.Close()
		cancel()
		s.entry.goroutines.Wait()
		pool.Close()
	})
	waitUntil(tb, "all agents are in the table", func() bool {
		snap := s.entry.snapshot.Load()
		return snap != nil && snap.table.Len() == len(agents)
	})
	return s
}

func waitUntil(tb testing.TB, what string, cond func() bool) {
	tb.Helper()
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func chatRequest(maxTokens, seed int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model: "m", MaxCompletionTokens: maxTokens, Seed: &seed,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "where is my order"}},
	}
}

// expected returns the answer of a single engine without faults.
func expected(maxTokens, seed int) string {
	text := ""
	for _, id := range standin.ReferenceTokens(upstreams.Tokenize("user where is my order"), testLayers, uint64(seed), maxTokens) {
		text += upstreams.Detokenize(id)
	}
	return text
}

// stream returns the text of a streamed answer and the error that ended it, which
// is io.EOF for a complete answer.
func (s *testSystem) stream(ctx context.Context, maxTokens, seed int) (string, error) {
	st, err := s.client.CreateChatCompletionStream(ctx, chatRequest(maxTokens, seed))
	if err != nil {
		return "", err
	}
	defer st.Close()
	text := ""
	for {
		chunk, err := st.Recv()
		if err != nil {
			return text, err
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
}
