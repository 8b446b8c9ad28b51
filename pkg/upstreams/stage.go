package upstreams

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Stage is the stream of one session to an engine that runs one pipeline stage.
// It is not safe for concurrent use.
type Stage struct {
	cancel       context.CancelCauseFunc
	ctx          context.Context
	out          *io.PipeWriter
	body         io.ReadCloser
	lines        *LineReader
	idleTimer    *idleTimer
	buf          []byte
	cachedTokens uint32
	maxLineBytes int
}

// OpenStage opens the full-duplex stream of a stage and waits up to
// readyTimeout until the engine confirms that it is ready.
func (c *Client) OpenStage(ctx context.Context, address string, open *StageOpen, readyTimeout time.Duration) (*Stage, error) {
	first, err := AppendLine(nil, open)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	in, out := io.Pipe()
	// The transport checks ctx only between reads of the body, so a read that
	// is blocked on the pipe must be ended here.
	context.AfterFunc(ctx, func() { _ = in.CloseWithError(context.Cause(ctx)) })
	s := &Stage{ctx: ctx, cancel: cancel, out: out, idleTimer: newIdleTimer(readyTimeout, readyTimeout, cancel), maxLineBytes: c.opts.MaxLineBytes}
	body := stageBody{Reader: io.MultiReader(bytes.NewReader(first), in), pipe: in}
	req, err := newRequest(ctx, http.MethodPost, address, PathStage, body)
	if err != nil {
		s.Close()
		return nil, err
	}
	req.Header.Set("Content-Type", contentTypeNDJSON)
	resp, err := c.engine.Do(req)
	if err != nil {
		failed := transportError(ctx, err, "open stage") // before Close cancels ctx and hides the cause
		s.Close()
		return nil, failed
	}
	s.body = resp.Body
	if !isSuccess(resp.StatusCode) {
		// The request body must end before the response body can be closed.
		defer s.Close()
		return nil, statusError(resp)
	}
	s.lines = NewLineReader(resp.Body, c.opts.MaxLineBytes)
	if err := s.readReady(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// stageBody is the request body of a stage. The transport closes it when the
// connection is lost. Close must close the pipe: otherwise the transport stays
// blocked in a read of the pipe and reports the loss only at the next step.
type stageBody struct {
	io.Reader
	pipe *io.PipeReader
}

// Close implements io.Closer.
func (b stageBody) Close() error { return b.pipe.Close() }

func (s *Stage) readReady() error {
	line, err := s.read()
	if err != nil {
		return err
	}
	if !line.Ready {
		return fault.New(fault.Upstream, "engine did not confirm the stage").WithField("ready")
	}
	s.cachedTokens = line.CachedTokens
	return nil
}

// CachedTokens returns the number of prompt tokens whose KV state the engine
// had cached when the stage was opened.
func (s *Stage) CachedTokens() uint32 { return s.cachedTokens }

// Step runs one step and returns the engine's response, which must arrive within
// timeout. A response whose position does not follow the step's last position
// is an error.
func (s *Stage) Step(step *StageStep, timeout time.Duration) (*StageLine, error) {
	buf, err := appendStep(s.buf[:0], step)
	if err != nil {
		return nil, err
	}
	s.buf = buf
	if len(buf) > s.maxLineBytes+1 {
		return nil, fault.New(fault.Protocol, "step of %d bytes is over the limit of %d", len(buf), s.maxLineBytes)
	}
	s.idleTimer.resetTo(timeout)
	if _, err := s.out.Write(buf); err != nil {
		return nil, s.writeError(err)
	}
	line, err := s.read()
	if err != nil {
		return nil, err
	}
	want := step.Position + uint32(max(len(step.Tokens), len(step.Hidden)))
	if line.Position != want {
		return nil, fault.New(fault.Upstream, "engine answered position %d in place of %d", line.Position, want).WithField("position")
	}
	return line, nil
}

// writeError returns the error that the engine sent before it stopped reading,
// or else the write error.
func (s *Stage) writeError(err error) error {
	if _, readErr := s.read(); readErr != nil {
		return readErr
	}
	return streamError(s.ctx, err, "stage")
}

// read returns the next line and stops the idle timer.
func (s *Stage) read() (*StageLine, error) {
	line := &StageLine{}
	if err := s.lines.ReadJSON(line); err != nil {
		return nil, streamError(s.ctx, err, "stage")
	}
	s.idleTimer.stop()
	if line.Error != nil {
		return nil, line.Error.Fault().WithOutcome(fault.MayHaveRun)
	}
	return line, nil
}

// Close ends the stream, upon which the engine frees the session.
func (s *Stage) Close() {
	s.idleTimer.stop()
	_ = s.out.Close()
	s.cancel(nil)
	if s.body != nil {
		_ = s.body.Close()
	}
}
