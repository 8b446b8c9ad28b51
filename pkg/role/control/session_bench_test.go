package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// observation is the time over which idle sessions are measured. Watchers and
// agents send every 500 ms, four times in it.
const observation = 2 * time.Second

// cpuPerSecond returns the processor time, in nanoseconds, that the process
// spends per second.
func cpuPerSecond(b *testing.B) float64 {
	started, spent := time.Now(), rusage.CPUTime()
	waitUntil(b, "end of the observation", func() bool { return time.Since(started) >= observation })
	return float64((rusage.CPUTime() - spent).Nanoseconds()) / time.Since(started).Seconds()
}

// Measures watches and registrations over real sessions to one replica: the
// processor time per second and the memory, for client and server together.
func BenchmarkSessions(b *testing.B) {
	for _, n := range []int{50, 200, 600} {
		b.Run(fmt.Sprintf("watch/sessions=%d", n), func(b *testing.B) {
			benchmarkSessions(b, n, func(c *cluster, i int) { c.run(c.client(roleAgent, fmt.Sprint("h", i))) },
				func(c *cluster) bool { return c.replicas[0].watchers.count() == n })
		})
		b.Run(fmt.Sprintf("register/sessions=%d", n), func(b *testing.B) {
			benchmarkSessions(b, n, registerAgent, func(c *cluster) bool { return len(c.replicas[0].registry.ChangesSince(0, true).Put) == n })
		})
	}
}

func registerAgent(c *cluster, i int) {
	host := fmt.Sprint("h", i)
	k := c.client(roleAgent, host)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		a := testAnnouncement(host, 1)
		k.Register(ctx, func() *wirepb.Announcement { return a }, nil, func(*wirepb.Order) *wirepb.OrderResult { return nil })
	})
	c.t.Cleanup(func() { cancel(); done.Wait() })
}

func benchmarkSessions(b *testing.B, n int, start func(*cluster, int), ready func(*cluster) bool) {
	c := startCluster(b, 1)
	idleBefore := cpuPerSecond(b)
	before, spent := rusage.LiveMemory(), rusage.CPUTime()
	for i := range n {
		start(c, i)
	}
	waitUntil(b, "sessions", func() bool { return ready(c) })
	starting := rusage.CPUTime() - spent
	used := rusage.LiveMemory() - before
	idle := cpuPerSecond(b) - idleBefore
	for b.Loop() { // nothing is timed
	}
	b.ReportMetric(float64(starting.Nanoseconds())/float64(n), "start-cpu-ns/session")
	b.ReportMetric(float64(used)/float64(n), "B/session")
	b.ReportMetric(idle/float64(n), "cpu-ns-each-s/session")
}

// Measures the building of a full event, which is necessary for the next
// watcher after each change of the catalogue or the registry.
func BenchmarkFullBuild(b *testing.B) {
	for _, n := range []int{1000, 5000, 11_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			w := newWatchBench(b, 1)
			for i := range n {
				a := testAnnouncement(fmt.Sprintf("host-%d", i), 1)
				a.Models = []*wirepb.ModelHeld{{Model: "model-27-instruct", Version: "2026-11-03", LastLayer: 40}}
				_, err := w.feed.registry.Register(time.Now(), a, unavailableStream{})
				assert.NilError(b, err)
			}
			for b.Loop() {
				w.feed.buildFull(true)
			}
		})
	}
}
