package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func serve(t *testing.T, handler func(s *wire.Stream)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(ln, link.Options{}, func(_ link.Identity, s *wire.Stream) {
		defer s.Close()
		handler(s)
	}, nil)
	t.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

func newClient(t *testing.T) *Client {
	pool := link.NewPool(link.Options{})
	t.Cleanup(pool.Close)
	return NewClient(pool)
}

func closedPort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func write(s *wire.Stream, f *wirepb.Frame) { _ = s.Write(f) }

// Guards against a false NotRun: the outcome may be NotRun only if the request
// was not sent or the agent reports that it did not run.
func TestClient_ReportsNotRunOnlyIfProven(t *testing.T) {
	read := func(then func(s *wire.Stream)) func(s *wire.Stream) {
		return func(s *wire.Stream) {
			_, _ = s.Read()
			then(s)
		}
	}
	says := func(o fault.Outcome) func(s *wire.Stream) {
		return read(func(s *wire.Stream) {
			_ = s.WriteError(fault.New(fault.Overloaded, "full").WithOutcome(o).WithStage(2))
		})
	}
	large := &wirepb.CallRequest{RequestId: "r", Body: make([]byte, wire.DefaultMaxFrameBytes)}
	small := &wirepb.CallRequest{RequestId: "r"}
	cases := []struct {
		name    string
		addr    string
		req     *wirepb.CallRequest
		kind    fault.Kind
		outcome fault.Outcome
		stage   int
	}{
		{"nothing listens", closedPort(t), small, fault.Unavailable, fault.NotRun, 0},
		{"too large", serve(t, says(fault.Answered)), large, fault.Invalid, fault.NotRun, fault.NoStage},
		{"agent proves", serve(t, says(fault.NotRun)), small, fault.Overloaded, fault.NotRun, 2},
		{"agent proves nothing", serve(t, says(fault.Unspecified)), small, fault.Overloaded, fault.MayHaveRun, 2},
		{"agent cancels by itself", serve(t, read(func(s *wire.Stream) { _ = s.WriteError(fault.New(fault.Cancelled, "x")) })), small, fault.Upstream, fault.MayHaveRun, fault.NoStage},
		{"closed after the request", serve(t, read(func(*wire.Stream) {})), small, fault.Unavailable, fault.MayHaveRun, 0},
		{"closed at once", serve(t, func(*wire.Stream) {}), small, fault.Unavailable, fault.MayHaveRun, 0},
		{"response to another request", serve(t, read(func(s *wire.Stream) {
			write(s, &wirepb.Frame{Body: &wirepb.Frame_CallResponse{CallResponse: &wirepb.CallResponse{RequestId: "q"}}})
		})), small, fault.Protocol, fault.MayHaveRun, 0},
		{"unexpected frame", serve(t, read(func(s *wire.Stream) {
			write(s, &wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}})
		})), small, fault.Protocol, fault.MayHaveRun, 0},
	}
	for _, c := range cases {
		_, err := newClient(t).Call(context.Background(), c.addr, c.req)
		e := fault.As(err)
		assert.Equal(t, e.Kind, c.kind, c.name)
		assert.Equal(t, e.Outcome, c.outcome, c.name)
		assert.Equal(t, e.FailedStage, c.stage, c.name)
	}
}

// Guards against a generation that continues at the agent after a cancellation,
// and against a call that blocks until the agent reacts to it.
func TestClient_CancelReachesAgent(t *testing.T) {
	received, cancelled := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(s *wire.Stream) {
		_, _ = s.Read()
		close(received)
		_, _ = s.Read()
		close(cancelled)
		<-t.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	c := newClient(t)
	go func() {
		_, err := c.Generate(ctx, addr, &wirepb.GenerateRequest{}, GenerateCallbacks{OnToken: func(*wirepb.Token) error { return nil }})
		result <- err
	}()
	<-received
	cancel()
	<-cancelled
	err := <-result
	assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
}

// Guards against a call that outlasts its deadline while the handshake with a
// host that does not respond is in progress.
func TestClient_DeadlineEndsHandshake(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, err = newClient(t).Call(ctx, ln.Addr().String(), &wirepb.CallRequest{})
	assert.Assert(t, fault.Is(err, fault.Deadline), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	assert.Assert(t, time.Since(started) < link.DefaultHandshakeTimeout)
}

// Guards against streams to a frozen agent that stay open: when its reports stop,
// the session and all its streams must close after EjectAfter.
func TestMonitor_ClosesSessionOfSilentAgent(t *testing.T) {
	addr := serve(t, func(s *wire.Stream) {
		f, err := s.Read()
		if err == nil && f.GetLoadWatch() != nil {
			write(s, &wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: &wirepb.LoadReport{Sequence: 1}}})
		}
		_, _ = s.Read()
	})
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reports, pings := make(chan time.Time, 10), make(chan time.Duration, 10)
	go c.Monitor(ctx, addr, func(*wirepb.LoadReport) { reports <- time.Now() }, func(d time.Duration) { pings <- d })
	first := <-reports
	_, err := c.Generate(ctx, addr, &wirepb.GenerateRequest{}, GenerateCallbacks{})
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	took := time.Since(first)
	assert.Assert(t, took > SuspectAfter && took < EjectAfter+SuspectAfter, "%s", took)
	assert.Assert(t, <-pings > 0)
	<-reports // the watch is opened again
}

// Guards against wrong age limits of the states, and against ejecting every agent
// after a pause of this process.
func TestLiveness_StateFollowsReportAge(t *testing.T) {
	now := time.Unix(100, 0)
	var l Liveness
	assert.Equal(t, l.State(now), Ejected)
	l.RecordReport(now)
	for _, c := range []struct {
		age  time.Duration
		want LivenessState
	}{{0, Alive}, {299 * time.Millisecond, Alive}, {300 * time.Millisecond, Suspect}, {999 * time.Millisecond, Suspect}, {time.Second, Ejected}} {
		assert.Equal(t, l.State(now.Add(c.age)), c.want, c.age.String())
	}
	l.ExcludePause(5 * time.Second)
	assert.Equal(t, l.State(now.Add(5*time.Second)), Alive)
}

// Guards against a call that stays blocked on a session that was closed.
func TestCloseSession_EndsOpenCalls(t *testing.T) {
	addr := serve(t, func(s *wire.Stream) { _, _ = s.Read(); _, _ = s.Read() })
	c := newClient(t)
	result := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), addr, &wirepb.CallRequest{})
		result <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.CloseSession(addr)
		select {
		case err := <-result:
			assert.Check(t, fault.Is(err, fault.Unavailable), "%v", err)
			return poll.Success()
		default:
			return poll.Continue("the call ends")
		}
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against goroutines that outlive their call or watch.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
