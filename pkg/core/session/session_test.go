package session

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// sessionModel is a reference model of one session in a registry. wantOpen and
// wantStep return the expected kind of error, or an empty one for success.
type sessionModel struct {
	epoch uint64
	next  uint32
	open  bool
}

func (s *sessionModel) wantOpen(epoch uint64) fault.Kind {
	if epoch <= s.epoch {
		return fault.StaleEpoch
	}
	return ""
}

func (s *sessionModel) wantStep(epoch uint64, position uint32) fault.Kind {
	switch {
	case s.epoch == 0 || (!s.open && epoch >= s.epoch):
		return fault.NotFound
	case epoch < s.epoch:
		return fault.StaleEpoch
	case epoch > s.epoch || position != s.next:
		return fault.OutOfOrder
	}
	return ""
}

// Guards against a position that runs twice, is skipped, or runs for a replaced
// epoch, under random sequences of opens, steps and closes.
func TestRegistry_EveryPositionRunsOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxOpen = 2
		now := time.Unix(0, 0)
		r := NewRegistry(maxOpen, time.Hour)
		model := map[string]*sessionModel{"a": {}, "b": {}, "c": {}}
		open := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "session")
			m := model[id]
			epoch := uint64(max(0, int(m.epoch)+rapid.IntRange(-1, 2).Draw(t, "epoch")))
			position := uint32(max(0, int(m.next)+rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "position")))
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				want := m.wantOpen(epoch)
				if !m.open && open >= maxOpen {
					want = fault.Overloaded
				}
				assert.Equal(t, fault.KindOf(r.Open(now, id, epoch, position)), want)
				if want == "" {
					if !m.open {
						open++
					}
					*m = sessionModel{epoch: epoch, next: position, open: true}
				}
			case 1:
				closes := m.open && epoch == m.epoch
				assert.Equal(t, r.Close(now, id, epoch), closes)
				if closes {
					m.open = false
					open--
				}
			default:
				count := rapid.Uint32Range(1, 3).Draw(t, "count")
				want := m.wantStep(epoch, position)
				err := r.Step(id, epoch, position, count)
				assert.Equal(t, fault.KindOf(err), want)
				if want == fault.OutOfOrder {
					assert.Equal(t, fault.As(err).Position, m.next)
				}
				if want == "" {
					m.next += count
				}
			}
		}
	})
}

// Guards against unbounded growth of the registry, and against a closed session
// that is removed before its retention time has passed although there is room.
func TestRegistry_EvictsClosedSessions(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRegistry(10, time.Minute)
	for i := range 1000 {
		id := fmt.Sprint(i)
		assert.NilError(t, r.Open(now, id, 1, 0))
		assert.Assert(t, r.Close(now, id, 1))
		assert.Assert(t, fault.Is(r.Open(now, id, 1, 0), fault.StaleEpoch))
		_, total := r.Len()
		assert.Assert(t, total <= 21)
	}
	assert.NilError(t, r.Open(now.Add(time.Minute), "new", 1, 0))
	open, total := r.Len()
	assert.Equal(t, open, 1)
	assert.Equal(t, total, 1)
}

// Guards against a token stream with a gap, a repeated token or a token of a
// replaced attempt, against an incomplete stream that is reported as complete,
// and against unlimited repairs. At random, stages fail, attempts are preempted
// and late tokens arrive.
func TestStream_TokensStayInOrderAcrossRepairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRepairs := rapid.IntRange(0, 3).Draw(t, "max repairs")
		length := rapid.IntRange(1, 12).Draw(t, "length")
		s := NewStream(length, maxRepairs)
		chain := []string{"h0", "h1"}
		plan, err := s.Start(chain)
		assert.NilError(t, err)
		failed := map[string]bool{}
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 6:
				if s.Complete() {
					break
				}
				repairs := s.Repairs()
				plan, err = s.Preempt(plan.Epoch)
				assert.NilError(t, err)
				assert.Equal(t, s.Repairs(), repairs)
				late := s.Accept(plan.Epoch-1, uint32(len(s.Emitted())), 999, false)
				assert.Assert(t, fault.Is(late, fault.StaleEpoch), "late token of the preempted attempt: %v", late)
				assert.NilError(t, s.Resume(plan, chain), "a host that did not fail was excluded")
			case 0:
				stage := rapid.IntRange(fault.NoStage, 1).Draw(t, "stage")
				if s.Complete() {
					_, err = s.Fail(plan.Epoch, stage)
					assert.Assert(t, err != nil)
					return
				}
				failed[chain[max(stage, 0)]] = true
				if plan, err = s.Fail(plan.Epoch, stage); err != nil {
					assert.Equal(t, s.Repairs(), maxRepairs)
					assert.Assert(t, !s.Complete())
					return
				}
				assert.DeepEqual(t, plan.ExcludedHosts, failed)
				assert.Equal(t, plan.MaxTokens, length-len(plan.Emitted))
				late := s.Accept(plan.Epoch-1, uint32(len(s.Emitted())), 999, false)
				assert.Assert(t, fault.Is(late, fault.StaleEpoch), "late token of the failed attempt: %v", late)
				assert.Assert(t, s.Resume(plan, chain) != nil, "a failed host was accepted again")
				chain = []string{fmt.Sprint("h", 2*plan.Epoch), fmt.Sprint("h", 2*plan.Epoch+1)}
				assert.NilError(t, s.Resume(plan, chain))
			case 1:
				epoch := uint64(rapid.IntRange(0, int(plan.Epoch)-1).Draw(t, "old epoch"))
				err := s.Accept(epoch, uint32(len(s.Emitted())), 999, false)
				assert.Assert(t, err != nil, "a token of a replaced attempt was accepted")
			case 2:
				offset := rapid.SampledFrom([]int{-1, 1}).Draw(t, "offset")
				if position := len(s.Emitted()) + offset; position >= 0 {
					assert.Assert(t, s.Accept(plan.Epoch, uint32(position), 999, false) != nil)
				}
			default:
				position := len(s.Emitted())
				err := s.Accept(plan.Epoch, uint32(position), uint32(100+position), false)
				assert.Equal(t, err == nil, position < length)
			}
			for i, token := range s.Emitted() {
				assert.Equal(t, token, uint32(100+i))
			}
			assert.Equal(t, s.Complete(), len(s.Emitted()) == length)
		}
	})
}
