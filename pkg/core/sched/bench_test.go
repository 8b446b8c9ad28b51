package sched

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// Measures the operations of a saturated scheduler: each iteration submits,
// starts, charges and finishes one request.
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

// Measures what a slot reserve gives urgent work and costs the others: urgent
// work arrives at a tenth of the capacity while long batch generations flood
// 16 slots.
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
	m := newModel(Config{Slots: 16, UrgentReserve: reserve}, 7)
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

// Measures what small callers gain by fair queueing: one organisation sends
// three times the capacity, nine others a twentieth each. The same work in one
// queue is the comparison. Small callers are sent in the standard rank and
// measured there; the flood runs in the same rank.
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
	m := newModel(Config{Slots: 16, UrgentReserve: -1}, 7)
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

// Measures the urgent and standard wait at 90% load when the requests wait in
// one queue at the upstream, and when each of four entries has its own queue
// and a quarter of the slots.
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
	all := newModel(Config{Slots: slots, UrgentReserve: -1}, 0)
	for i := range queues {
		m := newModel(Config{Slots: slots / queues, UrgentReserve: -1}, uint64(i))
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
