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

// maxStepBytes bounds the activations in one frame; the rest of the frame is
// small.
const maxStepBytes = wire.DefaultMaxFrame / 2

// nextStage is the stage after this one. One goroutine writes and one reads.
type nextStage struct {
	*client.Stage
	index int // of the stage in the whole chain
}

// openNext opens the stage after this one and waits until it is ready. It
// returns the number of tokens cached there and at all later stages.
func openNext(ctx context.Context, pool *link.Pool, open *wirepb.StageOpen, wait, resultTimeout time.Duration) (*nextStage, uint32, error) {
	n := &nextStage{index: int(open.Index)}
	timeouts := client.StageTimeouts{Ready: wait, Result: resultTimeout}
	stage, err := client.NewClient(pool).OpenStage(ctx, open.Stages[0].Address, open, timeouts)
	if err != nil {
		return nil, 0, n.blame(err)
	}
	n.Stage = stage
	return n, stage.CachedTokens(), nil
}

// blame passes on the error of a later stage. An agent that blames no stage
// is itself the one that failed, unless the work was cancelled or replaced.
func (n *nextStage) blame(err error) *fault.Error {
	e := fault.As(err)
	if e.FailedStage < n.index && stageAtFault(e.Kind) {
		e.FailedStage = n.index
	}
	return e
}

// stageAtFault reports whether an error of this kind is the fault of a stage
// and not of the sender.
func stageAtFault(kind fault.Kind) bool {
	return kind != fault.Cancelled && kind != fault.StaleEpoch && kind != fault.Preempted
}

// cancelled returns the reason why ctx ended.
func cancelled(ctx context.Context) *fault.Error {
	f := fault.As(context.Cause(ctx))
	if f.Kind == fault.Internal {
		return fault.Wrap(context.Cause(ctx), fault.Cancelled, "cancelled").WithOutcome(fault.MayHaveRun)
	}
	return f
}

// write sends the activations of consecutive positions, in as many frames as
// their size needs. It returns the number of frames, each of which is answered
// by one result.
func (n *nextStage) write(epoch uint64, position uint32, hidden [][]byte) (frames int, err error) {
	for len(hidden) > 0 {
		count := fitting(hidden)
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

// fitting returns how many activations fit into one frame, at least one.
func fitting(hidden [][]byte) int {
	size := 0
	for i, h := range hidden {
		size += len(h)
		if size > maxStepBytes && i > 0 {
			return i
		}
	}
	return len(hidden)
}

// read returns the result of the oldest step that has none yet.
func (n *nextStage) read() (*wirepb.StageResult, error) {
	r, err := n.Receive()
	if err != nil {
		return nil, n.blame(err)
	}
	return r, nil
}
