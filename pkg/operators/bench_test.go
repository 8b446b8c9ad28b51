package operators

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// BenchmarkCatalogue measures the time and memory to encode and to decode a
// change of n organisations, as the operator command line and the server do, and
// the encoded size.
func BenchmarkCatalogue(b *testing.B) {
	for _, n := range []int{10, 360, 3600} {
		req := &ChangeRequest{RequestID: "0190a5b2-7c3d-7e4f-8a5b-0123456789ab", Comment: "limits"}
		for i := range n {
			req.Put = append(req.Put, Entry{Value: &wirepb.Entry{
				Kind: "organisation", Name: fmt.Sprintf("organisation-%d", i), Owner: "platform-team", Class: "standard",
				Limits:       &wirepb.Limits{ConcurrentRequests: 100, TokensPerSecond: 10_000, QueuedRequests: 50, BodyBytes: 1 << 20},
				Organisation: &wirepb.OrganisationSpec{KeySha256: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)}, Weight: 10}}})
		}
		data, err := json.Marshal(req)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("write/organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = json.Marshal(req)
			}
			b.ReportMetric(float64(len(data)), "wire-B")
		})
		b.Run(fmt.Sprintf("read/organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, json.Unmarshal(data, &ChangeRequest{}))
			}
		})
	}
}
