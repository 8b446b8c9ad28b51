package replica

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const benchValueSize = 256

// BenchmarkPropose measures durable proposals on three replicas that share one disk,
// with several numbers of concurrent proposers. For comparison it also measures plain
// syncs of a small file on that disk.
func BenchmarkPropose(b *testing.B) {
	b.Run("disk", benchmarkDisk)
	for _, proposers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) { benchmarkProposers(b, proposers) })
	}
}

func benchmarkDisk(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "file"))
	assert.NilError(b, err)
	defer f.Close()
	value := make([]byte, benchValueSize)
	for b.Loop() {
		_, err := f.Write(value)
		assert.NilError(b, err)
		assert.NilError(b, f.Sync())
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "syncs/s")
}

func benchmarkProposers(b *testing.B, proposers int) {
	c := newCluster(b, 3, nil)
	leader := c.leader()
	ctx := testContext(b)
	value := make([]byte, benchValueSize)
	b.ResetTimer()
	var wg sync.WaitGroup
	for p := range proposers {
		wg.Go(func() {
			for i := p; i < b.N; i += proposers {
				if _, err := leader.Propose(ctx, value); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}

// BenchmarkRestart measures the time that Open takes, and the time until all entries
// are applied, with a log of the given number of entries and no snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { benchmarkRestart(b, entries) })
	}
}

func benchmarkRestart(b *testing.B, entries int) {
	c := newCluster(b, 1, func(o *Options) { o.SnapshotEntries = 1 << 30 })
	leader := c.leader()
	ctx := testContext(b)
	var wg sync.WaitGroup
	const proposers = 64
	for p := range proposers {
		wg.Go(func() {
			for i := p; i < entries; i += proposers {
				if _, err := leader.Propose(ctx, make([]byte, benchValueSize)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	var open, serving time.Duration
	b.ResetTimer()
	for range b.N {
		c.stop(1)
		start := time.Now()
		r := c.start(1, nil)
		open += time.Since(start)
		eventually(b, "not serving", func() bool { return r.Status().Applied >= uint64(entries) })
		serving += time.Since(start)
	}
	b.ReportMetric(open.Seconds()*1000/float64(b.N), "open-ms")
	b.ReportMetric(serving.Seconds()*1000/float64(b.N), "serving-ms")
}

// BenchmarkLeaderStopped measures how long no proposal is accepted after the leader
// was isolated or closed, with the default timeouts. Use -benchtime=20x or more.
func BenchmarkLeaderStopped(b *testing.B) {
	for _, silent := range []bool{true, false} {
		b.Run(fmt.Sprintf("silent=%v", silent), func(b *testing.B) { benchmarkLeaderStopped(b, silent) })
	}
}

func benchmarkLeaderStopped(b *testing.B, silent bool) {
	c := newCluster(b, 3, nil)
	var gaps []time.Duration
	for i := range b.N {
		c.mustPropose(fmt.Sprint("before ", i))
		leaderID := c.leader().opts.ID
		c.net.isolate(leaderID, silent)
		start := time.Now()
		if !silent {
			c.stop(leaderID)
		}
		c.mustPropose(fmt.Sprint("after ", i), leaderID)
		gaps = append(gaps, time.Since(start))
		c.stop(leaderID)
		c.net.isolate(leaderID, false)
		c.start(leaderID, nil)
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(gaps[len(gaps)*95/100].Milliseconds()), "p95-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
}
