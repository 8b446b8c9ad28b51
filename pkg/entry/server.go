// Package entry implements the agent's server for streams from entries and from
// the agents of other stages. It reads requests, cancels the work of closed
// streams, and writes tokens, responses and load reports.
package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Default timeouts of Options; default and limits of the interval of load reports.
const (
	DefaultFirstFrameTimeout = 2 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	// DefaultLoadReportInterval is used if a load watch requests no interval.
	DefaultLoadReportInterval = 100 * time.Millisecond
	minLoadInterval           = 20 * time.Millisecond
	maxLoadInterval           = 10 * time.Second
)

// Handler executes the requests of entries and agents.
type Handler interface {
	// Generate sends tokens to out until the generation ends. The context ends
	// when the entry cancels or closes the stream.
	Generate(ctx context.Context, req *wirepb.GenerateRequest, out *GenerationStream) (*wirepb.GenerateDone, error)
	// Call executes a service call.
	Call(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error)
	// ServeStage runs one stage of a chain until the stream ends.
	ServeStage(ctx context.Context, open *wirepb.StageOpen, steps *StageStream) error
	// CurrentLoad returns the current load report without a sequence number. The
	// caller must not modify it.
	CurrentLoad() *wirepb.LoadReport
}

// Options holds the timeouts of streams and the log.
type Options struct {
	FirstFrameTimeout time.Duration
	WriteTimeout      time.Duration // for writing one frame; exceeded if the peer does not read
	Log               logs.Logger
}

// Server serves streams from entries and agents.
type Server struct {
	handler Handler
	opts    Options
}

// NewServer returns a server that passes requests to handler. Timeouts of zero
// are replaced by their defaults.
func NewServer(handler Handler, opts Options) *Server {
	defaults.Set(&opts.FirstFrameTimeout, DefaultFirstFrameTimeout)
	defaults.Set(&opts.WriteTimeout, DefaultWriteTimeout)
	return &Server{handler: handler, opts: opts}
}

// Serve serves one stream and closes it. It has the signature of link.Handler.
func (s *Server) Serve(peer link.Identity, stream *wire.Stream) {
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(s.opts.FirstFrameTimeout))
	f, err := stream.Read()
	if err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if err := s.dispatch(stream, f); err != nil {
		s.opts.Log.Debug("stream ended with an error", logs.Str("peer", peer.Host), logs.Err(err))
		_ = stream.SetDeadline(time.Now().Add(s.opts.WriteTimeout))
		_ = stream.WriteError(err)
	}
}

func (s *Server) dispatch(stream *wire.Stream, f *wirepb.Frame) error {
	switch body := f.Body.(type) {
	case *wirepb.Frame_Generate:
		return s.handleGenerate(stream, body.Generate)
	case *wirepb.Frame_Call:
		return s.handleCall(stream, body.Call)
	case *wirepb.Frame_StageOpen:
		return s.handleStage(stream, body.StageOpen)
	case *wirepb.Frame_LoadWatch:
		return s.handleLoadWatch(stream, body.LoadWatch)
	default:
		return fault.New(fault.Protocol, "stream starts with %T", f.Body).WithOutcome(fault.NotRun)
	}
}

// cancelOnFrame returns a context that ends when the peer cancels or closes the
// stream. The returned function stops reading from the stream.
func cancelOnFrame(stream *wire.Stream) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Any frame after the request cancels it, as does the end of the stream.
		_, _ = stream.Read()
		cancel(fault.New(fault.Cancelled, "cancelled by the peer").WithOutcome(fault.MayHaveRun))
	}()
	stop = func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
	return ctx, stop
}

func (s *Server) handleCall(stream *wire.Stream, req *wirepb.CallRequest) error {
	ctx, stop := cancelOnFrame(stream)
	defer stop()
	response, err := s.handler.Call(ctx, req)
	if err != nil {
		return err
	}
	w := newTimeoutWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	return w.write(&wirepb.Frame{Body: &wirepb.Frame_CallResponse{CallResponse: response}})
}

func (s *Server) handleLoadWatch(stream *wire.Stream, req *wirepb.LoadWatch) error {
	ctx, stop := cancelOnFrame(stream)
	defer stop()
	interval := time.Duration(req.IntervalMs) * time.Millisecond
	if interval == 0 {
		interval = DefaultLoadReportInterval
	}
	interval = min(max(interval, minLoadInterval), maxLoadInterval)
	w := newTimeoutWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		report := withSequence(s.handler.CurrentLoad(), sequence)
		if err := w.write(&wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: report}}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// withSequence returns a copy of a report that load watches share, with the
// sequence number of one watch. The copy shares the slices of the report.
func withSequence(r *wirepb.LoadReport, sequence uint64) *wirepb.LoadReport {
	return &wirepb.LoadReport{
		Sequence: sequence, Host: r.Host, Incarnation: r.Incarnation, Slots: r.Slots, Running: r.Running,
		Ranks: r.Ranks, TokensPerSecond: r.TokensPerSecond, FirstTokenMsP50: r.FirstTokenMsP50,
		InterTokenUsP50: r.InterTokenUsP50, Draining: r.Draining, StaleConfig: r.StaleConfig, Revision: r.Revision,
		EngineRunning: r.EngineRunning, EngineQueued: r.EngineQueued, EngineKvFreeTokens: r.EngineKvFreeTokens,
		EngineAgeMs: r.EngineAgeMs, Prefixes: r.Prefixes, Links: r.Links,
	}
}
