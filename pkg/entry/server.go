// Package entry is the agent's server side towards entries and towards the
// agents of other stages: it reads requests from streams, cancels work whose
// stream was closed, and writes tokens, answers and load reports.
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

// Defaults of Options.
const (
	DefaultFirstFrameTimeout  = 2 * time.Second
	DefaultWriteTimeout       = 10 * time.Second
	DefaultLoadReportInterval = 100 * time.Millisecond
	minLoadInterval           = 20 * time.Millisecond
	maxLoadInterval           = 10 * time.Second
)

// Handler carries out what entries and agents ask for.
type Handler interface {
	// Generate emits tokens until the generation ends. Its context ends when
	// the entry cancels or closes the stream.
	Generate(ctx context.Context, req *wirepb.GenerateRequest, out *GenerationStream) (*wirepb.GenerateDone, error)
	// Call runs a service call.
	Call(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error)
	// ServeStage runs one stage of a chain until the stream ends.
	ServeStage(ctx context.Context, open *wirepb.StageOpen, steps *StageStream) error
	// CurrentLoad returns the current load, without a sequence number. The caller
	// does not change it.
	CurrentLoad() *wirepb.LoadReport
}

// Options bound the streams in time.
type Options struct {
	FirstFrameTimeout time.Duration
	WriteTimeout      time.Duration // for one frame to a peer that does not read
	Log               logs.Logger
}

// Server serves the streams of entries and agents.
type Server struct {
	handler Handler
	opts    Options
}

// NewServer returns a server that passes requests to handler.
func NewServer(handler Handler, opts Options) *Server {
	defaults.Set(&opts.FirstFrameTimeout, DefaultFirstFrameTimeout)
	defaults.Set(&opts.WriteTimeout, DefaultWriteTimeout)
	return &Server{handler: handler, opts: opts}
}

// Serve serves one stream and closes it. It is a link.Handler.
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
		return s.generate(stream, body.Generate)
	case *wirepb.Frame_Call:
		return s.call(stream, body.Call)
	case *wirepb.Frame_StageOpen:
		return s.stage(stream, body.StageOpen)
	case *wirepb.Frame_LoadWatch:
		return s.watchLoad(stream, body.LoadWatch)
	default:
		return fault.New(fault.Protocol, "stream starts with %T", f.Body).WithOutcome(fault.NotRun)
	}
}

// watchCancel ends ctx when the peer cancels or closes the stream. The
// returned function stops the watch.
func watchCancel(stream *wire.Stream) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Any frame after the request is a cancel; so is the end of the stream.
		_, _ = stream.Read()
		cancel(fault.New(fault.Cancelled, "cancelled by the peer").WithOutcome(fault.MayHaveRun))
	}()
	stop = func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
	return ctx, stop
}

func (s *Server) call(stream *wire.Stream, req *wirepb.CallRequest) error {
	ctx, stop := watchCancel(stream)
	defer stop()
	answer, err := s.handler.Call(ctx, req)
	if err != nil {
		return err
	}
	w := newBoundedWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	return w.write(&wirepb.Frame{Body: &wirepb.Frame_CallResponse{CallResponse: answer}})
}

func (s *Server) watchLoad(stream *wire.Stream, req *wirepb.LoadWatch) error {
	ctx, stop := watchCancel(stream)
	defer stop()
	interval := time.Duration(req.IntervalMs) * time.Millisecond
	if interval == 0 {
		interval = DefaultLoadReportInterval
	}
	interval = min(max(interval, minLoadInterval), maxLoadInterval)
	w := newBoundedWriter(stream, s.opts.WriteTimeout)
	defer w.stop()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		report := numbered(s.handler.CurrentLoad(), sequence)
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

// numbered returns a copy of a shared report with the sequence number of one
// watcher. The lists are shared.
func numbered(r *wirepb.LoadReport, sequence uint64) *wirepb.LoadReport {
	return &wirepb.LoadReport{
		Sequence: sequence, Host: r.Host, Incarnation: r.Incarnation, Slots: r.Slots, Running: r.Running,
		Ranks: r.Ranks, TokensPerSecond: r.TokensPerSecond, FirstTokenMsP50: r.FirstTokenMsP50,
		InterTokenUsP50: r.InterTokenUsP50, Draining: r.Draining, StaleConfig: r.StaleConfig, Revision: r.Revision,
		EngineRunning: r.EngineRunning, EngineQueued: r.EngineQueued, EngineKvFreeTokens: r.EngineKvFreeTokens,
		EngineAgeMs: r.EngineAgeMs, Prefixes: r.Prefixes, Links: r.Links,
	}
}
