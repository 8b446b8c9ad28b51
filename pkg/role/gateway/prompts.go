package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// checkQuarantine returns an error if the request has prompt parts that crash engines.
func (g *Gateway) checkQuarantine(q *request) error {
	now := time.Now()
	found, quarantined := g.view.Load().quarantines.Match(now, q.promptParts)
	if !quarantined {
		return nil
	}
	g.metrics.quarantined.Inc()
	return notRunError(fault.Quarantined, "prompt parts %s are in quarantine: engines crash on them", found.Parts).WithRetryAfter(found.Until.Sub(now))
}

const (
	// answeredWrites is the number of writes to the caller from which a request counts as
	// answered: an engine that crashes on a request does so when it starts to answer.
	answeredWrites = 2
	// maxBrokenReplies bounds the broken replies that are kept, also for a later leader.
	maxBrokenReplies = 256
	// brokenReplyAge is the time for which they are kept.
	brokenReplyAge = 10 * time.Minute
	// maxAnswerGroups bounds the sets of parts that are counted between two reports.
	maxAnswerGroups = 256
	// promptReportSpacing is the least time between two reports, so that the requests that
	// a crash interrupts share one.
	promptReportSpacing = 50 * time.Millisecond
	// promptReportRetryDelay is the time after a report that no leader took.
	promptReportRetryDelay = 200 * time.Millisecond
	promptReportTimeout    = 500 * time.Millisecond
)

// promptEvidence collects what this gateway sees of requests with shared prompt parts,
// until the leader has been told.
type promptEvidence struct {
	changed  chan struct{} // signals that there is something to report
	answered quarantine.AnsweredParts

	mu      sync.Mutex
	leader  leaderTerm      // that watches the parts
	watched map[string]bool // parts whose answered requests the leader wants to know of
	answers map[string]*wirepb.AnsweredPrompts
	broken  []*brokenReply // oldest first
}

type brokenReply struct {
	message *wirepb.BrokenReply
	at      time.Time
	sentTo  leaderTerm // that has acknowledged it
}

// leaderTerm is one leadership of a coordinator. A leader forgets all evidence with its term.
type leaderTerm struct {
	address string
	term    uint64
}

func newPromptEvidence() *promptEvidence {
	return &promptEvidence{
		changed: make(chan struct{}, 1), answered: quarantine.NewAnsweredParts(), answers: make(map[string]*wirepb.AnsweredPrompts),
	}
}

func (e *promptEvidence) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// setWatched sets the parts that the leader watches. Those that are new to this leader are
// reported if a request with them was answered before.
func (e *promptEvidence) setWatched(leader leaderTerm, parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newLeader := leader != e.leader
	if !newLeader && len(parts) == len(e.watched) && e.watchesAll(parts) {
		return
	}
	old := e.watched
	e.leader, e.watched = leader, make(map[string]bool, len(parts))
	for _, id := range parts {
		e.watched[id] = true
		if (newLeader || !old[id]) && e.answered.Contains(id) {
			e.count(quarantine.Parts{id}, true)
		}
	}
	e.signal()
}

func (e *promptEvidence) watchesAll(parts []string) bool {
	for _, id := range parts {
		if !e.watched[id] {
			return false
		}
	}
	return true
}

// count adds an answered request with these parts to the next report.
func (e *promptEvidence) count(p quarantine.Parts, beforeWatch bool) {
	key := p.String()
	if beforeWatch {
		key += " before"
	}
	a := e.answers[key]
	if a == nil {
		if len(e.answers) >= maxAnswerGroups {
			return
		}
		a = &wirepb.AnsweredPrompts{Parts: p, BeforeWatch: beforeWatch}
		e.answers[key] = a
	}
	a.Count++
}

// recordAnswered records a request that was answered.
func (e *promptEvidence) recordAnswered(p quarantine.Parts) {
	e.answered.Add(p)
	e.mu.Lock()
	defer e.mu.Unlock()
	var watched quarantine.Parts
	for _, id := range p {
		if e.watched[id] {
			watched = append(watched, id)
		}
	}
	if len(watched) > 0 {
		e.count(watched, false)
		e.signal()
	}
}

// recordBroken records a request whose connection broke before it was answered.
func (e *promptEvidence) recordBroken(now time.Time, m *wirepb.BrokenReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = append(e.broken, &brokenReply{message: m, at: now})
	for len(e.broken) > maxBrokenReplies || now.Sub(e.broken[0].at) > brokenReplyAge {
		e.broken = e.broken[1:]
	}
	e.signal()
}

// next returns the report for the leader, nil if there is nothing to report, and what to
// call once the leader has acknowledged it.
func (e *promptEvidence) next(now time.Time) (r *wirepb.PromptReport, acknowledged func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r = &wirepb.PromptReport{}
	leader := e.leader
	var sent []*brokenReply
	for _, b := range e.broken {
		if b.sentTo != leader {
			m := proto.CloneOf(b.message)
			m.AgeMs = now.Sub(b.at).Milliseconds()
			r.Broken, sent = append(r.Broken, m), append(sent, b)
		}
	}
	for _, a := range e.answers {
		r.Answered = append(r.Answered, proto.CloneOf(a))
	}
	if len(r.Broken)+len(r.Answered) == 0 {
		return nil, nil
	}
	return r, func() { e.acknowledge(leader, sent, r.Answered) }
}

func (e *promptEvidence) acknowledge(leader leaderTerm, sent []*brokenReply, answered []*wirepb.AnsweredPrompts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range sent {
		b.sentTo = leader
	}
	for key, a := range e.answers {
		for _, reported := range answered {
			if reported.GetBeforeWatch() == a.GetBeforeWatch() && quarantine.Parts(reported.GetParts()).String() == quarantine.Parts(a.GetParts()).String() {
				a.Count -= reported.GetCount()
			}
		}
		if a.GetCount() == 0 {
			delete(e.answers, key)
		}
	}
}

// reportPrompts sends the leader what was recorded, until ctx ends.
func (g *Gateway) reportPrompts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.prompts.changed:
		}
		for report, acknowledged := g.prompts.next(time.Now()); report != nil; report, acknowledged = g.prompts.next(time.Now()) {
			wait := promptReportSpacing
			if err := g.sendPromptReport(ctx, report); err != nil {
				g.log.Debug("Prompt report not taken.", logs.Err(err))
				wait = promptReportRetryDelay
			} else {
				acknowledged()
			}
			if !delay.Wait(ctx, wait) {
				return
			}
		}
	}
}

func (g *Gateway) sendPromptReport(ctx context.Context, r *wirepb.PromptReport) error {
	ctx, cancel := context.WithTimeout(ctx, promptReportTimeout)
	defer cancel()
	return g.client.ReportPrompts(ctx, r)
}

// recordAnswered records a stream as answered once it has had answeredWrites writes, or an
// event and is complete.
func (g *Gateway) recordAnswered(s *stream, complete bool) {
	if len(s.q.promptParts) > 0 && s.becomesAnswered(complete) {
		g.prompts.recordAnswered(s.q.promptParts)
	}
}

// becomesAnswered reports whether a stream counts as answered that did not until now.
func (s *stream) becomesAnswered(complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.attemptWrites < answeredWrites && !(complete && s.eventWrites > 0) {
		return false
	}
	s.answered = true
	return true
}

// recordBrokenReply records an attempt that failed with err if the connection to its engine
// broke, or was given up because the engine is lost, before the stream was answered. An
// attempt that the caller ended, or that its engine refused, says nothing about the prompt.
func (g *Gateway) recordBrokenReply(ctx context.Context, s *stream, firstStage path.PipelineStage, err error) {
	if err == nil || len(s.q.promptParts) == 0 || fault.As(err).Outcome != fault.MayHaveRun {
		return
	}
	if _, givenUp := context.Cause(ctx).(*fault.Error); ctx.Err() != nil && !givenUp {
		return
	}
	s.mu.Lock()
	answered, replyBegan, writes := s.answered, s.replyBegan, s.attemptWrites
	s.mu.Unlock()
	if answered {
		return
	}
	g.prompts.recordBroken(time.Now(), &wirepb.BrokenReply{
		// One identifier that cannot be encoded would keep the others from being sent.
		RequestId: strings.ToValidUTF8(s.q.metadata.RequestID, "?"), InstanceId: firstStage.ID, BornUnixMs: firstStage.StartUnixMs,
		ReplyBegan: replyBegan, HasEvent: writes > 0, Parts: s.q.promptParts,
	})
}
