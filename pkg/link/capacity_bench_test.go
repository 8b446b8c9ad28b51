package link

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/wire"
)

// BenchmarkHandshake measures the processor time and the memory that both ends
// need for an authenticated session.
func BenchmarkHandshake(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			keys := &Keyring{Current: key("a")}
			s := NewServer(ln, Options{Identity: Identity{Role: "agent", Host: "h1"}, Keys: keys}, func(_ Identity, st *wire.Stream) { _ = st.Close() }, nil)
			defer func() { _ = s.Close() }()
			var cpuTime time.Duration
			var memory int64
			for range b.N {
				before, started := rusage.LiveMemory(), rusage.CPUTime()
				sessions := make([]*Session, n)
				for i := range sessions {
					sessions[i], err = Dial(context.Background(), s.Address(), Options{Identity: Identity{Role: "entry", Host: "h2"}, Keys: keys})
					assert.NilError(b, err)
				}
				cpuTime += rusage.CPUTime() - started
				memory += rusage.LiveMemory() - before
				for _, open := range sessions {
					_ = open.Close()
				}
			}
			b.ReportMetric(float64(cpuTime.Nanoseconds())/float64(b.N*n), "cpu-ns/session")
			b.ReportMetric(float64(memory)/float64(b.N*n), "B/session")
		})
	}
}
