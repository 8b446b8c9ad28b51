package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// memoryAgents is an AgentClient that answers in memory, so that a benchmark
// measures only the entry.
type memoryAgents struct{}

func (memoryAgents) Generate(_ context.Context, _ string, req *wirepb.GenerateRequest, on agent.GenerateCallbacks) (*wirepb.GenerateDone, error) {
	for p := range endOf(req) {
		if err := on.OnToken(token(req, p, p)); err != nil {
			return nil, err
		}
	}
	return &wirepb.GenerateDone{FinishReason: finishLength, CompletionTokens: endOf(req)}, nil
}

func (memoryAgents) Call(_ context.Context, _ string, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return &wirepb.CallResponse{RequestId: req.RequestId, Status: 200}, nil
}

func (memoryAgents) Monitor(ctx context.Context, _ string, _ func(*wirepb.LoadReport), _ func(time.Duration)) {
	<-ctx.Done()
}

func (memoryAgents) CloseSession(string) {}

// newMemoryEntry returns an entry and its upstream monitor with n upstreams that
// have each reported once. The goroutine of the monitor does not run.
func newMemoryEntry(b *testing.B, n int) (*Entry, *upstreamMonitor, []upstreamEvent) {
	ctl := &fakeControl{changed: make(chan struct{}, 1)}
	view := testView(nil, nil)
	for i := range n {
		host := fmt.Sprintf("host-%d", i)
		view.Upstreams[host] = &wirepb.Announcement{
			Host: host, DataCentre: fmt.Sprintf("dc-%d", i%3), AgentAddress: "127.0.0.1:1", Incarnation: 1,
			Models: []*wirepb.ModelHeld{{Model: "m", Version: "1", LastLayer: testLayers - 1}},
		}
	}
	ctl.view.Store(view)
	e := New(Options{
		Settings: testSettings(b, ""), Control: ctl, Agents: memoryAgents{}, Log: logs.Nop(),
		Tokenize: upstreams.Tokenize, Detokenize: upstreams.Detokenize, PrefixHashes: upstreams.PrefixHashes,
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	m := newUpstreamMonitor(ctx, e)
	m.applyView()
	var events []upstreamEvent
	for _, up := range m.upstreamStates {
		r := &wirepb.LoadReport{Host: up.announcement.Host, Incarnation: 1, Slots: 8, Prefixes: make([]uint64, 64),
			Ranks: []*wirepb.RankLoad{{Rank: wirepb.Rank_RANK_URGENT}, {Rank: wirepb.Rank_RANK_STANDARD}, {Rank: wirepb.Rank_RANK_BATCH}}}
		events = append(events, upstreamEvent{upstream: up, report: r})
		m.applyEvent(events[len(events)-1])
	}
	return e, m, events
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) Flush()                      {}

// BenchmarkRequest measures the entry's own code for a streamed request of
// 1, 64 or 1,024 tokens, without any connection.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			e, _, _ := newMemoryEntry(b, 43)
			h := e.Handler()
			body := []byte(fmt.Sprintf(`{"model":"m","stream":true,"seed":1,"max_tokens":%d,"messages":[{"role":"user","content":"where is my order"}]}`, tokens))
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest("POST", "/v1/chat/completions", bytes.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			}
		})
	}
}

// BenchmarkLoop measures the total processor time of entry, fake agent and caller
// over TCP, which is an upper bound for the entry.
func BenchmarkLoop(b *testing.B) {
	for _, tokens := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			s := newTestSystem(b, startAgents(b, 3, always(healthy)), nil, "")
			body := fmt.Sprintf(`{"model":"m","stream":true,"seed":1,"max_tokens":%d,"messages":[{"role":"user","content":"where is my order"}]}`, tokens)
			before := rusage.CPUTime()
			for b.Loop() {
				a := s.do("POST", "/v1/chat/completions", body)
				assert.Equal(b, a.status, http.StatusOK)
			}
			b.ReportMetric(float64(rusage.CPUTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkOpenStreams measures the memory of open streams. It includes the
// agent's side of each stream and the socket of the caller.
func BenchmarkOpenStreams(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			s := newTestSystem(b, startAgents(b, 3, always(stallingAt(1))), nil, "[streams]\nstall_timeout=5m")
			before := rusage.LiveMemory()
			conns := openStreams(b, s, n)
			used := rusage.LiveMemory() - before
			for b.Loop() { // nothing is timed
			}
			b.ReportMetric(float64(used)/float64(n), "B/stream")
			for _, c := range conns {
				_ = c.Close()
			}
			waitUntil(b, "all streams have ended", func() bool { return s.entry.lifecycle.InFlight() == 0 })
		})
	}
}

func openStreams(b *testing.B, s *testSystem, n int) []net.Conn {
	body := `{"model":"m","stream":true,"seed":1,"max_tokens":100,"messages":[{"role":"user","content":"hi"}]}`
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", s.server.Listener.Addr().String())
		assert.NilError(b, err)
		_, err = io.WriteString(c, request)
		assert.NilError(b, err)
		_, err = c.Read(make([]byte, 64))
		assert.NilError(b, err)
		conns = append(conns, c)
	}
	return conns
}

// BenchmarkReport measures the table update for one load report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{43, 1000, 11000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			_, m, events := newMemoryEntry(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				m.applyEvent(events[i%n])
			}
		})
	}
}

// BenchmarkCheck measures one liveness check of all upstreams, which runs every
// 50 ms.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{43, 1000, 11000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			e, m, _ := newMemoryEntry(b, n)
			now := e.opts.Now()
			for b.Loop() {
				m.checkUpstreams(now)
			}
		})
	}
}

// BenchmarkFollow measures the application of a new view whose upstreams are
// unchanged.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{43, 1000, 11000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			e, m, _ := newMemoryEntry(b, n)
			ctl := e.opts.Control.(*fakeControl)
			views := [2]control.View{*ctl.View(), *ctl.View()}
			for i := 0; b.Loop(); i++ {
				ctl.view.Store(&views[i%2])
				m.applyView()
			}
		})
	}
}

// BenchmarkFollower measures the memory of one load watch over a session and
// the processor time of one report. Both include the agent's side.
func BenchmarkFollower(b *testing.B) {
	for _, n := range []int{40, 160, 640} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			agents := startAgents(b, n, always(func(*fakeAgent, *wire.Stream, *wirepb.Frame) {}))
			reports := func() (sum int64) {
				for _, a := range agents {
					sum += a.reports.Load()
				}
				return sum
			}
			before := rusage.LiveMemory()
			newTestSystem(b, agents, nil, "")
			used := rusage.LiveMemory() - before
			started, spent := reports(), rusage.CPUTime()
			b.ResetTimer()
			waitUntil(b, "reports", func() bool { return reports()-started >= int64(b.N) })
			b.ReportMetric(float64(used)/float64(n), "B/upstream")
			b.ReportMetric(float64(rusage.CPUTime()-spent)/float64(reports()-started), "cpu-ns/report")
		})
	}
}

// BenchmarkUpstreamMemory measures the routing state of each upstream without
// its load watch.
func BenchmarkUpstreamMemory(b *testing.B) {
	for _, n := range []int{1000, 5000, 11000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			before := rusage.LiveMemory()
			e, m, events := newMemoryEntry(b, n)
			used := rusage.LiveMemory() - before
			for b.Loop() { // nothing is timed
			}
			b.ReportMetric(float64(used)/float64(n), "B/upstream")
			runtime.KeepAlive(e)
			runtime.KeepAlive(m)
			runtime.KeepAlive(events)
		})
	}
}
