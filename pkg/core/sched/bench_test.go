package sched

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// Measures the operations of a saturated scheduler: each iteration submits and
// starts one request, and reports the usage of another and finishes it.
func BenchmarkOperations(b *testing.B) {
	for _, organisations := range []int{10, 300, 3600} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			benchmarkOperations(b, organisations)
		})
	}
}

func benchmarkOperations(b *testing.B, organisations int) {
	const depth = 40 // requests of each organisation
	names := make([]string, organisations)
	for i := range names {
		names[i] = "organisation-" + strconv.Itoa(i)
	}
	s := New(Config{Slots: 64, MaxQueued: 1 << 20, MaxQueuedBytes: 1 << 40, UrgentReserve: -1})
	now := time.Unix(0, 0)
	id := uint64(0)
	submit := func() {
		id++
		r := Request{ID: id, Rank: Rank(id % NumRanks), Organisation: names[id%uint64(organisations)], Cost: 300, Bytes: 100}
		r.Deadline = now.Add(time.Hour)
		if err := s.Submit(now, r); err != nil {
			b.Fatal(err)
		}
	}
	for range depth * organisations {
		submit()
	}
	var started [64]uint64
	for i := range started {
		r, ok := s.Next(now)
		if !ok {
			b.Fatal("no request for a free slot")
		}
		started[i] = r.ID
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		submit()
		slot := i % len(started)
		s.ReportUsage(started[slot], 200)
		s.Finish(now, started[slot])
		r, _ := s.Next(now)
		started[slot] = r.ID
	}
	b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "ops/s")
}

// Measures the wait of urgent requests, the batch throughput and the idle slots for
// several sizes of the urgent reserve. Urgent requests arrive at a tenth of the
// capacity while long batch generations saturate 16 slots.
func BenchmarkUrgentReserve(b *testing.B) {
	for _, reserve := range []int{-1, 1, 2, 4, 9} {
		b.Run(fmt.Sprintf("reserve=%d", max(reserve, 0)), func(b *testing.B) {
			for b.Loop() {
				measureReserve(b, reserve)
			}
		})
	}
}

func measureReserve(b *testing.B, reserve int) {
	m := newSimulatedUpstream(Config{Slots: 16, UrgentReserve: reserve}, 7)
	const length = 4 * time.Hour
	m.run(length, []arrivals{
		{rank: Urgent, perSecond: 0.8, organisations: 10, prompt: 50, mean: 50},
		{rank: Batch, perSecond: 4, organisations: 3, prompt: 100, mean: 400},
	})
	b.ReportMetric(m.percentile(Urgent, 0.5).Seconds(), "urgent-p50-s")
	b.ReportMetric(m.percentile(Urgent, 0.95).Seconds(), "urgent-p95-s")
	b.ReportMetric(m.percentile(Urgent, 0.99).Seconds(), "urgent-p99-s")
	b.ReportMetric(float64(m.tokens[Batch])/length.Seconds(), "batch-tokens/s")
	b.ReportMetric(100*m.idle/(length.Seconds()*16), "idle-slots-%")
}

// Measures the wait of small organisations with and without fair queueing. In the
// standard rank, one organisation sends three times the capacity and nine others
// send a twentieth each. Without fair queueing all requests belong to one
// organisation. Only the requests of the nine are measured.
func BenchmarkFairness(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair=%t", fair), func(b *testing.B) {
			for b.Loop() {
				measureFairness(b, fair)
			}
		})
	}
}

func measureFairness(b *testing.B, fair bool) {
	m := newSimulatedUpstream(Config{Slots: 16, UrgentReserve: -1}, 7)
	const length = time.Hour
	large := arrivals{rank: Standard, perSecond: 16, organisations: 1, prompt: 50, mean: 100, caller: "large"}
	small := arrivals{rank: Standard, perSecond: 2.4, organisations: 9, prompt: 50, mean: 100, caller: "small"}
	if !fair {
		small.organisations, small.caller = 1, "large"
	}
	m.measured = small
	m.run(length, []arrivals{large, small})
	b.ReportMetric(m.percentile(Standard, 0.5).Seconds(), "small-p50-s")
	b.ReportMetric(m.percentile(Standard, 0.95).Seconds(), "small-p95-s")
	b.ReportMetric(100*float64(len(m.waits[Standard]))/(small.perSecond*length.Seconds()), "small-served-%")
}

// Measures the wait of urgent and standard requests at 90% load with one queue at
// the upstream, and with four entries that each have their own queue and a quarter
// of the slots.
func BenchmarkQueuePlace(b *testing.B) {
	for _, queues := range []int{1, 4} {
		b.Run(fmt.Sprintf("queues=%d", queues), func(b *testing.B) {
			for b.Loop() {
				measureQueues(b, queues)
			}
		})
	}
}

func measureQueues(b *testing.B, queues int) {
	const slots = 16
	all := newSimulatedUpstream(Config{Slots: slots, UrgentReserve: -1}, 0)
	for i := range queues {
		m := newSimulatedUpstream(Config{Slots: slots / queues, UrgentReserve: -1}, uint64(i))
		m.run(time.Hour, []arrivals{
			{rank: Urgent, perSecond: 0.5 / float64(queues), organisations: 4, prompt: 50, mean: 100},
			{rank: Standard, perSecond: 4.3 / float64(queues), organisations: 10, prompt: 50, mean: 100},
		})
		for r := range all.waits {
			all.waits[r] = append(all.waits[r], m.waits[r]...)
		}
	}
	b.ReportMetric(all.percentile(Urgent, 0.95).Seconds(), "urgent-p95-s")
	b.ReportMetric(all.percentile(Standard, 0.5).Seconds(), "standard-p50-s")
	b.ReportMetric(all.percentile(Standard, 0.95).Seconds(), "standard-p95-s")
}
