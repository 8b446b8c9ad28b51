package agent

import (
	"context"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Stage is an open stage of a chain at the next agent.
type Stage struct {
	call  *call
	ready *wirepb.StageReady
}

// OpenStage opens a session at the agent of the next stage and waits until
// that stage and all stages after it are ready.
func (c *Client) OpenStage(ctx context.Context, addr string, req *wirepb.StageOpen) (*Stage, error) {
	k, err := c.start(ctx, addr, &wirepb.Frame{Body: &wirepb.Frame_StageOpen{StageOpen: req}})
	if err != nil {
		return nil, err
	}
	f, err := k.read()
	if err != nil {
		k.close()
		return nil, err
	}
	ready := f.GetStageReady()
	if ready == nil {
		k.close()
		return nil, k.unexpected(f)
	}
	return &Stage{call: k, ready: ready}, nil
}

// Ready returns the answer to the open.
func (s *Stage) Ready() *wirepb.StageReady { return s.ready }

// Step runs one step on the stage and the stages after it.
func (s *Stage) Step(step *wirepb.StageStep) (*wirepb.StageResult, error) {
	if err := s.call.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageStep{StageStep: step}}); err != nil {
		return nil, s.call.lost(err)
	}
	f, err := s.call.read()
	if err != nil {
		return nil, err
	}
	result := f.GetStageResult()
	if result == nil {
		return nil, s.call.unexpected(f)
	}
	return result, nil
}

// Close ends the session at the stage and the stages after it.
func (s *Stage) Close() { s.call.close() }
