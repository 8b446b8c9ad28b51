package session

import (
	"maps"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// DefaultMaxRepairs bounds the repairs of one stream.
const DefaultMaxRepairs = 4

// Plan describes the next attempt of a stream.
type Plan struct {
	Epoch     uint64
	Emitted   []uint32        // tokens already sent to the caller, to be replayed
	Exclude   map[string]bool // hosts that failed this stream
	MaxTokens int             // tokens still to be generated
}

// Stream assembles the answer of one request at the entry across attempts.
type Stream struct {
	guard      PositionGuard
	chain      []string
	emitted    []uint32
	excluded   map[string]bool
	maxTokens  int
	maxRepairs int
	repairs    int
	complete   bool
}

// NewStream returns a stream that generates at most maxTokens tokens and is
// repaired at most maxRepairs times. Negative bounds count as zero.
func NewStream(maxTokens, maxRepairs int) *Stream {
	return &Stream{
		excluded:   make(map[string]bool),
		maxTokens:  max(maxTokens, 0),
		maxRepairs: max(maxRepairs, 0),
	}
}

// Start begins the first attempt on the given hosts, in chain order.
func (s *Stream) Start(chain []string) (Plan, error) {
	if s.guard.Epoch() != 0 {
		return Plan{}, fault.New(fault.Internal, "stream was already started")
	}
	if err := s.setChain(chain); err != nil {
		return Plan{}, err
	}
	if err := s.guard.Open(1, 0); err != nil {
		return Plan{}, err
	}
	return s.plan(), nil
}

// Accept takes the next token. An error means that the token must not reach
// the caller: it belongs to an older attempt, or the order is broken.
func (s *Stream) Accept(epoch uint64, position, token uint32, last bool) error {
	if s.complete {
		return fault.New(fault.OutOfOrder, "token after the last one").WithField("position")
	}
	if err := s.guard.Step(epoch, position, 1); err != nil {
		return err
	}
	s.emitted = append(s.emitted, token)
	s.complete = last || len(s.emitted) == s.maxTokens
	return nil
}

// Fail decides what follows after the attempt of the given epoch failed.
// Stage is the index of the failed stage in the chain, or fault.NoStage when
// the connection to the head was lost. The epoch rises at once, so that a late
// token of the failed attempt is refused. The caller selects a chain without
// the excluded hosts and passes it to Resume.
func (s *Stream) Fail(epoch uint64, stage int) (Plan, error) {
	if epoch != s.guard.Epoch() {
		return Plan{}, stale(epoch, s.guard.Epoch())
	}
	if s.complete {
		return Plan{}, fault.New(fault.Internal, "stream is complete").WithOutcome(fault.Answered)
	}
	s.exclude(stage)
	if s.repairs >= s.maxRepairs {
		return Plan{}, s.exhausted()
	}
	s.repairs++
	if err := s.guard.Open(epoch+1, uint32(len(s.emitted))); err != nil {
		return Plan{}, err
	}
	return s.plan(), nil
}

// Preempt raises the epoch after the attempt of the given epoch lost its slot
// to other work. No host is at fault, so none is excluded and no repair is used
// up. Agents bound how often this happens.
func (s *Stream) Preempt(epoch uint64) (Plan, error) {
	if epoch != s.guard.Epoch() {
		return Plan{}, stale(epoch, s.guard.Epoch())
	}
	if s.complete {
		return Plan{}, fault.New(fault.Internal, "stream is complete").WithOutcome(fault.Answered)
	}
	if err := s.guard.Open(epoch+1, uint32(len(s.emitted))); err != nil {
		return Plan{}, err
	}
	return s.plan(), nil
}

// Resume sets the chain of the next attempt.
func (s *Stream) Resume(p Plan, chain []string) error { return s.ReplaceChain(p.Epoch, chain) }

// ReplaceChain sets the chain of the attempt in progress, before its first token,
// when later stages were chosen anew.
func (s *Stream) ReplaceChain(epoch uint64, chain []string) error {
	if epoch != s.guard.Epoch() {
		return stale(epoch, s.guard.Epoch())
	}
	return s.setChain(chain)
}

// Emitted returns the tokens accepted so far. The caller must not change them.
func (s *Stream) Emitted() []uint32 { return s.emitted }

// Complete reports whether the last token was accepted. An answer that is not
// complete must never be presented as one.
func (s *Stream) Complete() bool { return s.complete }

// Repairs returns the number of repairs begun.
func (s *Stream) Repairs() int { return s.repairs }

func (s *Stream) setChain(chain []string) error {
	if len(chain) == 0 {
		return fault.New(fault.Invalid, "chain is empty").WithField("chain")
	}
	for _, host := range chain {
		if s.excluded[host] {
			return fault.New(fault.Invalid, "host %q is excluded", host).WithField("chain")
		}
	}
	s.chain = slices.Clone(chain)
	return nil
}

// exclude adds the host of the failed stage; the head when none is named.
func (s *Stream) exclude(stage int) {
	if stage < 0 || stage >= len(s.chain) {
		stage = 0
	}
	s.excluded[s.chain[stage]] = true
}

func (s *Stream) plan() Plan {
	return Plan{
		Epoch:     s.guard.Epoch(),
		Emitted:   slices.Clone(s.emitted),
		Exclude:   maps.Clone(s.excluded),
		MaxTokens: s.maxTokens - len(s.emitted),
	}
}

func (s *Stream) exhausted() error {
	e := fault.New(fault.Upstream, "stream failed after %d repairs", s.repairs).
		WithOutcome(fault.MayHaveRun)
	e.Position = uint32(len(s.emitted))
	return e
}
