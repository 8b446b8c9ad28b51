package path

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// fleet returns data centres whose engines hold the model twice, split at different
// layers.
func fleet(dataCentres int) (*routing.Model, []Engine) {
	m := &routing.Model{Layers: 80, ActivationBytes: 16400, InterDataCentreMbps: 5500}
	var engines []Engine
	for dc := range dataCentres {
		for _, n := range []int{5, 8} {
			for from := 0; from < m.Layers; from += n {
				id := fmt.Sprintf("%d-%d-%d", dc, n, from)
				engines = append(engines, Engine{
					ID: id, Address: id, DataCentre: fmt.Sprint("dc", dc), From: from, To: min(m.Layers, from+n),
					DecodePerLayer: time.Duration(n) * 10 * time.Microsecond, PrefillPerLayer: time.Microsecond, FreeKVTokens: 1e5, FreeSlots: 100,
				})
			}
		}
	}
	return m, engines
}

// The search runs for every request, and repeatedly while a request waits for
// capacity, on hosts with a tenth of a core.
func BenchmarkChoose(b *testing.B) {
	m, engines := fleet(4)
	for name, free := range map[string]int{"roomy": 1e5, "full": 0} {
		for i := range engines {
			engines[i].FreeKVTokens = free
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := Choose(m, engines, Request{InputTokens: 760, ExpectedOutputTokens: 210, DataCentre: "dc0"})
				assert.Equal(b, err == nil, free > 0)
			}
		})
	}
}
