package gateway

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

const (
	repathTimeout = 500 * time.Millisecond
	// leaveTime is the time for which an engine that leaves surely serves on.
	// Streams that end within it stay, as a move pauses them.
	leaveTime = time.Second
	// silenceLimit is the pause after which a stream whose path was broken is
	// resumed at another first engine: callers leave after 2 s.
	silenceLimit = time.Second
	// repathAgain is the time after which a repaired stream may be repaired
	// again.
	repathAgain = time.Second
	// sweepInterval is the interval in which idle connections are checked.
	sweepInterval = time.Second
)

// repairLoop moves streams off engines that were lost or leave, whenever the view
// changes, and closes idle connections.
func (g *Gateway) repairLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.repair:
			g.repairStreams(ctx)
		case <-ticker.C:
			g.sweep()
		}
	}
}

func (g *Gateway) sweep() {
	known := make(map[string]bool)
	for _, in := range g.view.Load().byID {
		known[in.GetAddress()] = true
	}
	g.pool.CloseExpired(func(address string) bool { return known[address] })
}

func (g *Gateway) repairStreams(ctx context.Context) {
	v := g.view.Load()
	for _, s := range g.streams.list() {
		parts, due := s.state()
		lost, leaving := v.broken(parts)
		switch {
		case lost == parts[0].ID:
			g.resume(v, s, parts[0], lost, "first engine lost")
		case s.silentSinceBreak(lost != "") > silenceLimit:
			g.resume(v, s, parts[0], lost, "no event since the path broke")
		case lost != "" && due:
			g.repath(ctx, v, s, parts, lost, true)
		case lost == "" && leaving != "" && due && s.remaining() > leaveTime:
			g.repath(ctx, v, s, parts, leaving, false)
		}
	}
}

// resume ends the present attempt, so that the stream goes on along another
// path. While none has room, the attempt stays: its engine may only be out of
// the coordinator's reach.
func (g *Gateway) resume(v *view, s *stream, head path.PipelineStage, lost, reason string) {
	if _, err := g.bestPath(v, s.q, map[string]bool{head.ID: true, lost: true}); err != nil {
		return
	}
	if s.endAttempt(fault.New(fault.Upstream, "%s", reason).WithOutcome(fault.MayHaveRun)) {
		g.log.Info("Attempt ended.", logs.Str("request", s.q.caller.RequestID), logs.Str("reason", reason), logs.Str("lost", lost), logs.Dur("view_age", v.age()))
	}
}

// silentSinceBreak notes whether the path is broken, and returns the time without
// an event of a stream whose path is or was broken in this attempt; zero for
// others.
func (s *stream) silentSinceBreak(broken bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = s.broken || broken
	if !s.broken {
		return 0
	}
	return time.Since(s.event)
}

// broken returns an engine of a path that was lost, and one that is about to
// leave.
func (v *view) broken(parts []path.PipelineStage) (lost, leaving string) {
	for i, p := range parts {
		in := v.byID[p.ID]
		switch {
		case !serves(in, p):
			return p.ID, ""
		case i > 0 && (in.GetLeaving() || in.GetLeft()):
			leaving = p.ID
		}
	}
	return "", leaving
}

// state returns the path, and whether it may be repaired now.
func (s *stream) state() (parts []path.PipelineStage, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts, time.Since(s.moved) > repathAgain
}

// endAttempt ends the present attempt because its first engine was lost. The
// last attempt goes on: the engine may only be out of the coordinator's reach,
// and no other may be tried.
func (s *stream) endAttempt(cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final {
		return false
	}
	s.final = true
	s.cancel(cause)
	return true
}

// repath moves a stream off an engine to a path with the same first engine, so
// that its connection and what the other engines have read are kept. With cross,
// the path may change the data centre.
func (g *Gateway) repath(ctx context.Context, v *view, s *stream, parts []path.PipelineStage, off string, cross bool) {
	q := s.q
	tokens := q.caller.Prompt + q.answerTokens()
	choice, err := path.Choose(q.service.Model, g.enginesOf(v, q, nil), path.Request{
		InputTokens: q.caller.Prompt, ExpectedOutputTokens: q.answerTokens(), DataCentre: g.opts.DataCentre,
		FirstStage: &parts[0], SingleDataCentre: !cross, AllowFull: true, CostFactor: preferKept(parts, q.caller.RequestID),
	})
	if err == nil && through(choice.Stages, off) {
		return // nothing better than the engine that leaves
	}
	if err != nil || !g.pipes.admitMoved(q.service.Model, v.entries, tokens, choice) {
		return // the next view may know another path
	}
	s.mu.Lock()
	s.parts, s.moved = choice.Stages, time.Now()
	s.mu.Unlock()
	g.load.reserve(choice.Stages, tokens)
	g.metrics.repaths.Inc()
	q.repaths.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, repathTimeout)
		defer cancel()
		err := g.engines.Repath(ctx, parts[0].Address, instances.Repath{RequestID: q.caller.RequestID, Path: choice.Stages})
		if err == nil {
			g.log.Info("Stream moved.", logs.Str("request", q.caller.RequestID), logs.Str("off", off), logs.Int("engines", len(choice.Stages)))
			return
		}
		g.log.Warn("Stream not moved.", logs.Str("request", q.caller.RequestID), logs.Str("off", off), logs.Err(err))
		for _, p := range choice.Stages {
			if p.Address == fault.As(err).Field {
				g.load.failed(p.ID)
			}
		}
		s.mu.Lock()
		if s.parts[0] == parts[0] {
			s.parts, s.moved = parts, time.Time{} // still on the broken path
		}
		s.mu.Unlock()
	}()
}

// keptFactor makes engines that already hold the request's KV cache cheaper.
const keptFactor = 0.5

func preferKept(parts []path.PipelineStage, requestID string) func(string) float64 {
	kept := make(map[string]bool)
	for _, p := range parts {
		kept[p.ID] = true
	}
	others := spread(requestID)
	return func(id string) float64 {
		if kept[id] {
			return keptFactor
		}
		return others(id)
	}
}

func through(parts []path.PipelineStage, id string) bool {
	for _, p := range parts {
		if p.ID == id {
			return true
		}
	}
	return false
}
