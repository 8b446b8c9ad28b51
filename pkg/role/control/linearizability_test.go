package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/state"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const catalogueKey = "catalogue"

// call is the input of one recorded operation.
type call struct {
	key, action, attempt string
	base                 uint64
}

// outcome is the output of one recorded operation.
type outcome struct {
	status, attempt, answer string
	revision                uint64
}

const (
	outcomeUnknown = "may have run"
	outcomeNotRun  = "not run"
	outcomeOK      = "ok"
)

// linearState is the state of the catalogue or of one claimed key.
type linearState struct {
	revision                 uint64
	holder, answer, released string
}

func stepOperation(s, in, out any) []any {
	st, c, o := s.(linearState), in.(call), out.(outcome)
	if o.status == outcomeNotRun {
		return []any{st}
	}
	next, want := execute(st, c)
	if o.status == outcomeUnknown {
		return []any{st, next}
	}
	if want != o {
		return nil
	}
	return []any{next}
}

// execute is the sequential specification.
func execute(s linearState, c call) (linearState, outcome) {
	switch c.action {
	case "revision":
		return s, outcome{status: outcomeOK, revision: s.revision}
	case "change":
		if c.base != s.revision {
			return s, outcome{status: string(fault.Conflict)}
		}
		s.revision++
		return s, outcome{status: outcomeOK, revision: s.revision}
	case "claim":
		return executeClaim(s, c)
	case "resolve":
		if s.holder == c.attempt && s.answer == "" {
			s.answer = "by " + c.attempt
		}
	case "release":
		if !strings.Contains(s.released, "<"+c.attempt+">") {
			s.released += "<" + c.attempt + ">"
		}
		if s.holder == c.attempt && s.answer == "" {
			s.holder = ""
		}
	}
	return s, describeClaim(s)
}

func executeClaim(s linearState, c call) (linearState, outcome) {
	switch {
	case s.holder == "" && strings.Contains(s.released, "<"+c.attempt+">"):
		return s, outcome{status: state.ClaimAbsent}
	case s.holder == "", s.holder == c.attempt && s.answer == "":
		s.holder = c.attempt
		return s, outcome{status: state.ClaimWon, attempt: c.attempt}
	}
	return s, describeClaim(s)
}

func describeClaim(s linearState) outcome {
	switch {
	case s.holder == "":
		return outcome{status: state.ClaimAbsent}
	case s.answer == "":
		return outcome{status: state.ClaimPending, attempt: s.holder}
	}
	return outcome{status: state.ClaimAnswered, attempt: s.holder, answer: s.answer}
}

var linearModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{linearState{}} },
	Step: stepOperation,
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(call).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}).ToModel()

// recorder collects the history.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	begin   time.Time
}

func (r *recorder) do(worker int, c call, f func() (outcome, error)) {
	started := time.Since(r.begin).Nanoseconds()
	out, err := f()
	ended := time.Since(r.begin).Nanoseconds()
	if err != nil {
		out = outcomeOf(err)
	}
	if out.status == outcomeUnknown {
		ended = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: worker, Input: c, Call: started, Output: out, Return: ended})
}

func outcomeOf(err error) outcome {
	e := fault.As(err)
	switch {
	case e.Kind == fault.Conflict:
		return outcome{status: string(fault.Conflict)}
	case e.Outcome == fault.NotRun:
		return outcome{status: outcomeNotRun}
	}
	return outcome{status: outcomeUnknown}
}

// Guards against stale reads, lost or repeated changes and claims with two
// winners while replicas, among them the leader, are isolated or restarted.
func TestControl_IsLinearizableUnderPartitionsAndRestarts(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	c := startCluster(t, 3)
	rec := &recorder{begin: time.Now()}
	created := time.Now().UnixMilli()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(worker)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if m := c.replica(rng.IntN(3)); m != nil {
					runRandomOperation(rec, m, worker, n, rng, created)
				}
			}
		}()
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 8 {
		c.disruptReplica(rng)
	}
	close(stop)
	wg.Wait()
	unknown := 0
	for _, op := range rec.history {
		if op.Output.(outcome).status == outcomeUnknown {
			unknown++
		}
	}
	t.Logf("%d operations, %d with unknown outcome", len(rec.history), unknown)
	assert.Assert(t, len(rec.history) > 100)
	for _, part := range linearModel.Partition(rec.history) {
		result := porcupine.CheckOperationsTimeout(linearModel, part, time.Minute)
		if result == porcupine.Illegal {
			logHistory(t, part)
		}
		assert.Check(t, result == porcupine.Ok, "%s: %v", part[0].Input.(call).key, result)
	}
}

func logHistory(t *testing.T, part []porcupine.Operation) {
	t.Helper()
	for _, op := range part {
		t.Logf("%d: %v to %v: %+v -> %+v", op.ClientId, time.Duration(op.Call), time.Duration(op.Return), op.Input, op.Output)
	}
}

// disruptReplica isolates or stops a replica until the others have made
// progress, and then restores it. With probability 1/2 it selects the leader,
// otherwise any replica; with probability 1/2 the replica restarts.
func (c *cluster) disruptReplica(rng *rand.Rand) {
	disrupted := rng.IntN(3)
	if lead := c.leader(); lead >= 0 && rng.IntN(2) == 0 {
		disrupted = lead
	}
	restart := rng.IntN(2) == 0
	c.isolate(c.voters[disrupted].Id, !restart)
	if restart {
		c.stop(disrupted)
	}
	other := c.replicas[(disrupted+1)%3]
	at := other.node.Status().Commit
	c.waitUntil("commits without the replica", func() bool { return other.node.Status().Commit > at+60 })
	c.isolate(c.voters[disrupted].Id, false)
	if restart {
		c.start(disrupted, nil)
	}
	c.waitUntil("a leader", func() bool { return c.leader() >= 0 })
}

// runRandomOperation records one random operation on a replica.
func runRandomOperation(rec *recorder, m *Control, worker, n int, rng *rand.Rand, created int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	base := m.machine.Revision()
	switch rng.IntN(5) {
	case 0:
		rec.do(worker, call{key: catalogueKey, action: "revision"}, func() (outcome, error) {
			reply, err := m.Catalogue(ctx, &base)
			if err != nil {
				return outcome{}, err
			}
			return outcome{status: outcomeOK, revision: reply.Revision}, nil
		})
	case 1:
		rec.do(worker, call{key: catalogueKey, action: "change", base: base}, func() (outcome, error) {
			reply, err := m.Apply(ctx, "ann", changeRequest(base, fmt.Sprintf("%d-%d", worker, n), "o"))
			if err != nil {
				return outcome{}, err
			}
			return outcome{status: outcomeOK, revision: reply.Revision}, nil
		})
	default:
		runRandomClaim(ctx, rec, m, worker, n, rng, created)
	}
}

func runRandomClaim(ctx context.Context, rec *recorder, m *Control, worker, n int, rng *rand.Rand, created int64) {
	// Keys advance with n, so that each key gets a few concurrent operations.
	key := fmt.Sprintf("k%d", n/6+rng.IntN(2))
	attempt := fmt.Sprintf("w%d-%s-%d", worker, key, rng.IntN(2))
	req := claimOf(key, attempt)
	req.KeyCreatedUnixMs = created
	action := []string{"claim", "claim", "resolve", "release", "read"}[rng.IntN(5)]
	rec.do(worker, call{key: key, action: action, attempt: attempt}, func() (outcome, error) {
		reply, err := callClaim(ctx, m, action, req)
		if err != nil {
			return outcome{}, err
		}
		return outcome{status: reply.Status, attempt: reply.Attempt, answer: string(reply.GetResponse().GetBody())}, nil
	})
}

// callClaim sends each command once: a retried command may take effect after
// its call has returned, which the model cannot represent as one operation.
func callClaim(ctx context.Context, m *Control, action string, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	cmd := &wirepb.Command{}
	switch action {
	case "read":
		return m.readClaim(&wirepb.ClaimRead{Claim: req})
	case "claim":
		cmd.Body = &wirepb.Command_Claim{Claim: req}
	case "resolve":
		response := &wirepb.CallResponse{Body: []byte("by " + req.Attempt)}
		cmd.Body = &wirepb.Command_Resolve{Resolve: &wirepb.ClaimResolve{Claim: req, Response: response}}
	case "release":
		cmd.Body = &wirepb.Command_Release{Release: &wirepb.ClaimRelease{Claim: req}}
	}
	result, err := m.proposer.proposeOnce(ctx, "", cmd)
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}
