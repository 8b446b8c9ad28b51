package state

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const benchTime = 1_700_000_000_000

func benchClaim(i int) *wirepb.Command {
	return &wirepb.Command{TimeUnixMs: benchTime, Body: &wirepb.Command_Claim{Claim: &wirepb.ClaimRequest{
		Organisation:     fmt.Sprintf("organisation-%d", i%3600),
		Service:          "certificate-filing",
		Key:              fmt.Sprintf("0190a5b2-7c3d-7e4f-8a5b-%012d", i),
		KeyCreatedUnixMs: benchTime + int64(i%60_000),
		Attempt:          fmt.Sprintf("0190a5b2-7c3d-7e4f-9a5b-%012d", i),
		RequestDigest:    make([]byte, digestSize),
		Host:             fmt.Sprintf("host-%d", i%11_000),
	}}}
}

func benchOrganisation(i, revision int) *wirepb.Command {
	e := &wirepb.Entry{
		Kind: KindOrganisation, Name: fmt.Sprintf("organisation-%d", i), Owner: "platform-team", Class: "standard",
		Limits:       &wirepb.Limits{ConcurrentRequests: 100, TokensPerSecond: 10_000, QueuedRequests: 50, BodyBytes: 1 << 20},
		Organisation: &wirepb.OrganisationSpec{KeySha256: []string{fmt.Sprintf("%064x", i*2), fmt.Sprintf("%064x", i*2+1)}, Weight: 10},
	}
	change := &wirepb.Change{BaseRevision: uint64(revision), Put: []*wirepb.Entry{e}, Comment: "change of limits"}
	return &wirepb.Command{RequestId: fmt.Sprintf("request-%d", revision), Operator: "ann", TimeUnixMs: benchTime, Body: &wirepb.Command_Change{Change: change}}
}

func newFilledStore(claims, organisations int) *Store {
	s := New()
	for i := range organisations {
		s.Apply(s.applied+1, benchOrganisation(i, i))
	}
	for i := range claims {
		s.Apply(s.applied+1, benchClaim(i))
	}
	return s
}

// heapBytes returns the store that build makes and the bytes it adds to the live
// heap.
func heapBytes(build func() *Store) (float64, *Store) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), s
}

func BenchmarkApplyClaim(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		bytes, s := heapBytes(func() *Store { return newFilledStore(size, 0) })
		b.Run(fmt.Sprintf("claims=%d", size), func(b *testing.B) {
			next := size
			for b.Loop() {
				s.Apply(s.applied+1, benchClaim(next))
				next++
			}
			b.ReportMetric(bytes/float64(size), "B/claim")
		})
	}
}

func BenchmarkApplyChange(b *testing.B) {
	for _, size := range []int{360, 3600, 18_000} {
		bytes, s := heapBytes(func() *Store { return newFilledStore(0, size) })
		b.Run(fmt.Sprintf("organisations=%d", size), func(b *testing.B) {
			for b.Loop() {
				s.Apply(s.applied+1, benchOrganisation(int(s.Revision())%size, int(s.Revision())))
			}
			b.ReportMetric(bytes/float64(size), "B/organisation")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		s := newFilledStore(size, 3600)
		data, err := s.Snapshot()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("take/claims=%d", size), func(b *testing.B) {
			for b.Loop() {
				_, _ = s.Snapshot()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("restore/claims=%d", size), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, New().Restore(data))
			}
		})
	}
}
