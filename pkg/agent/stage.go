package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// StageTimeouts limit the waits for a stage together with all later stages.
type StageTimeouts struct {
	Ready  time.Duration // until all stages are ready
	Result time.Duration // for the next result while steps are pending
}

// Stage is the stream to the agent of the next stage of a chain. Send and Receive
// may be called concurrently, but each by one goroutine at a time.
type Stage struct {
	requestStream *requestStream
	index         int // position in the whole chain
	timeout       time.Duration
	cachedTokens  uint32

	mu           sync.Mutex
	pendingSteps int // steps without a result
}

// OpenStage opens the next stage at the agent at addr and waits until that stage
// and all later stages are ready. The errors of OpenStage and of the methods of
// Stage are either reported by the agent or attributed to this stage.
func (c *Client) OpenStage(ctx context.Context, addr string, open *wirepb.StageOpen, timeouts StageTimeouts) (*Stage, error) {
	index := int(open.Index)
	stream, err := c.pool.Open(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to stage").WithStage(index).WithOutcome(fault.NotRun)
	}
	s := &Stage{requestStream: newRequestStream(ctx, addr, stream), index: index, timeout: timeouts.Result}
	if err := s.handshake(open, timeouts.Ready); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) handshake(open *wirepb.StageOpen, wait time.Duration) error {
	s.requestStream.extendReadDeadline(wait)
	if err := s.requestStream.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageOpen{StageOpen: open}}); err != nil {
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
	s.requestStream.clearReadDeadline()
	s.cachedTokens = ready.CachedTokens
	return nil
}

// CachedTokens returns the number of prompt tokens that this stage and all later
// stages have cached.
func (s *Stage) CachedTokens() uint32 { return s.cachedTokens }

// Send sends one step. The agent answers each step with one result.
func (s *Stage) Send(step *wirepb.StageStep) error {
	s.stepStarted()
	if err := s.requestStream.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageStep{StageStep: step}}); err != nil {
		return s.AttributeError(err)
	}
	return nil
}

// Receive waits for the result of the oldest step that has no result yet.
func (s *Stage) Receive() (*wirepb.StageResult, error) {
	f, err := s.read()
	if err != nil {
		return nil, err
	}
	r := f.GetStageResult()
	if r == nil {
		return nil, s.AttributeError(fault.New(fault.Protocol, "%T in place of a result", f.Body))
	}
	s.stepFinished()
	return r, nil
}

func (s *Stage) read() (*wirepb.Frame, error) {
	f, err := s.requestStream.stream.Read()
	if err != nil {
		return nil, s.AttributeError(err)
	}
	if e := f.GetError(); e != nil {
		return nil, fault.FromWire(e)
	}
	return f, nil
}

func (s *Stage) stepStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingSteps++
	s.requestStream.extendReadDeadline(s.timeout)
}

// stepFinished restarts the result timeout if steps are still pending, and removes
// the deadline otherwise.
func (s *Stage) stepFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingSteps--
	if s.pendingSteps > 0 {
		s.requestStream.extendReadDeadline(s.timeout)
		return
	}
	s.requestStream.clearReadDeadline()
}

// AttributeError attributes err, a broken stream or an invalid result, to the
// stage. If this side ended the stream, it returns the cause without a stage.
func (s *Stage) AttributeError(err error) *fault.Error {
	if s.requestStream.ctx.Err() != nil {
		return contextError(s.requestStream.ctx).WithOutcome(fault.MayHaveRun)
	}
	if err == io.EOF {
		err = fault.New(fault.Unavailable, "stage closed the stream")
	}
	return fault.Wrap(err, fault.Upstream, "stage %d", s.index).WithStage(s.index).WithOutcome(fault.MayHaveRun)
}

// Close closes this stage and all later stages.
func (s *Stage) Close() { s.requestStream.close() }
