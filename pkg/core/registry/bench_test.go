package registry

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Measures the update of a watcher when every engine has reported since its last
// update.
func BenchmarkSince(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			g := New()
			now := time.Now()
			for i := range n {
				g.Announce(now, &wirepb.Instance{
					Id: fmt.Sprintf("i-%010x", i), BornUnixMs: 1_700_000_000_000, Sequence: 20, Service: "huvo11a",
					Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), DataCentre: "krakow-a", Slots: 192, Accelerator: "v100",
					Orders: 3, Models: []string{"daka510000"}, Layers: &wirepb.LayerRange{From: 20, To: 25},
					Load: &wirepb.InstanceLoad{Active: 120, Queued: 2, KvUsed: 900_000, KvTotal: 1_400_000, Slowdown: 1.25},
				})
			}
			u := &wirepb.FleetUpdate{}
			for b.Loop() {
				u.Full, u.Instances, u.Removed = g.ChangesSince(1, 0)
			}
			b.ReportMetric(float64(proto.Size(u)), "wire-B")
		})
	}
}
