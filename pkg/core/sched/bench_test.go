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
		r := Request{ID: id, Rank: Rank(id % Ranks), Organisation: names[id%uint64(organisations)], Cost: 300, Bytes: 100}
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
		s.Charge(started[slot], 200)
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
