package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Finish reasons of OpenAI's API.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// repairPoll is the interval at which a broken stream looks for a chain.
const repairPoll = 50 * time.Millisecond

// generation is one chat request across its attempts.
type generation struct {
	entry   *Entry
	req     *callers.GenerationRequest
	emit    func(uint32) error
	usage   *usage
	layers  int
	version string // fixed by the first chain, so that a repair cannot change tokens
	rank    sched.Rank
	weight  uint32
	rev     uint64

	stream   *session.Stream
	chain    []route.Stage
	plan     session.Plan
	prefixes []uint64

	started   time.Time
	lastToken time.Time
	ran       bool // an attempt failed without proof that it did not run

	preemptions int
	requeued    bool // the attempt follows a preemption
	emitErr     error
}

// Generate implements callers.Router.
func (e *Entry) Generate(ctx context.Context, req *callers.GenerationRequest, emit func(uint32) error) (callers.GenerationResult, error) {
	s, err := e.current()
	if err != nil {
		return callers.GenerationResult{}, err
	}
	model, ok := s.view.Models[req.Model]
	if !ok {
		return callers.GenerationResult{}, fault.New(fault.NotFound, "model %q does not exist", req.Model).WithField("model").WithOutcome(fault.NotRun)
	}
	rank, _ := schedRank(req.Rank)
	if err := e.gate.enter(rank); err != nil {
		return callers.GenerationResult{}, err
	}
	defer e.gate.leave()
	now := e.opts.Now()
	use, err := e.limits.acquire(req.Caller.Organisation, s.view.LiveEntries, len(req.Prompt), now)
	if err != nil {
		return callers.GenerationResult{}, err
	}
	defer use.release()
	g := &generation{
		entry:   e,
		req:     req,
		emit:    emit,
		usage:   use,
		layers:  int(model.GetModel().GetLayers()),
		version: req.Version,
		rank:    rank,
		weight:  req.Caller.Organisation.GetOrganisation().GetWeight(),
		rev:     s.view.Revision,
		stream:  session.NewStream(req.MaxTokens, e.opts.Settings.MaxRepairs),
		started: now,
	}
	if g.version == "" {
		g.version = model.GetModel().GetVersion()
	}
	e.budget.RecordRequest(now)
	return g.run(ctx)
}

// run makes attempts until one is complete.
func (g *generation) run(ctx context.Context) (callers.GenerationResult, error) {
	left := g.req.Deadline.Sub(g.entry.opts.Now())
	if left <= 0 {
		return callers.GenerationResult{}, deadlinePassed().WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := time.AfterFunc(left, func() { cancel(deadlinePassed()) })
	defer limit.Stop()
	if err := g.begin(); err != nil {
		return callers.GenerationResult{}, err
	}
	for {
		done, err := g.attempt(ctx, limit)
		if err == nil {
			return g.complete(done), nil
		}
		if err = g.recover(ctx, fault.As(err)); err != nil {
			return callers.GenerationResult{}, g.settle(fault.As(err))
		}
		if g.whole() {
			return g.complete(nil), nil
		}
	}
}

func deadlinePassed() *fault.Error {
	return fault.New(fault.Deadline, "deadline passed before the answer")
}

// begin chooses the first chain.
func (g *generation) begin() error {
	chain, err := g.choose(nil, "")
	if err != nil {
		return err
	}
	if g.version == "" {
		g.version = versionOf(chain, g.req.Model)
	}
	g.chain = chain
	g.plan, err = g.stream.Start(hostsOf(chain))
	return err
}

// choose reads the newest snapshot, also during a repair: work in progress
// goes on when the configuration is not confirmed.
func (g *generation) choose(exclude map[string]bool, avoid string) ([]route.Stage, error) {
	if g.prefixes == nil {
		g.prefixes = g.entry.opts.PrefixHashes(g.req.Model, g.version, g.req.Adapter, g.req.Prompt)
	}
	return g.entry.chooseChain(g.entry.snapshot.Load(), g.need(exclude, avoid))
}

func (g *generation) need(exclude map[string]bool, avoid string) route.Requirements {
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

// begun reports whether the caller has received a token.
func (g *generation) begun() bool { return len(g.stream.Emitted()) > 0 }

// whole reports whether every token of the answer was received.
func (g *generation) whole() bool {
	return g.stream.Complete() || len(g.stream.Emitted()) >= g.req.MaxTokens
}

// complete describes the answer. Done is nil if the connection was lost after
// the last token.
func (g *generation) complete(done *wirepb.GenerateDone) callers.GenerationResult {
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

// settle sets the outcome of a request that failed. It was not run only if
// every attempt is proved not to have run.
func (g *generation) settle(err *fault.Error) error {
	e := *err
	if g.ran || g.begun() || e.Outcome != fault.NotRun {
		e.Outcome = fault.MayHaveRun
	}
	e.Position = uint32(len(g.stream.Emitted()))
	return &e
}
