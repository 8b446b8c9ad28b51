package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// GenerationStream sends the tokens of one generation to the entry and queries it
// for other stages. It must be used by one goroutine at a time.
type GenerationStream struct {
	ctx     context.Context
	writer  *timeoutWriter
	choices chan *wirepb.StageChoice
	frame   wirepb.Frame
	token   wirepb.Frame_Token
}

// SendToken sends a token to the entry. It fails if the write takes longer than
// Options.WriteTimeout.
func (g *GenerationStream) SendToken(t *wirepb.Token) error {
	g.token.Token = t
	g.frame.Body = &g.token
	return g.writer.write(&g.frame)
}

// QueryStages asks the entry to select other stages after the head and returns
// its choice. refused lists the hosts of the last chosen stages up to and
// including the one without a free slot. freed lists hosts, one for each later
// stage, whose slots a preemption has just freed. Either list may be nil.
func (g *GenerationStream) QueryStages(refused, freed []string) (*wirepb.StageChoice, error) {
	query := &wirepb.StageQuery{Refused: refused, Freed: freed}
	if err := g.writer.write(&wirepb.Frame{Body: &wirepb.Frame_StageQuery{StageQuery: query}}); err != nil {
		return nil, err
	}
	select {
	case c := <-g.choices:
		return c, nil
	case <-g.ctx.Done():
		return nil, fault.As(context.Cause(g.ctx))
	}
}

func (s *Server) handleGenerate(stream *wire.Stream, req *wirepb.GenerateRequest) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newTimeoutWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	g := &GenerationStream{ctx: ctx, writer: w, choices: make(chan *wirepb.StageChoice, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(g.receive(stream))
	}()
	defer func() {
		cancel(nil)
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		<-done
	}()
	result, err := s.handler.Generate(ctx, req, g)
	if err != nil {
		return err
	}
	return w.write(&wirepb.Frame{Body: &wirepb.Frame_GenerateDone{GenerateDone: result}})
}

// receive forwards stage choices until the stream ends. Any other frame cancels
// the generation.
func (g *GenerationStream) receive(stream *wire.Stream) error {
	for {
		f, err := stream.Read()
		choice := f.GetStageChoice()
		if err != nil || choice == nil {
			return fault.New(fault.Cancelled, "cancelled by the peer").WithOutcome(fault.MayHaveRun)
		}
		select {
		case g.choices <- choice:
		case <-g.ctx.Done():
			return nil
		}
	}
}
