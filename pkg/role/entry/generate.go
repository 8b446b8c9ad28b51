package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Finish reasons of the OpenAI API.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// repairPollInterval is the interval between attempts to select a chain for an
// interrupted stream.
const repairPollInterval = 50 * time.Millisecond

// generation is the state of one chat request across its attempts.
type generation struct {
	entry    *Entry
	req      *callers.GenerationRequest
	emit     func(uint32) error
	usage    *usage
	layers   int
	version  string // the same in all attempts, so that a repair does not change the tokens; see Generate and selectFirstChain
	rank     sched.Rank
	weight   uint32
	revision uint64

	stream   *session.Stream
	chain    []route.Stage
	plan     session.Plan
	prefixes []uint64
	parts    quarantine.Parts

	started     time.Time
	lastTokenAt time.Time
	mayHaveRun  bool // an attempt failed without proof that it did not run

	preemptions int
	requeued    bool // the attempt follows a preemption
	emitErr     error
}

// Generate implements callers.Router.
func (e *Entry) Generate(ctx context.Context, req *callers.GenerationRequest, emit func(uint32) error) (callers.GenerationResult, error) {
	s, err := e.confirmedSnapshot()
	if err != nil {
		return callers.GenerationResult{}, err
	}
	model, ok := s.view.Models[req.Model]
	if !ok {
		return callers.GenerationResult{}, fault.New(fault.NotFound, "model %q does not exist", req.Model).WithField("model").WithOutcome(fault.NotRun)
	}
	rank, _ := schedRank(req.Rank)
	if err := e.requestLimiter.admitRequest(rank); err != nil {
		return callers.GenerationResult{}, err
	}
	defer e.requestLimiter.endRequest()
	now := e.opts.Now()
	orgUsage, err := e.organisationLimits.acquire(req.Caller.Organisation, s.entryCount, len(req.Prompt), now)
	if err != nil {
		return callers.GenerationResult{}, err
	}
	defer orgUsage.release()
	g := &generation{
		entry:    e,
		req:      req,
		emit:     emit,
		usage:    orgUsage,
		layers:   int(model.GetModel().GetLayers()),
		version:  req.Version,
		rank:     rank,
		weight:   req.Caller.Organisation.GetOrganisation().GetWeight(),
		revision: s.view.Revision,
		stream:   session.NewStream(req.MaxTokens, e.opts.Settings.MaxRepairs),
		started:  now,
	}
	if g.version == "" {
		g.version = model.GetModel().GetVersion()
	}
	e.retryBudget.RecordRequest(now)
	return g.run(ctx)
}

// run makes attempts until the answer is complete or a failure is final.
func (g *generation) run(ctx context.Context) (callers.GenerationResult, error) {
	remaining := g.req.Deadline.Sub(g.entry.opts.Now())
	if remaining <= 0 {
		return callers.GenerationResult{}, deadlineError().WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadlineTimer := time.AfterFunc(remaining, func() { cancel(deadlineError()) })
	defer deadlineTimer.Stop()
	if err := g.selectFirstChain(); err != nil {
		return callers.GenerationResult{}, err
	}
	for {
		done, err := g.attempt(ctx, deadlineTimer)
		if err == nil {
			return g.answerSummary(done), nil
		}
		if err = g.handleFailure(ctx, fault.As(err)); err != nil {
			return callers.GenerationResult{}, g.withFinalOutcome(fault.As(err))
		}
		if g.hasAllTokens() {
			return g.answerSummary(nil), nil
		}
	}
}

func deadlineError() *fault.Error {
	return fault.New(fault.Deadline, "deadline passed before the answer")
}

// selectFirstChain selects the first chain and starts the stream.
func (g *generation) selectFirstChain() error {
	chain, err := g.selectChain(nil, "")
	if err != nil {
		return err
	}
	if g.version == "" {
		g.version = chainVersion(chain, g.req.Model)
	}
	g.chain = chain
	g.plan, err = g.stream.Start(chainHosts(chain))
	return err
}

// selectChain selects a chain from the latest snapshot. It does not require a
// confirmed configuration, because requests in progress continue without one.
func (g *generation) selectChain(exclude map[string]bool, avoid string) ([]route.Stage, error) {
	if g.prefixes == nil {
		g.prefixes = g.entry.opts.PrefixHashes(g.req.Model, g.version, g.req.Adapter, g.req.Prompt)
		g.parts = promptParts(g.prefixes)
	}
	if err := g.entry.promptGuard.check(g.entry.opts.Now(), g.parts); err != nil {
		return nil, err
	}
	return g.entry.selectAdmittedChain(g.entry.snapshot.Load(), g.requirements(exclude, avoid))
}

func (g *generation) requirements(exclude map[string]bool, avoid string) route.Requirements {
	return route.Requirements{
		Model:           g.req.Model,
		Version:         g.version,
		Adapter:         g.req.Adapter,
		Layers:          g.layers,
		Rank:            g.rank,
		PromptTokens:    len(g.req.Prompt) + len(g.stream.Emitted()),
		MaxTokens:       g.req.MaxTokens - len(g.stream.Emitted()),
		PromptPrefixes:  g.prefixes,
		DataCentre:      g.entry.opts.Settings.DataCentre,
		ExcludedHosts:   exclude,
		AvoidDataCentre: avoid,
	}
}

// hasTokens reports whether any token of the answer was received.
func (g *generation) hasTokens() bool { return len(g.stream.Emitted()) > 0 }

// hasAllTokens reports whether every token of the answer was received.
func (g *generation) hasAllTokens() bool {
	return g.stream.Complete() || len(g.stream.Emitted()) >= g.req.MaxTokens
}

// answerSummary returns the summary of a complete answer. The done message is
// nil if the connection was lost after the last token.
func (g *generation) answerSummary(done *wirepb.GenerateDone) callers.GenerationResult {
	n := len(g.stream.Emitted())
	s := callers.GenerationResult{
		FinishReason:     done.GetFinishReason(),
		PromptTokens:     len(g.req.Prompt),
		CachedTokens:     int(done.GetCachedTokens()),
		CompletionTokens: n,
	}
	if s.FinishReason == "" {
		s.FinishReason = finishStop
		if n >= g.req.MaxTokens {
			s.FinishReason = finishLength
		}
	}
	return s
}

// withFinalOutcome returns a copy of err with the outcome of the whole request.
// The outcome is NotRun only if every attempt is proved not to have run.
func (g *generation) withFinalOutcome(err *fault.Error) error {
	e := *err
	if g.mayHaveRun || g.hasTokens() || e.Outcome != fault.NotRun {
		e.Outcome = fault.MayHaveRun
	}
	e.Position = uint32(len(g.stream.Emitted()))
	return &e
}
