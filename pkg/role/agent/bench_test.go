package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// The benchmarks run engines, other agents and the load in separate processes,
// so that the CPU time and memory of this process are the agent's alone. Each
// measures several sizes and reports the slope of a least-squares line. Run
// them with: go test -run '^$' -bench . -benchtime 1x -cpu 2 ./pkg/role/agent

// helperEnv is the environment variable with the task of a helper process as
// JSON.
const helperEnv = "PLANTAIN_BENCH_HELPER"

type helperTask struct {
	Engine  *helperEngine
	Chain   []helperEngine // agents with engines
	Service bool
	Load    *helperLoad
}

type helperEngine struct {
	First, Last, Slots uint32
	Step               time.Duration
}

type helperLoad struct {
	Stages   []*wirepb.StageRef
	Streams  int
	Tokens   uint32
	Watchers int
	Reports  int
	Calls    int // keyed service calls, sent by callWorkers goroutines
}

const callWorkers = 8

func benchSettings(s *Settings) {
	s.HeartbeatTimeout = time.Hour
	s.StepTimeout = time.Minute
	s.MaxQueued = 1 << 16
	s.UrgentReserve = -1
}

// TestHelperProcess is not a test: it runs the task of a helper process.
func TestHelperProcess(t *testing.T) {
	text := os.Getenv(helperEnv)
	if text == "" {
		t.Skip("runs only as a helper process")
	}
	var task helperTask
	assert.NilError(t, json.Unmarshal([]byte(text), &task))
	if task.Engine != nil {
		e := task.Engine
		engine := standin.NewEngine(benchEngine(*e))
		server := standin.ServeEngine(engine, listen(t))
		fmt.Println("address", server.Address())
	}
	for i, e := range task.Chain {
		n := startEngineNode(t, "h"+strconv.Itoa(i), e.First, e.Last, benchSettings, func(o *standin.EngineOptions) {
			report := o.Report
			*o = benchEngine(e)
			o.Report = report
		})
		fmt.Println("address", n.agent.Address())
	}
	if task.Service {
		server := standin.ServeService(newService(), listen(t))
		fmt.Println("address", server.Address())
	}
	if task.Load != nil {
		runLoad(t, task.Load)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func benchEngine(e helperEngine) standin.EngineOptions {
	return standin.EngineOptions{
		Name: "bench", ModelLayers: testLayers, Slots: e.Slots, SkipLayerRecords: true, Timing: standin.Timing{PerStep: e.Step},
		Models: []upstreams.ModelShard{{Model: "m", Version: "v", FirstLayer: e.First, LastLayer: e.Last}},
	}
}

func runLoad(t *testing.T, l *helperLoad) {
	c := newClient(t)
	var wg sync.WaitGroup
	for i := range l.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := newGenerateRequest(fmt.Sprintf("%d-%d-%d", os.Getpid(), i, time.Now().UnixNano()), 1, promptOfLength(8), l.Tokens)
			r.Stages = l.Stages
			_, _, err := collectTokens(context.Background(), c, r, nil)
			assert.Check(t, err)
		}()
	}
	for range l.Watchers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			left := l.Reports
			_ = c.WatchLoad(ctx, l.Stages[0].Address, func(*wirepb.LoadReport) {
				if left--; left == 0 {
					cancel()
				}
			})
		}()
	}
	for w := range callWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < l.Calls; i += callWorkers {
				id := fmt.Sprintf("%d-%d", os.Getpid(), i)
				r := newCall(id, id)
				r.DeadlineMs = 60_000
				_, err := c.Call(context.Background(), l.Stages[0].Address, r)
				assert.Check(t, err)
			}
		}()
	}
	wg.Wait()
	fmt.Println("done")
}

type helperProcess struct {
	process *os.Process
	lines   *bufio.Scanner
	end     func()
}

func startHelper(b testing.TB, task helperTask) *helperProcess {
	b.Helper()
	text, err := json.Marshal(task)
	assert.NilError(b, err)
	cmd := exec.Command(os.Args[0], "-test.run=^TestHelperProcess$", "-test.timeout=5m")
	cmd.Env = append(os.Environ(), helperEnv+"="+string(text), "GOMAXPROCS=2")
	in, err := cmd.StdinPipe()
	assert.NilError(b, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	h := &helperProcess{process: cmd.Process, lines: bufio.NewScanner(out)}
	var once sync.Once
	h.end = func() {
		once.Do(func() {
			_ = in.Close()
			_, _ = io.Copy(io.Discard, out)
			_ = cmd.Wait()
		})
	}
	b.Cleanup(h.end)
	return h
}

// waitForField returns the second word of the next line whose first word is
// prefix.
func (h *helperProcess) waitForField(b testing.TB, prefix string) string {
	b.Helper()
	for h.lines.Scan() {
		var first, second string
		if _, _ = fmt.Sscan(h.lines.Text(), &first, &second); first == prefix {
			return second
		}
	}
	b.Fatalf("helper ended before %q", prefix)
	return ""
}

// benchNode starts an agent whose engine runs in a helper process.
func benchNode(b *testing.B, e helperEngine) *testNode {
	b.Helper()
	n := startAgent(b, "bench", newFakeControl(), benchSettings)
	n.first, n.last = e.First, e.Last
	a := &upstreams.Announcement{
		Name: "bench", Kind: upstreams.KindEngine, Slots: e.Slots, Address: startHelper(b, helperTask{Engine: &e}).waitForField(b, "address"),
		Models: []upstreams.ModelShard{{Model: "m", Version: "v", FirstLayer: e.First, LastLayer: e.Last}},
	}
	assert.NilError(b, n.agent.upstream.HandleAnnouncement(a))
	return n
}

// slope returns the slope and intercept of the least-squares line.
func slope(x, y []float64) (a, b float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	a = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return a, (sy - a*sx) / n
}

// tokenCost reports the CPU time per token from loads with different numbers of
// tokens.
func tokenCost(b *testing.B, stages []*wirepb.StageRef, streams int) {
	b.Helper()
	var x, y []float64
	for _, tokens := range []uint32{50, 50, 200, 800, 1600} {
		before := rusage.CPUTime()
		h := startHelper(b, helperTask{Load: &helperLoad{Stages: stages, Streams: streams, Tokens: tokens}})
		h.waitForField(b, "done")
		used := rusage.CPUTime() - before
		h.end()
		b.Logf("%d streams of %d tokens: %v", streams, tokens, used)
		x = append(x, float64(tokens))
		y = append(y, float64(used.Microseconds())/float64(streams))
	}
	perToken, _ := slope(x[1:], y[1:]) // without the first run, which warms up
	b.ReportMetric(perToken, "cpu-us/token")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkWholeModel(b *testing.B) {
	for _, streams := range []int{1, 16, 64} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			n := benchNode(b, helperEngine{First: 0, Last: testLayers - 1, Slots: 256})
			tokenCost(b, []*wirepb.StageRef{n.ref()}, streams)
		})
	}
}

// BenchmarkStage measures one agent at each position in a chain of three.
func BenchmarkStage(b *testing.B) {
	layers := []helperEngine{{First: 0, Last: 2, Slots: 256}, {First: 3, Last: 5, Slots: 256}, {First: 6, Last: 8, Slots: 256}}
	for place, name := range []string{"head", "middle", "last"} {
		b.Run(name, func(b *testing.B) {
			var others []helperEngine
			for i, e := range layers {
				if i != place {
					others = append(others, e)
				}
			}
			h := startHelper(b, helperTask{Chain: others})
			n := benchNode(b, layers[place])
			var stages []*wirepb.StageRef
			for i, e := range layers {
				ref := n.ref()
				if i != place {
					ref = &wirepb.StageRef{Host: "h", Address: h.waitForField(b, "address"), FirstLayer: e.First, LastLayer: e.Last}
				}
				stages = append(stages, ref)
			}
			tokenCost(b, stages, 16)
		})
	}
}

// requestCost reports the CPU time per request from loads of different sizes.
func requestCost(b *testing.B, load func(n int) *helperLoad) {
	b.Helper()
	var x, y []float64
	for _, requests := range []int{200, 200, 800, 1600, 3200} {
		before := rusage.CPUTime()
		h := startHelper(b, helperTask{Load: load(requests)})
		h.waitForField(b, "done")
		used := rusage.CPUTime() - before
		h.end()
		b.Logf("%d requests: %v", requests, used)
		x = append(x, float64(requests))
		y = append(y, float64(used.Microseconds()))
	}
	perRequest, _ := slope(x[1:], y[1:])
	b.ReportMetric(perRequest, "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkGenerateRequest measures generations of one token.
func BenchmarkGenerateRequest(b *testing.B) {
	n := benchNode(b, helperEngine{Last: testLayers - 1, Slots: 64})
	requestCost(b, func(requests int) *helperLoad {
		return &helperLoad{Stages: []*wirepb.StageRef{n.ref()}, Streams: requests, Tokens: 1}
	})
}

// BenchmarkKeyedCall measures claimed calls without the cost of control.
func BenchmarkKeyedCall(b *testing.B) {
	n := startAgent(b, "bench", newFakeControl(), benchSettings)
	announce(b, n, startHelper(b, helperTask{Service: true}).waitForField(b, "address"))
	requestCost(b, func(requests int) *helperLoad {
		return &helperLoad{Stages: []*wirepb.StageRef{n.ref()}, Calls: requests}
	})
}

func BenchmarkLoadReport(b *testing.B) {
	n := benchNode(b, helperEngine{Last: testLayers - 1, Slots: 8})
	const reports = 30
	var x, y []float64
	for _, watchers := range []int{10, 10, 40, 160} {
		before := rusage.CPUTime()
		load := &helperLoad{Stages: []*wirepb.StageRef{n.ref()}, Watchers: watchers, Reports: reports}
		h := startHelper(b, helperTask{Load: load})
		h.waitForField(b, "done")
		used := rusage.CPUTime() - before
		h.end()
		b.Logf("%d watchers, %d reports each: %v", watchers, reports, used)
		x = append(x, float64(watchers*reports))
		y = append(y, float64(used.Microseconds()))
	}
	perReport, _ := slope(x[1:], y[1:])
	b.ReportMetric(perReport, "cpu-us/report")
	b.ReportMetric(0, "ns/op")
}

// memoryCost reports the memory per request that the agent holds.
func memoryCost(b *testing.B, slots uint32, counted func(*testNode) int) {
	b.Helper()
	var x, y []float64
	for _, streams := range []int{50, 200, 400, 800} {
		n := benchNode(b, helperEngine{Last: testLayers - 1, Slots: slots, Step: 20 * time.Second})
		before := rusage.LiveMemory()
		h := startHelper(b, helperTask{Load: &helperLoad{Stages: []*wirepb.StageRef{n.ref()}, Streams: streams, Tokens: 100}})
		waitFor(b, "requests", func() bool { return counted(n) >= streams-1 })
		used := rusage.LiveMemory() - before
		b.Logf("%d requests: %.0f KB", streams, float64(used)/1024)
		x = append(x, float64(streams))
		y = append(y, float64(used))
		h.lines = nil
		n.agent.Close()
		h.end()
	}
	perRequest, _ := slope(x, y)
	b.ReportMetric(perRequest/1024, "KB/request")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkMemoryPerStream(b *testing.B) {
	memoryCost(b, 1000, func(n *testNode) int { return n.agent.queue.load().Running })
}

func BenchmarkMemoryPerQueued(b *testing.B) {
	memoryCost(b, 1, func(n *testNode) int { return n.agent.queue.load().Ranks[1].Queued })
}
