package link

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// BenchmarkEcho measures the processor time of both ends for echoing a token
// over one session with several streams.
func BenchmarkEcho(b *testing.B) {
	for _, streams := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			addr := startEchoServer(b, nil)
			p := NewPool(Options{})
			defer p.Close()
			frame := &wirepb.Frame{Body: &wirepb.Frame_Token{Token: &wirepb.Token{Session: "0123456789abcdef", Position: 1, Id: 1}}}
			before := rusage.CPUTime()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range streams {
				st, err := p.Open(context.Background(), addr)
				assert.NilError(b, err)
				wg.Go(func() {
					for range b.N/streams + 1 {
						if st.Write(frame) != nil {
							return
						}
						if _, err := st.Read(); err != nil {
							return
						}
					}
					_ = st.Close()
				})
			}
			wg.Wait()
			b.ReportMetric(float64(rusage.CPUTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
