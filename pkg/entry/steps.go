package entry

import (
	"context"
	"io"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// stepIdleTimeout bounds the time from one step of a stage to the next. The
// other stages of the chain run their steps in between, so it is longer than a
// slow step takes.
const stepIdleTimeout = 2 * time.Minute

// StageStream is the stream of one stage. NextStep must be called by one
// goroutine; another one may call SendReady and SendResult.
type StageStream struct {
	stream       *wire.Stream
	writer       *timeoutWriter
	pendingSteps chan *wirepb.StageStep
	ctx          context.Context
}

// stepQueueSize is the number of steps that may arrive while a step runs, as
// during a prefill.
const stepQueueSize = 4

func (s *Server) handleStage(stream *wire.Stream, open *wirepb.StageOpen) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newTimeoutWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	steps := &StageStream{stream: stream, writer: w, pendingSteps: make(chan *wirepb.StageStep, stepQueueSize), ctx: ctx}
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
// detected while a step runs.
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
		case s.pendingSteps <- step:
		case <-s.ctx.Done():
			return nil
		}
	}
}

// NextStep returns the next step. It fails if ctx ends or if no step arrives
// within stepIdleTimeout. Ctx must be derived from the context of the
// stage, which ends when the peer closes the stream.
func (s *StageStream) NextStep(ctx context.Context) (*wirepb.StageStep, error) {
	timer := time.NewTimer(stepIdleTimeout)
	defer timer.Stop()
	select {
	case step := <-s.pendingSteps:
		return step, nil
	case <-ctx.Done():
		return nil, fault.As(context.Cause(ctx))
	case <-timer.C:
		return nil, fault.New(fault.Deadline, "no step for %v", stepIdleTimeout).WithOutcome(fault.MayHaveRun)
	}
}

// SendReady tells the peer that the stage and all later stages are open.
func (s *StageStream) SendReady(r *wirepb.StageReady) error {
	return s.writer.write(&wirepb.Frame{Body: &wirepb.Frame_StageReady{StageReady: r}})
}

// SendResult sends the result of one step to the peer.
func (s *StageStream) SendResult(r *wirepb.StageResult) error {
	return s.writer.write(&wirepb.Frame{Body: &wirepb.Frame_StageResult{StageResult: r}})
}

// timeoutWriter writes frames with a timeout, so that a write to a peer that does
// not read fails.
type timeoutWriter struct {
	stream    *wire.Stream
	timer     *time.Timer
	timeLimit time.Duration
}

func newTimeoutWriter(stream *wire.Stream, timeLimit time.Duration) *timeoutWriter {
	timer := time.AfterFunc(timeLimit, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	timer.Stop()
	return &timeoutWriter{stream: stream, timer: timer, timeLimit: timeLimit}
}

func (w *timeoutWriter) write(f *wirepb.Frame) error {
	w.timer.Reset(w.timeLimit)
	err := w.stream.Write(f)
	w.timer.Stop()
	return err
}

func (w *timeoutWriter) stop() { w.timer.Stop() }
