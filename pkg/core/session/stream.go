package session

import (
	"maps"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// DefaultMaxRepairs is the default limit on the repairs of one stream. A repair
// is a retry on other hosts that continues after the last emitted token.
const DefaultMaxRepairs = 4

// Plan describes an attempt of a stream that is about to begin.
type Plan struct {
	Epoch uint64
	// Emitted holds the tokens already sent to the caller. The attempt processes them
	// after the prompt and does not send them again.
	Emitted       []uint32
	ExcludedHosts map[string]bool // hosts that failed in an earlier attempt
	MaxTokens     int             // largest number of tokens still to be generated
}

// Stream assembles the generated tokens of one request at the entry, across
// the attempts that it takes. Each attempt has an epoch and runs on a chain: the
// hosts of the pipeline stages in order, the first of which is the head.
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

// NewStream returns a stream of at most maxTokens tokens that is repaired at
// most maxRepairs times. Negative limits count as zero.
func NewStream(maxTokens, maxRepairs int) *Stream {
	return &Stream{
		excluded:   make(map[string]bool),
		maxTokens:  max(maxTokens, 0),
		maxRepairs: max(maxRepairs, 0),
	}
}

// Start begins the first attempt, with epoch 1, on the given chain.
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

// Accept appends the next token; last marks the end of the generation. After an
// error the token must not be sent to the caller: it belongs to an earlier
// attempt, or its position is not the next one.
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

// Fail records that the attempt of the given epoch failed and returns the plan of
// the next one, or an error if no repair is left. Stage is the index of the
// failed stage in the chain, or fault.NoStage if the connection to the head was
// lost. The host of that stage, or the head, is excluded from later attempts. Fail
// opens the next epoch, so that late tokens of the failed attempt are refused. The
// caller then selects a chain without the excluded hosts and passes it to Resume.
func (s *Stream) Fail(epoch uint64, stage int) (Plan, error) {
	if epoch != s.guard.Epoch() {
		return Plan{}, staleEpoch(epoch, s.guard.Epoch())
	}
	if s.complete {
		return Plan{}, fault.New(fault.Internal, "stream is complete").WithOutcome(fault.Answered)
	}
	s.exclude(stage)
	if s.repairs >= s.maxRepairs {
		return Plan{}, s.repairsExhausted()
	}
	s.repairs++
	if err := s.guard.Open(epoch+1, uint32(len(s.emitted))); err != nil {
		return Plan{}, err
	}
	return s.plan(), nil
}

// Preempt records that the attempt of the given epoch lost its slot to other
// work, and returns the plan of the next one. No host failed, so none is excluded
// and the attempt does not count as a repair. The agents limit how often a stream
// is preempted.
func (s *Stream) Preempt(epoch uint64) (Plan, error) {
	if epoch != s.guard.Epoch() {
		return Plan{}, staleEpoch(epoch, s.guard.Epoch())
	}
	if s.complete {
		return Plan{}, fault.New(fault.Internal, "stream is complete").WithOutcome(fault.Answered)
	}
	if err := s.guard.Open(epoch+1, uint32(len(s.emitted))); err != nil {
		return Plan{}, err
	}
	return s.plan(), nil
}

// Resume sets the chain of the attempt that p describes. It fails if the chain
// is empty or contains an excluded host.
func (s *Stream) Resume(p Plan, chain []string) error { return s.ReplaceChain(p.Epoch, chain) }

// ReplaceChain sets the chain of the attempt in progress. It is called before
// the first token of the attempt, when other hosts were chosen for later stages.
func (s *Stream) ReplaceChain(epoch uint64, chain []string) error {
	if epoch != s.guard.Epoch() {
		return staleEpoch(epoch, s.guard.Epoch())
	}
	return s.setChain(chain)
}

// Emitted returns the tokens accepted so far. The caller must not modify them.
func (s *Stream) Emitted() []uint32 { return s.emitted }

// Complete reports whether the last token was accepted. An incomplete response
// must not be presented to the caller as a complete one.
func (s *Stream) Complete() bool { return s.complete }

// Repairs returns the number of repairs started.
func (s *Stream) Repairs() int { return s.repairs }

func (s *Stream) setChain(chain []string) error {
	if len(chain) == 0 {
		return fault.New(fault.Invalid, "chain is empty").WithField("chain")
	}
	for _, host := range chain {
		if s.excluded[host] {
			return fault.New(fault.Invalid, "host %q failed in an earlier attempt", host).WithField("chain")
		}
	}
	s.chain = slices.Clone(chain)
	return nil
}

// exclude excludes the host of the given stage from later attempts, or the head
// if the index is not in the chain.
func (s *Stream) exclude(stage int) {
	if stage < 0 || stage >= len(s.chain) {
		stage = 0
	}
	s.excluded[s.chain[stage]] = true
}

func (s *Stream) plan() Plan {
	return Plan{
		Epoch:         s.guard.Epoch(),
		Emitted:       slices.Clone(s.emitted),
		ExcludedHosts: maps.Clone(s.excluded),
		MaxTokens:     s.maxTokens - len(s.emitted),
	}
}

func (s *Stream) repairsExhausted() error {
	e := fault.New(fault.Upstream, "stream failed after %d repairs", s.repairs).
		WithOutcome(fault.MayHaveRun)
	e.Position = uint32(len(s.emitted))
	return e
}
