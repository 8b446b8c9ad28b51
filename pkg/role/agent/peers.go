package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxStepBytes bounds the activations in one frame; the rest of the frame is
// small.
const maxStepBytes = wire.DefaultMaxFrame / 2

// nextStage is the stream to the agent of the next stage. One goroutine
// writes and one reads.
type nextStage struct {
	index   int // of the stage in the whole chain
	stream  *wire.Stream
	stop    func() bool
	timeout time.Duration // for the result of one step, all later stages included
	ctx     context.Context

	mu          sync.Mutex
	outstanding int
}

// openNext opens the stage after this one and waits until it is ready.
func openNext(ctx context.Context, pool *link.Pool, open *wirepb.StageOpen, wait, resultTimeout time.Duration) (*nextStage, uint32, error) {
	index := int(open.Index)
	stream, err := pool.Open(ctx, open.Stages[0].Address)
	if err != nil {
		return nil, 0, fault.Wrap(err, fault.Unavailable, "connect to stage").WithStage(index).WithOutcome(fault.NotRun)
	}
	n := &nextStage{index: index, stream: stream, timeout: resultTimeout, ctx: ctx}
	n.stop = context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	cached, err := n.handshake(open, wait)
	if err != nil {
		n.close()
		return nil, 0, err
	}
	return n, cached, nil
}

func (n *nextStage) handshake(open *wirepb.StageOpen, wait time.Duration) (uint32, error) {
	n.setDeadline(wait)
	if err := n.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageOpen{StageOpen: open}}); err != nil {
		return 0, n.failure(err)
	}
	f, err := n.stream.Read()
	if err != nil {
		return 0, n.failure(err)
	}
	if e := f.GetError(); e != nil {
		return 0, n.reported(e)
	}
	ready := f.GetStageReady()
	if ready == nil {
		return 0, n.failure(fault.New(fault.Protocol, "%T in place of the answer to an open", f.Body))
	}
	n.setDeadline(0)
	return ready.CachedTokens, nil
}

// setDeadline bounds the stream unless the work was cancelled. Zero removes
// the bound.
func (n *nextStage) setDeadline(d time.Duration) {
	at := time.Time{}
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = n.stream.SetReadDeadline(at)
	if n.ctx.Err() != nil {
		_ = n.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// failure blames the next stage for a broken stream, unless this side ended it.
func (n *nextStage) failure(err error) *fault.Error {
	if n.ctx.Err() != nil {
		return cancelled(n.ctx)
	}
	if err == io.EOF {
		err = fault.New(fault.Unavailable, "stage closed the stream")
	}
	return fault.Wrap(err, fault.Upstream, "stage %d", n.index).WithStage(n.index).WithOutcome(fault.MayHaveRun)
}

// reported passes on the error of a later stage. An agent that blames no stage
// is itself the one that failed, unless the work was cancelled or replaced.
func (n *nextStage) reported(w *wirepb.Error) *fault.Error {
	e := fault.FromWire(w)
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
		n.begin()
		if err := n.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_StageStep{StageStep: step}}); err != nil {
			return frames, n.failure(err)
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

func (n *nextStage) begin() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outstanding++
	n.setDeadline(n.timeout)
}

// settle moves the deadline after a result.
func (n *nextStage) settle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outstanding--
	if n.outstanding > 0 {
		n.setDeadline(n.timeout)
		return
	}
	n.setDeadline(0)
}

// read returns the result of the oldest step that has none yet.
func (n *nextStage) read() (*wirepb.StageResult, error) {
	f, err := n.stream.Read()
	if err != nil {
		return nil, n.failure(err)
	}
	if e := f.GetError(); e != nil {
		return nil, n.reported(e)
	}
	r := f.GetStageResult()
	if r == nil {
		return nil, n.failure(fault.New(fault.Protocol, "%T in place of a result", f.Body))
	}
	n.settle()
	return r, nil
}

// close ends the stage and those after it.
func (n *nextStage) close() {
	n.stop()
	_ = n.stream.Close()
}
