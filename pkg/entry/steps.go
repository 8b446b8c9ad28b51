package entry

import (
	"context"
	"io"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// DefaultStepIdleTimeout bounds the time between two steps of a stage. It is longer
// than any step, because a step elsewhere in the chain may be slow.
const DefaultStepIdleTimeout = 2 * time.Minute

// StageStream is the stream of one stage. One goroutine calls Next; Ready and Result
// may be called by another.
type StageStream struct {
	stream *wire.Stream
	writer *boundedWriter
	queue  chan *wirepb.StageStep
	ctx    context.Context
}

// stepQueue holds the steps that arrive while one runs, during a prefill.
const stepQueue = 4

func (s *Server) stage(stream *wire.Stream, open *wirepb.StageOpen) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newBoundedWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	steps := &StageStream{stream: stream, writer: w, queue: make(chan *wirepb.StageStep, stepQueue), ctx: ctx}
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(steps.receive())
	}()
	err := s.handler.ServeStage(ctx, open, steps)
	cancel(nil)
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	<-done
	return err
}

// receive reads steps until the stream ends, so that a close by the peer is
// noticed while a step runs.
func (s *StageStream) receive() error {
	for {
		f, err := s.stream.Read()
		if err == io.EOF {
			return fault.New(fault.Cancelled, "closed by the peer").WithOutcome(fault.MayHaveRun)
		}
		if err != nil {
			return err
		}
		step := f.GetStageStep()
		if step == nil {
			return fault.New(fault.Protocol, "%T in place of a step", f.Body).WithOutcome(fault.MayHaveRun)
		}
		select {
		case s.queue <- step:
		case <-s.ctx.Done():
			return nil
		}
	}
}

// NextStep returns the next step. It fails when the peer has closed the stream or
// ctx, which is derived from the context of the stage, has ended.
func (s *StageStream) NextStep(ctx context.Context) (*wirepb.StageStep, error) {
	timer := time.NewTimer(DefaultStepIdleTimeout)
	defer timer.Stop()
	select {
	case step := <-s.queue:
		return step, nil
	case <-ctx.Done():
		return nil, fault.As(context.Cause(ctx))
	case <-timer.C:
		return nil, fault.New(fault.Deadline, "no step for %v", DefaultStepIdleTimeout).WithOutcome(fault.MayHaveRun)
	}
}

// SendReady tells the peer that the stage and those after it are open.
func (s *StageStream) SendReady(r *wirepb.StageReady) error {
	return s.writer.write(&wirepb.Frame{Body: &wirepb.Frame_StageReady{StageReady: r}})
}

// SendResult sends the result of one step.
func (s *StageStream) SendResult(r *wirepb.StageResult) error {
	return s.writer.write(&wirepb.Frame{Body: &wirepb.Frame_StageResult{StageResult: r}})
}

// boundedWriter fails a write to a peer that does not read.
type boundedWriter struct {
	stream *wire.Stream
	timer  *time.Timer
	limit  time.Duration
}

func newBoundedWriter(stream *wire.Stream, limit time.Duration) *boundedWriter {
	timer := time.AfterFunc(limit, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	timer.Stop()
	return &boundedWriter{stream: stream, timer: timer, limit: limit}
}

func (w *boundedWriter) write(f *wirepb.Frame) error {
	w.timer.Reset(w.limit)
	err := w.stream.Write(f)
	w.timer.Stop()
	return err
}

func (w *boundedWriter) stop() { w.timer.Stop() }
