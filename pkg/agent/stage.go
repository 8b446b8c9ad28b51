package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// StageTimeouts bounds the waits for a stage and all stages after it.
type StageTimeouts struct {
	Ready  time.Duration // until the stages are open
	Result time.Duration // of the oldest step that has no result
}

// Stage is an open stage of a chain at the next agent. One goroutine may send
// while another receives.
type Stage struct {
	call    *call
	index   int // in the whole chain
	timeout time.Duration
	cached  uint32

	mu          sync.Mutex
	outstanding int // steps without a result
}

// OpenStage opens a session at the agent of the next stage and waits until
// that stage and all stages after it are ready. Its errors, like those of the
// stage, are either reported by the agent or made by Failure.
func (c *Client) OpenStage(ctx context.Context, addr string, open *wirepb.StageOpen, timeouts StageTimeouts) (*Stage, error) {
	index := int(open.Index)
	stream, err := c.pool.Open(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to stage").WithStage(index).WithOutcome(fault.NotRun)
	}
	s := &Stage{call: newCall(ctx, addr, stream), index: index, timeout: timeouts.Result}
	if err := s.handshake(open, timeouts.Ready); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) handshake(open *wirepb.StageOpen, wait time.Duration) error {
	s.call.extend(wait)
	if err := s.call.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageOpen{StageOpen: open}}); err != nil {
		return s.AttributeError(err)
	}
	f, err := s.read()
	if err != nil {
		return err
	}
	ready := f.GetStageReady()
	if ready == nil {
		return s.AttributeError(fault.New(fault.Protocol, "%T in place of the answer to an open", f.Body))
	}
	s.call.unbound()
	s.cached = ready.CachedTokens
	return nil
}

// CachedTokens returns the number of prompt tokens cached at this stage and at all
// stages after it.
func (s *Stage) CachedTokens() uint32 { return s.cached }

// Send sends one step, which is answered by one result.
func (s *Stage) Send(step *wirepb.StageStep) error {
	s.begin()
	if err := s.call.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageStep{StageStep: step}}); err != nil {
		return s.AttributeError(err)
	}
	return nil
}

// Receive returns the result of the oldest step that has none yet.
func (s *Stage) Receive() (*wirepb.StageResult, error) {
	f, err := s.read()
	if err != nil {
		return nil, err
	}
	r := f.GetStageResult()
	if r == nil {
		return nil, s.AttributeError(fault.New(fault.Protocol, "%T in place of a result", f.Body))
	}
	s.settle()
	return r, nil
}

func (s *Stage) read() (*wirepb.Frame, error) {
	f, err := s.call.stream.Read()
	if err != nil {
		return nil, s.AttributeError(err)
	}
	if e := f.GetError(); e != nil {
		return nil, fault.FromWire(e)
	}
	return f, nil
}

func (s *Stage) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
	s.call.extend(s.timeout)
}

// settle moves the deadline after a result.
func (s *Stage) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	if s.outstanding > 0 {
		s.call.extend(s.timeout)
		return
	}
	s.call.unbound()
}

// AttributeError blames the stage for a broken stream or a wrong answer, unless this
// side ended the stream.
func (s *Stage) AttributeError(err error) *fault.Error {
	if s.call.ctx.Err() != nil {
		return ended(s.call.ctx).WithOutcome(fault.MayHaveRun)
	}
	if err == io.EOF {
		err = fault.New(fault.Unavailable, "stage closed the stream")
	}
	return fault.Wrap(err, fault.Upstream, "stage %d", s.index).WithStage(s.index).WithOutcome(fault.MayHaveRun)
}

// Close ends the stage and those after it.
func (s *Stage) Close() { s.call.close() }
