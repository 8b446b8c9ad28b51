package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	testStage    = 3
	testTimeout  = time.Minute
	shortTimeout = 20 * time.Millisecond
)

func openStage(t *testing.T, ctx context.Context, addr string, timeouts StageTimeouts) (*Stage, error) {
	t.Helper()
	s, err := newClient(t).OpenStage(ctx, addr, &wirepb.StageOpen{Index: testStage}, timeouts)
	if err == nil {
		t.Cleanup(s.Close)
	}
	return s, err
}

// serveStage confirms that the stage is open and then passes the stream to steps.
func serveStage(t *testing.T, steps func(s *wire.Stream)) string {
	return serve(t, func(s *wire.Stream) {
		_, _ = s.Read()
		write(s, &wirepb.Frame{Body: &wirepb.Frame_StageReady{StageReady: &wirepb.StageReady{CachedTokens: 3}}})
		steps(s)
	})
}

// answer answers one step with the position after it.
func answer(s *wire.Stream) {
	f, err := s.Read()
	if err == nil {
		write(s, &wirepb.Frame{Body: &wirepb.Frame_StageResult{StageResult: &wirepb.StageResult{Position: f.GetStageStep().Position + 1}}})
	}
}

// Guards against a failure of a later stage that is returned as a result or
// attributed to another stage.
func TestStage_ReturnsResultsAndReportedFailure(t *testing.T) {
	addr := serveStage(t, func(s *wire.Stream) {
		answer(s)
		_, _ = s.Read()
		_ = s.WriteError(fault.New(fault.Upstream, "engine died").WithStage(1))
	})
	st, err := openStage(t, context.Background(), addr, StageTimeouts{Ready: testTimeout, Result: testTimeout})
	assert.NilError(t, err)
	assert.Equal(t, st.CachedTokens(), uint32(3))
	assert.NilError(t, st.Send(&wirepb.StageStep{Position: 4}))
	r, err := st.Receive()
	assert.NilError(t, err)
	assert.Equal(t, r.Position, uint32(5))
	assert.NilError(t, st.Send(&wirepb.StageStep{Position: 5}))
	_, err = st.Receive()
	assert.Equal(t, fault.As(err).FailedStage, 1)
}

// Guards against an error that does not identify the broken stage, without which
// the entry does not know what to replace, and against a wrong outcome.
func TestStage_AttributesFailureToBrokenStage(t *testing.T) {
	wrong := func(s *wire.Stream) {
		_, _ = s.Read()
		write(s, &wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}})
	}
	silent := func(s *wire.Stream) { _, _ = s.Read(); _, _ = s.Read() }
	for _, c := range []struct {
		name    string
		addr    string
		result  time.Duration
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"nothing listens", closedPort(t), testTimeout, fault.Unavailable, fault.NotRun},
		{"closed in place of ready", serve(t, func(s *wire.Stream) { _, _ = s.Read() }), testTimeout, fault.Upstream, fault.MayHaveRun},
		{"wrong answer to open", serve(t, wrong), testTimeout, fault.Upstream, fault.MayHaveRun},
		{"closed in place of a result", serveStage(t, func(s *wire.Stream) { _, _ = s.Read() }), testTimeout, fault.Upstream, fault.MayHaveRun},
		{"wrong answer to a step", serveStage(t, wrong), testTimeout, fault.Upstream, fault.MayHaveRun},
		{"no result in time", serveStage(t, silent), shortTimeout, fault.Upstream, fault.MayHaveRun},
		{"no second result in time", serveStage(t, func(s *wire.Stream) { answer(s); silent(s) }), shortTimeout, fault.Upstream, fault.MayHaveRun},
	} {
		st, err := openStage(t, context.Background(), c.addr, StageTimeouts{Ready: testTimeout, Result: c.result})
		for err == nil {
			if err = st.Send(&wirepb.StageStep{}); err == nil {
				_, err = st.Receive()
			}
		}
		e := fault.As(err)
		assert.Equal(t, e.Kind, c.kind, "%s: %v", c.name, err)
		assert.Equal(t, e.Outcome, c.outcome, c.name)
		assert.Equal(t, e.FailedStage, testStage, c.name)
	}
}

// Guards against a deadline that is left in place after a step and later ends the
// idle stage.
func TestStage_HasNoDeadlineWhileIdle(t *testing.T) {
	addr := serveStage(t, func(s *wire.Stream) { answer(s); answer(s) })
	const limit = 500 * time.Millisecond
	st, err := openStage(t, context.Background(), addr, StageTimeouts{Ready: testTimeout, Result: limit})
	assert.NilError(t, err)
	assert.NilError(t, st.Send(&wirepb.StageStep{Position: 1}))
	_, err = st.Receive()
	assert.NilError(t, err)
	received := make(chan error, 1)
	go func() {
		_, err := st.Receive()
		received <- err
	}()
	select {
	case err := <-received:
		t.Fatalf("idle stage ended: %v", err)
	case <-time.After(limit + limit/5):
	}
	assert.NilError(t, st.Send(&wirepb.StageStep{Position: 2}))
	assert.NilError(t, <-received)
}

// Guards against a cancellation by this side that is attributed to the stage, and
// against a wait that continues after the cancellation.
func TestStage_CancellationIsNotAttributedToStage(t *testing.T) {
	addr := serveStage(t, func(s *wire.Stream) { _, _ = s.Read(); _, _ = s.Read() })
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	st, err := openStage(t, ctx, addr, StageTimeouts{Ready: testTimeout, Result: testTimeout})
	assert.NilError(t, err)
	assert.NilError(t, st.Send(&wirepb.StageStep{}))
	cancel(fault.New(fault.StaleEpoch, "replaced"))
	_, err = st.Receive()
	e := fault.As(err)
	assert.Equal(t, e.Kind, fault.StaleEpoch)
	assert.Equal(t, e.FailedStage, fault.NoStage)
	assert.Equal(t, e.Outcome, fault.MayHaveRun)
}
