package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

const (
	repathTimeout = 500 * time.Millisecond
	// leaveGrace is the time for which a leaving engine is certain to serve. Streams
	// that end within it are not moved, because a move pauses them.
	leaveGrace = time.Second
	// moveSpread is the time over which the streams of a leaving engine move to others. If
	// all moved at once, the engines that take them over would read all their tokens at once
	// and pause every stream for longer than routes allow.
	moveSpread = 800 * time.Millisecond
	// stallTimeout is the time without an event after which a stream whose path broke
	// is resumed at another first engine: callers disconnect after 2 s.
	stallTimeout = time.Second
	// minRepathInterval is the minimum time between two repaths of a stream.
	minRepathInterval = time.Second
	// idleCheckInterval is the interval at which idle upstream connections are checked.
	idleCheckInterval = time.Second
)

// repairLoop moves streams off lost and leaving engines whenever the view changes, and
// closes expired upstream connections.
func (g *Gateway) repairLoop(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.repairSignal:
			g.repairStreams(ctx)
		case <-ticker.C:
			g.closeExpired()
		}
	}
}

func (g *Gateway) closeExpired() {
	v := g.view.Load()
	known := make(map[string]bool)
	for _, in := range v.byID {
		known[in.GetAddress()] = true
	}
	g.forgetSelfReports(v)
	g.requestLimits.retain(func(id string) bool { return v.byID[id] != nil })
	g.pool.CloseExpired(func(address string) bool { return known[address] })
}

func (g *Gateway) repairStreams(ctx context.Context) {
	v := g.view.Load()
	for _, s := range g.streams.list() {
		stages, repairDue := s.repairState()
		lost, leaving := v.pathStatus(stages, g.leavesNow)
		switch {
		case lost == stages[0].ID:
			g.resume(v, s, stages[0], lost, "first engine lost")
		case s.timeWithoutEvent(lost != "") > stallTimeout:
			g.resume(v, s, stages[0], lost, "no event since the path broke")
		case lost != "" && repairDue:
			// A new path that crosses to another data centre has to send all tokens so far
			// over the shared link, which takes longer than to begin anew on the other side.
			if !g.repath(ctx, v, s, stages, lost, false) && !g.resume(v, s, stages[0], lost, "path broken") {
				g.repath(ctx, v, s, stages, lost, true)
			}
		case lost == "" && leaving != "" && repairDue && s.moveDue(leaving, time.Now()):
			g.repath(ctx, v, s, stages, leaving, false)
		}
	}
}

// resume ends the current attempt, so that the stream is resumed on a path with another
// first engine, and reports whether it did. If no path within one data centre has free
// capacity, the attempt goes on, as its engine may be unreachable only for the coordinator.
func (g *Gateway) resume(v *view, s *stream, firstStage path.PipelineStage, lost, reason string) bool {
	if c, err := g.bestPath(v, s.q, map[string]bool{firstStage.ID: true, lost: true}); err != nil || c.DataCentreCrossings > 0 {
		return false
	}
	if !s.endAttempt(fault.New(fault.Upstream, "%s", reason).WithOutcome(fault.MayHaveRun)) {
		return false
	}
	g.log.Info("Attempt ended.", logs.Str("request", s.q.metadata.RequestID), logs.Str("reason", reason), logs.Str("lost", lost), logs.Dur("view_age", v.age()))
	return true
}

// timeWithoutEvent records whether the path is broken. It returns the time since the
// last event, or since the start of the attempt if that is later, if the path is or was
// broken in this attempt, and zero otherwise.
func (s *stream) timeWithoutEvent(pathBroken bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pathBroken = s.pathBroken || pathBroken
	if !s.pathBroken {
		return 0
	}
	return time.Since(s.lastEventAt)
}

// leavesNow reports whether the engine of a stage stated that it leaves.
func (g *Gateway) leavesNow(p path.PipelineStage) bool {
	return g.selfReports.Get(stageProcess(p)).Leaving
}

// pathStatus returns the ID of a lost engine of a path, or else the ID of an engine
// after the first that is leaving, as the view or leavesNow says.
func (v *view) pathStatus(stages []path.PipelineStage, leavesNow func(path.PipelineStage) bool) (lost, leaving string) {
	for i, p := range stages {
		in := v.byID[p.ID]
		switch {
		case !serves(in, p):
			return p.ID, ""
		case i > 0 && (in.GetLeaving() || in.GetLeft() || leavesNow(p)):
			leaving = p.ID
		}
	}
	return "", leaving
}

// repairState returns the path of a stream, and whether minRepathInterval has passed
// since its last repath.
func (s *stream) repairState() (stages []path.PipelineStage, repairDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stages, time.Since(s.repathedAt) > minRepathInterval
}

// moveDue reports whether the stream is to move off a leaving engine now: at a random time
// within moveSpread, and only if it would not end in the time for which the engine is
// certain to serve.
func (s *stream) moveDue(leaving string, now time.Time) bool {
	s.mu.Lock()
	if s.leavingEngine != leaving {
		s.leavingEngine, s.leavingSince, s.moveAt = leaving, now, now.Add(rand.N(moveSpread))
	}
	due, served := !now.Before(s.moveAt), leaveGrace-now.Sub(s.leavingSince)
	s.mu.Unlock()
	return due && s.remaining() > served
}

// endAttempt cancels the current attempt with the given cause. It returns false if the
// attempt was already ended or is the last one: a last attempt goes on, as its engine
// may be unreachable only for the coordinator and no other engine may be tried.
func (s *stream) endAttempt(cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endBlocked {
		return false
	}
	s.endBlocked = true
	s.cancel(cause)
	return true
}

// repath moves a stream off the engine avoid to a path with the same first engine,
// which keeps the connection of the stream and the KV cache of the other engines. With
// crossDataCentre, the path may cross between data centres. It returns false if there is no
// such path now.
func (g *Gateway) repath(ctx context.Context, v *view, s *stream, stages []path.PipelineStage, avoid string, crossDataCentre bool) bool {
	q := s.q
	if time.Now().Before(g.selfReports.Get(stageProcess(stages[0])).PausedUntil) {
		return false // the first engine wants no orders either
	}
	tokens := q.metadata.PromptTokens + q.expectedOutputTokens()
	choice, err := path.Choose(q.service.Model, g.candidateEngines(v, q, nil, g.isClosedTo(stages)), path.Request{
		InputTokens: q.metadata.PromptTokens, ExpectedOutputTokens: q.expectedOutputTokens(), DataCentre: g.opts.DataCentre,
		FirstStage: &stages[0], SingleDataCentre: !crossDataCentre, AllowFull: true, CostFactor: preferKeptEngines(stages, q.metadata.RequestID),
	})
	if err == nil && passesThrough(choice.Stages, avoid) {
		return false // the cheapest path still contains the engine to avoid
	}
	if err != nil || !g.linkBudgets.admitRepath(q.service.Model, v.gatewayCount, tokens, choice) {
		return false // the next view may have another path
	}
	s.mu.Lock()
	s.stages, s.repathedAt = choice.Stages, time.Now()
	s.mu.Unlock()
	g.load.reserve(choice.Stages, tokens)
	g.metrics.repaths.Inc()
	q.repaths.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, repathTimeout)
		defer cancel()
		err := g.engines.Repath(ctx, stages[0].Address, instances.Repath{RequestID: q.metadata.RequestID, Path: choice.Stages})
		if err == nil {
			g.log.Info("Stream moved.", logs.Str("request", q.metadata.RequestID), logs.Str("off", avoid), logs.Int("engines", len(choice.Stages)))
			return
		}
		g.log.Warn("Stream not moved.", logs.Str("request", q.metadata.RequestID), logs.Str("off", avoid), logs.Err(err))
		// Field holds the address of the engine that caused the refusal, if it is known.
		g.recordRefusalBy(choice.Stages, fault.As(err).Field, 0)
		for _, p := range choice.Stages {
			if p.Address == fault.As(err).Field {
				g.load.onFailure(p.ID)
			}
		}
		s.mu.Lock()
		if s.stages[0] == stages[0] {
			s.stages, s.repathedAt = stages, time.Time{} // the stream is still on its previous path
		}
		s.mu.Unlock()
	}()
	return true
}

// keptEngineFactor reduces the cost of engines that already hold the KV cache of the
// request.
const keptEngineFactor = 0.5

func preferKeptEngines(stages []path.PipelineStage, requestID string) func(string) float64 {
	kept := make(map[string]bool)
	for _, p := range stages {
		kept[p.ID] = true
	}
	otherFactors := spreadFactors(requestID)
	return func(id string) float64 {
		if kept[id] {
			return keptEngineFactor
		}
		return otherFactors(id)
	}
}

func passesThrough(stages []path.PipelineStage, id string) bool {
	for _, p := range stages {
		if p.ID == id {
			return true
		}
	}
	return false
}
