package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// observationTime is how long idle agents and load watches are measured.
const observationTime = 2 * time.Second

// idleCost returns the CPU time in ns that the process uses in a second.
func idleCost(b *testing.B) float64 {
	started, spent := time.Now(), rusage.CPUTime()
	waitFor(b, "end of the observation", func() bool { return time.Since(started) >= observationTime })
	return float64((rusage.CPUTime() - spent).Nanoseconds()) / time.Since(started).Seconds()
}

// BenchmarkRelay measures the CPU time of one request on an engine with all
// layers and on a chain of three. It includes the client and the stand-in
// engines, so it is an upper bound for the agents.
func BenchmarkRelay(b *testing.B) {
	for _, tokens := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("whole/tokens=%d", tokens), func(b *testing.B) {
			benchmarkRelay(b, tokens, startEngineNode(b, "w", 0, testLayers-1, nil, nil))
		})
		b.Run(fmt.Sprintf("chain/tokens=%d", tokens), func(b *testing.B) {
			benchmarkRelay(b, tokens, startChain(b, nil, nil)...)
		})
	}
}

func benchmarkRelay(b *testing.B, tokens int, nodes ...*testNode) {
	c := newClient(b)
	spent := rusage.CPUTime()
	for i := range b.N {
		_, _, err := collectTokens(context.Background(), c, newGenerateRequest(fmt.Sprint("s", i), 1, promptOfLength(20), uint32(tokens), nodes...), nil)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64((rusage.CPUTime()-spent).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkBuildReport measures building a load report without sending it.
func BenchmarkBuildReport(b *testing.B) {
	n := startAgent(b, "a", newFakeControl(), nil)
	for b.Loop() {
		n.agent.buildReport()
	}
}

// BenchmarkIdle measures the CPU time per second and the memory of agents
// without work or watchers. It includes their stand-in engines.
func BenchmarkIdle(b *testing.B) {
	idleBefore := idleCost(b)
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			before := rusage.LiveMemory()
			for i := range n {
				startEngineNode(b, fmt.Sprint("h", i), 0, testLayers-1, nil, func(o *standin.EngineOptions) {
					o.Report.AnnouncementInterval, o.Report.LoadInterval = time.Second, time.Second
				})
			}
			used := rusage.LiveMemory() - before
			idle := idleCost(b) - idleBefore
			for b.Loop() { // the metrics below are measured above
			}
			b.ReportMetric(float64(used)/float64(n), "B/agent")
			b.ReportMetric(idle/float64(n), "cpu-ns-each-s/agent")
		})
	}
}

// BenchmarkLoadWatchers measures the CPU time per second and the memory of the
// load watches of many entries. It includes the entries' clients.
func BenchmarkLoadWatchers(b *testing.B) {
	for _, n := range []int{25, 100, 400} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			agent := startAgent(b, "a", newFakeControl(), nil)
			idleBefore := idleCost(b)
			before := rusage.LiveMemory()
			ctx, cancel := context.WithCancel(context.Background())
			b.Cleanup(cancel)
			watched := make(chan struct{}, n)
			for i := range n {
				pool := link.NewPool(link.Options{Identity: link.Identity{Role: "entry", Host: fmt.Sprint("e", i)}})
				b.Cleanup(pool.Close)
				first := true
				go client.NewClient(pool).Monitor(ctx, agent.agent.Address(), func(*wirepb.LoadReport) {
					if first {
						first = false
						watched <- struct{}{}
					}
				}, func(time.Duration) {})
			}
			for range n {
				<-watched
			}
			used := rusage.LiveMemory() - before
			idle := idleCost(b) - idleBefore
			for b.Loop() { // the metrics below are measured above
			}
			b.ReportMetric(float64(used)/float64(n), "B/watcher")
			b.ReportMetric(idle/float64(n), "cpu-ns-each-s/watcher")
		})
	}
}
