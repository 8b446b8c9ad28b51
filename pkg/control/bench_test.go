package control

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func benchEvent(organisations, upstreams int) *wirepb.WatchEvent {
	ev := &wirepb.WatchEvent{Revision: uint64(organisations), Full: true, UpstreamsFull: true}
	for i := range organisations {
		ev.Entries = append(ev.Entries, benchOrganisation(i))
	}
	for i := range upstreams {
		ev.Upstreams = append(ev.Upstreams, &wirepb.Announcement{
			Host: fmt.Sprintf("host-%d", i), DataCentre: "dc-11", Region: "region-3", AgentAddress: "10.12.134.21:7401",
			Incarnation: 1_700_000_000_000_000_000, Kind: "engine", Accelerator: "kind-7", Slots: 52, KvTokens: 2_000_000, State: "serving",
			Models: []*wirepb.ModelHeld{{Model: "model-27-instruct", Version: "2026-11-03", FirstLayer: 27, LastLayer: 53, Adapters: []string{"defects-v4"}}}})
	}
	return ev
}

func benchOrganisation(i int) *wirepb.Entry {
	return &wirepb.Entry{Kind: KindOrganisation, Name: fmt.Sprintf("organisation-%d", i), Owner: "platform-team", Class: "standard",
		Limits:       &wirepb.Limits{ConcurrentRequests: 100, TokensPerSecond: 10_000, QueuedRequests: 50, BodyBytes: 1 << 20},
		Organisation: &wirepb.OrganisationSpec{KeySha256: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)}, Weight: 10}}
}

// decodeView returns the view that a watcher builds from the bytes of a full
// event.
func decodeView(b *testing.B, data []byte) *View {
	ev := &wirepb.WatchEvent{}
	assert.NilError(b, proto.Unmarshal(data, ev))
	v, err := emptyView().withEvent(ev)
	assert.NilError(b, err)
	return v
}

// BenchmarkViewFull measures what a watcher spends on the full state, the
// memory that it then holds and the bytes that it received.
func BenchmarkViewFull(b *testing.B) {
	for _, n := range []int{1000, 5000, 11_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) { benchmarkViewFull(b, n, benchEvent(0, n)) })
	}
	for _, n := range []int{360, 3600, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) { benchmarkViewFull(b, n, benchEvent(n, 0)) })
	}
}

func benchmarkViewFull(b *testing.B, n int, ev *wirepb.WatchEvent) {
	data, err := proto.Marshal(ev)
	assert.NilError(b, err)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := decodeView(b, data)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		decodeView(b, data)
	}
	runtime.KeepAlive(v)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
	b.ReportMetric(float64(len(data)), "wire-B")
}

// BenchmarkViewChange measures how a watcher applies one changed organisation
// and one changed announcement.
func BenchmarkViewChange(b *testing.B) {
	for _, n := range []int{360, 3600, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			v, err := emptyView().withEvent(benchEvent(n, 0))
			assert.NilError(b, err)
			benchmarkWithEvent(b, v, &wirepb.WatchEvent{Revision: v.Revision + 1, Entries: []*wirepb.Entry{benchOrganisation(7)}})
		})
	}
	for _, n := range []int{1000, 5000, 11_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			full := benchEvent(0, n)
			v, err := emptyView().withEvent(full)
			assert.NilError(b, err)
			benchmarkWithEvent(b, v, &wirepb.WatchEvent{Revision: v.Revision, Upstreams: full.Upstreams[:1]})
		})
	}
}

func benchmarkWithEvent(b *testing.B, v *View, ev *wirepb.WatchEvent) {
	for b.Loop() {
		_, err := v.withEvent(ev)
		assert.NilError(b, err)
	}
}
