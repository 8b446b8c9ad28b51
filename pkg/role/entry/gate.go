package entry

import (
	"sync/atomic"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// rankPercent is the part of the gate that a rank may fill together with the
// ranks above it, so that a flood of less urgent work leaves room at the entry.
var rankPercent = [sched.NumRanks]int64{sched.Urgent: 100, sched.Standard: 80, sched.Batch: 60}

// gate bounds the requests in progress, and with them the memory of the entry.
type gate struct {
	max        int64
	inProgress atomic.Int64
}

func newGate(max int) *gate { return &gate{max: int64(max)} }

// enter admits a request, which calls leave when it has ended.
func (g *gate) enter(rank sched.Rank) error {
	if g.inProgress.Add(1) <= g.max*rankPercent[rank]/100 {
		return nil
	}
	g.leave()
	return fault.New(fault.Overloaded, "entry has too many requests in progress").
		WithOutcome(fault.NotRun).WithRetryAfter(busyRetryAfter)
}

func (g *gate) leave() { g.inProgress.Add(-1) }
