package agent

import (
	"context"
	"time"

	client "github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxActivationBytes limits the activations in one frame; the other fields of
// the frame are small.
const maxActivationBytes = wire.DefaultMaxFrameBytes / 2

// nextStage is the stream to the stage after this one. One goroutine sends and
// one receives.
type nextStage struct {
	*client.Stage
	index int // position of the stage in the whole chain
}

// openNextStage opens the stage after this one and waits until it is ready. It
// returns the number of tokens cached there and at all later stages.
func openNextStage(ctx context.Context, pool *link.Pool, open *wirepb.StageOpen, wait, resultTimeout time.Duration) (*nextStage, uint32, error) {
	n := &nextStage{index: int(open.Index)}
	timeouts := client.StageTimeouts{Ready: wait, Result: resultTimeout}
	stage, err := client.NewClient(pool).OpenStage(ctx, open.Stages[0].Address, open, timeouts)
	if err != nil {
		return nil, 0, n.withFailedStage(err)
	}
	n.Stage = stage
	return n, stage.CachedTokens(), nil
}

// withFailedStage sets the failed stage of err to the next stage, unless err
// names that stage or a later one. An agent that names no stage has failed
// itself, unless the work was cancelled, fenced or preempted.
func (n *nextStage) withFailedStage(err error) *fault.Error {
	e := fault.As(err)
	if e.FailedStage < n.index && stageAtFault(e.Kind) {
		e.FailedStage = n.index
	}
	return e
}

// stageAtFault reports whether an error of this kind is caused by a stage
// rather than by the sender.
func stageAtFault(kind fault.Kind) bool {
	return kind != fault.Cancelled && kind != fault.StaleEpoch && kind != fault.Preempted
}

// cancellationError returns the reason why ctx ended.
func cancellationError(ctx context.Context) *fault.Error {
	f := fault.As(context.Cause(ctx))
	if f.Kind == fault.Internal {
		return fault.Wrap(context.Cause(ctx), fault.Cancelled, "cancelled").WithOutcome(fault.MayHaveRun)
	}
	return f
}

// sendActivations sends the activations of consecutive positions in as many
// frames as their size needs. It returns the number of frames; each is answered
// by one result.
func (n *nextStage) sendActivations(epoch uint64, position uint32, hidden [][]byte) (frames int, err error) {
	for len(hidden) > 0 {
		count := countFitting(hidden)
		step := &wirepb.StageStep{Epoch: epoch, Position: position, Hidden: hidden[:count]}
		if err := n.Send(step); err != nil {
			return frames, err
		}
		frames++
		position += uint32(count)
		hidden = hidden[count:]
	}
	return frames, nil
}

// countFitting returns how many activations fit into one frame, at least one.
func countFitting(hidden [][]byte) int {
	size := 0
	for i, h := range hidden {
		size += len(h)
		if size > maxActivationBytes && i > 0 {
			return i
		}
	}
	return len(hidden)
}

// receiveResult waits for the result of the oldest step that has no result
// yet.
func (n *nextStage) receiveResult() (*wirepb.StageResult, error) {
	r, err := n.Receive()
	if err != nil {
		return nil, n.withFailedStage(err)
	}
	return r, nil
}
