package entry

import (
	"sync/atomic"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// rankCapacityPercent is the percentage of maxRequests up to which requests of a
// rank are admitted, counting the requests of all ranks. A burst of less urgent
// requests thus leaves capacity for more urgent ones.
var rankCapacityPercent = [sched.NumRanks]int64{sched.Urgent: 100, sched.Standard: 80, sched.Batch: 60}

// requestLimiter bounds the number of requests in progress and thereby the
// memory of the entry.
type requestLimiter struct {
	maxRequests int64
	inProgress  atomic.Int64
}

func newRequestLimiter(maxRequests int) *requestLimiter {
	return &requestLimiter{maxRequests: int64(maxRequests)}
}

// admitRequest admits a request or returns an Overloaded error. After an
// admission, the caller must call endRequest when the request has ended.
func (l *requestLimiter) admitRequest(rank sched.Rank) error {
	if l.inProgress.Add(1) <= l.maxRequests*rankCapacityPercent[rank]/100 {
		return nil
	}
	l.endRequest()
	return fault.New(fault.Overloaded, "entry has too many requests in progress").
		WithOutcome(fault.NotRun).WithRetryAfter(overloadRetryAfter)
}

func (l *requestLimiter) endRequest() { l.inProgress.Add(-1) }
