package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against an agent that appears alive by its reports while nothing reaches
// it, and against reports that stay withheld after the link is restored.
func TestMonitor_WithholdsReportsOnOneWayLink(t *testing.T) {
	const interval = 20 * time.Millisecond
	addr := serve(t, func(s *wire.Stream) {
		if f, err := s.Read(); err != nil || f.GetLoadWatch() == nil {
			return
		}
		report := &wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: &wirepb.LoadReport{Sequence: 1}}}
		for s.Write(report) == nil {
			time.Sleep(interval) // report interval
		}
	})
	relay, err := local.NewFaultProxy("127.0.0.1:0", addr)
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan struct{})
	ended := make(chan struct{})
	t.Cleanup(func() { cancel(); <-ended })
	go func() {
		defer close(ended)
		c.Monitor(ctx, relay.Address(), func(*wirepb.LoadReport) {
			select {
			case reports <- struct{}{}:
			case <-ctx.Done():
			}
		}, func(time.Duration) {})
	}()
	<-reports
	relay.SetFaults(local.LinkFaults{BlockToTarget: true})
	cut := time.Now()
	for silent := false; !silent; {
		select {
		case <-reports:
			assert.Assert(t, time.Since(cut) < reportsPerPing*interval+SuspectAfter+time.Second, "reports go on")
		case <-time.After(SuspectAfter):
			silent = true
		}
	}
	relay.SetFaults(local.LinkFaults{})
	<-reports
}
