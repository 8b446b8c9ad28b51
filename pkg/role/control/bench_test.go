package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/rusage"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// countingConn discards writes and counts their bytes.
type countingConn struct {
	net.Conn
	bytes int
}

func (c *countingConn) Write(b []byte) (int, error)      { c.bytes += len(b); return len(b), nil }
func (c *countingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *countingConn) SetDeadline(time.Time) error      { return nil }
func (c *countingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *countingConn) SetWriteDeadline(time.Time) error { return nil }

// singleNode applies each proposal immediately, without consensus.
type singleNode struct {
	Node
	machine *StateMachine
	index   uint64
}

func (n *singleNode) Propose(_ context.Context, data []byte) (any, error) {
	n.index++
	return n.machine.Apply(n.index, data), nil
}
func (n *singleNode) ReadIndex(context.Context) (uint64, error) { return n.index, nil }
func (n *singleNode) Status() NodeStatus                        { return NodeStatus{ID: 1, Leader: 1} }

type watchBench struct {
	machine  *StateMachine
	feed     *eventFeed
	sessions []*watchSession
	conns    []*countingConn
	proposer *proposer
	barrier  *readBarrier
}

func newWatchBench(b *testing.B, watchers int) *watchBench {
	m := NewStateMachine()
	node := &singleNode{machine: m}
	w := &watchBench{machine: m, feed: newEventFeed(m, NewRegistry(func(bool) {}), func() int { return 0 })}
	w.proposer = &proposer{node: node, now: time.Now, metrics: newMetrics()}
	w.barrier = newReadBarrier(node, time.Now)
	for i := range watchers {
		conn := &countingConn{}
		w.conns = append(w.conns, conn)
		w.sessions = append(w.sessions, &watchSession{
			stream: wire.NewStream(conn, 0), feed: w.feed, withUpstreams: true, host: fmt.Sprint(i), wake: make(chan struct{}, 1)})
	}
	return w
}

func (w *watchBench) change(b *testing.B) {
	base := w.machine.Revision()
	cmd := &wirepb.Command{RequestId: fmt.Sprint(base), Body: &wirepb.Command_Change{Change: &wirepb.Change{
		BaseRevision: base, Put: []*wirepb.Entry{serviceEntry("pay", "o").Value}}}}
	result, err := w.proposer.propose(context.Background(), cmd)
	assert.NilError(b, err)
	assert.Assert(b, result.Error == nil)
}

// Measures what a change and a ping cost for each watcher, without the system
// calls of its connection.
func BenchmarkWatcher(b *testing.B) {
	for _, watchers := range []int{100, 1000, 10_000} {
		w := newWatchBench(b, watchers)
		b.Run(fmt.Sprintf("change/watchers=%d", watchers), func(b *testing.B) {
			bytes := w.conns[0].bytes
			for b.Loop() {
				w.change(b)
				for _, s := range w.sessions {
					assert.NilError(b, s.sendPending())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*watchers), "ns/watcher")
			b.ReportMetric(float64(w.conns[0].bytes-bytes)/float64(b.N), "B/watcher")
		})
		b.Run(fmt.Sprintf("ping/watchers=%d", watchers), func(b *testing.B) {
			bytes := w.conns[0].bytes
			for b.Loop() {
				for _, s := range w.sessions {
					s.addPing()
					w.barrier.submit(func(err error) { s.answerPing(1, err) })
				}
				w.barrier.complete(w.barrier.takePending(), w.barrier.readIndex(context.Background()))
				for _, s := range w.sessions {
					assert.NilError(b, s.sendPending())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*watchers), "ns/ping")
			b.ReportMetric(float64(w.conns[0].bytes-bytes)/float64(b.N), "B/ping")
		})
	}
}

// Measures the full state of the planned size for each new watcher.
func BenchmarkWatcherFull(b *testing.B) {
	for _, organisations := range []int{360, 3600, 18_000} {
		w := newWatchBench(b, 1)
		for i := range 11_000 {
			a := testAnnouncement(fmt.Sprintf("host-%d", i), 1)
			a.Models = []*wirepb.ModelHeld{{Model: "model-a", Version: "v1", LastLayer: 40}}
			_, err := w.feed.registry.Register(time.Now(), a, unavailableStream{})
			assert.NilError(b, err)
		}
		for i := range organisations {
			cmd := &wirepb.Command{RequestId: fmt.Sprint(i), Body: &wirepb.Command_Change{Change: &wirepb.Change{
				BaseRevision: uint64(i), Put: []*wirepb.Entry{{Kind: "organisation", Name: fmt.Sprintf("organisation-%d", i), Owner: "o",
					Organisation: &wirepb.OrganisationSpec{KeySha256: []string{fmt.Sprintf("%064x", i)}}}}}}}
			_, err := w.proposer.propose(context.Background(), cmd)
			assert.NilError(b, err)
		}
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			bytes := w.conns[0].bytes
			for b.Loop() {
				events, _ := w.feed.full(true)
				assert.NilError(b, w.sessions[0].send(events))
			}
			b.ReportMetric(float64(w.conns[0].bytes-bytes)/float64(b.N), "B/watcher")
		})
	}
}

// Measures a heartbeat without the system calls of its connection.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{100, 1000, 11_000} {
		c := &Control{opts: Options{Now: time.Now}, registry: NewRegistry(func(bool) {})}
		var regs []*registration
		var streams []*registerStream
		for i := range hosts {
			rs := newRegisterStream(wire.NewStream(&countingConn{}, 0))
			reg, err := c.registry.Register(time.Now(), testAnnouncement(fmt.Sprint(i), 1), rs)
			assert.NilError(b, err)
			regs, streams = append(regs, reg), append(streams, rs)
		}
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			i := 0
			for b.Loop() {
				assert.NilError(b, c.heartbeat(streams[i%hosts], regs[i%hosts], &wirepb.Heartbeat{Sequence: 1}))
				i++
			}
		})
		b.Run(fmt.Sprintf("sweep/hosts=%d", hosts), func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				c.registry.Sweep(now)
			}
		})
	}
}

// Measures claims through three real replicas and sessions on this machine.
func BenchmarkCluster(b *testing.B) {
	c := startCluster(b, 3)
	k := c.client(roleAgent, "h1")
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("claim/callers=%d", callers), func(b *testing.B) {
			run := time.Now().UnixNano()
			spent := rusage.CPUTime()
			work := make(chan int, callers)
			done := make(chan error, callers)
			for range callers {
				go func() {
					var last error
					for i := range work {
						if _, err := k.Claim(context.Background(), claimOf(fmt.Sprintf("%d-%d", run, i), "a")); err != nil {
							last = err
						}
					}
					done <- last
				}()
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			for range callers {
				assert.NilError(b, <-done)
			}
			b.ReportMetric(float64((rusage.CPUTime()-spent).Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
