package sched

import (
	"math"
	"time"
)

// RankLoad is the load of one rank.
type RankLoad struct {
	Queued        int
	QueuedTokens  int64
	Running       int
	EstimatedWait time.Duration // for a new request of an organisation with nothing queued
}

// Load is the load of an upstream.
type Load struct {
	Slots, Running  int
	TokensPerSecond float64 // measured rate scaled to all slots; zero while unknown
	Ranks           [NumRanks]RankLoad
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	s.rate.accountUse(now, s.running)
	l := Load{
		Slots:           s.cfg.Slots,
		Running:         s.running,
		TokensPerSecond: s.rate.tokensPerSecond(s.cfg.Slots),
	}
	for r := range s.ranks {
		q := &s.ranks[r]
		newRequest := Request{Rank: Rank(r), Weight: 1, Cost: int(s.meanQueuedCost())}
		l.Ranks[r] = RankLoad{
			Queued:        q.queued,
			QueuedTokens:  q.queuedTokens,
			Running:       q.running,
			EstimatedWait: s.estimatedWait(now, &newRequest, 1),
		}
	}
	return l
}

// estimatedWait estimates the time until r would start, with the tokens queued ahead
// of it multiplied by margin. It returns zero while the service rate is unknown,
// so that no request is refused without a measurement.
func (s *Scheduler) estimatedWait(now time.Time, r *Request, margin float64) time.Duration {
	q := &s.ranks[r.Rank]
	if q.queued == 0 && s.slotAvailable(r.Rank, now) && s.moreUrgentQueuedTokens(r.Rank) == 0 {
		return 0
	}
	if s.unpromisedUpTo(r.Rank) < s.reclaimableSlots(r.Rank) {
		return preemptionTime
	}
	ahead := margin*s.tokensAhead(q, r) + s.rate.meanCost
	lessUrgentShares := 0.0
	for o := r.Rank + 1; o < NumRanks; o++ {
		if s.ranks[o].queued > 0 {
			lessUrgentShares += s.ranks[o].minShare
		}
	}
	// The rank is served at least at its minimum share. Once the more urgent
	// queues are empty, it is served at the full rate less the minimum shares of
	// less urgent ranks.
	tokens := math.Inf(1)
	if q.minShare > 0 {
		tokens = max((ahead-q.credit)/q.minShare, ahead)
	}
	if lessUrgentShares < 1 {
		tokens = min(tokens, (ahead+float64(s.moreUrgentQueuedTokens(r.Rank)))/(1-lessUrgentShares))
	}
	return s.rate.serviceTime(tokens, s.cfg.Slots)
}

// tokensAhead estimates the tokens of the rank that are served before r. By fair
// queueing, other organisations receive at most as much as the organisation of r
// in proportion to their weights.
func (s *Scheduler) tokensAhead(q *rankQueue, r *Request) float64 {
	own, weights := 0.0, q.weights
	f := q.flows[r.Organisation]
	if f != nil && f.queued > 0 {
		own = float64(f.queuedTokens)
	} else {
		weights += r.Weight
	}
	fair := (own+float64(r.Cost))*weights/r.Weight - float64(r.Cost)
	return min(float64(q.queuedTokens), fair)
}

func (s *Scheduler) moreUrgentQueuedTokens(r Rank) int64 {
	sum := int64(0)
	for o := Urgent; o < r; o++ {
		sum += s.ranks[o].queuedTokens
	}
	return sum
}

// unpromisedUpTo returns the number of queued requests of rank r and more urgent
// ranks that have not been promised the slot of a preempted request.
func (s *Scheduler) unpromisedUpTo(r Rank) int {
	sum := 0
	for o := Urgent; o <= r; o++ {
		sum += s.ranks[o].queued - s.promised[o]
	}
	return sum
}

// meanQueuedCost returns the mean cost of the queued requests, or of finished
// requests if none is queued.
func (s *Scheduler) meanQueuedCost() float64 {
	if s.queued == 0 {
		return s.rate.meanCost
	}
	sum := int64(0)
	for r := range s.ranks {
		sum += s.ranks[r].queuedTokens
	}
	return float64(sum) / float64(s.queued)
}

// rateMeter measures the tokens that one busy slot serves per second. Both sums
// decay with the same time constant, so their ratio follows a change of the
// engine's speed within a few seconds.
type rateMeter struct {
	tokens, slotSeconds float64
	last                time.Time
	meanCost            float64
}

const (
	rateDecayTime = 5 * time.Second
	// minSlotSeconds is the busy time below which the rate is unknown.
	minSlotSeconds = 0.01
	maxWait        = time.Hour
)

// accountUse decays the sums and adds the busy time of the running slots since the
// last call.
func (m *rateMeter) accountUse(now time.Time, running int) {
	dt := now.Sub(m.last).Seconds()
	if m.last.IsZero() || dt <= 0 {
		if m.last.IsZero() {
			m.last = now
		}
		return
	}
	m.last = now
	if running == 0 {
		return // an idle upstream keeps its last measured rate
	}
	decay := math.Exp(-dt / rateDecayTime.Seconds())
	m.tokens *= decay
	m.slotSeconds = m.slotSeconds*decay + float64(running)*dt
}

func (m *rateMeter) add(tokens int) { m.tokens += float64(tokens) }

// meanCostSmoothing is the weight of the newest request in the moving average of
// the cost.
const meanCostSmoothing = 0.1

func (m *rateMeter) recordFinished(tokens int) {
	if m.meanCost == 0 {
		m.meanCost = float64(tokens)
		return
	}
	m.meanCost += meanCostSmoothing * (float64(tokens) - m.meanCost)
}

func (m *rateMeter) tokensPerSecond(slots int) float64 {
	if m.slotSeconds < minSlotSeconds {
		return 0
	}
	return m.tokens / m.slotSeconds * float64(slots)
}

// serviceTime estimates the time in which the upstream serves tokens, up to maxWait.
func (m *rateMeter) serviceTime(tokens float64, slots int) time.Duration {
	if slots == 0 {
		return maxWait
	}
	rate := m.tokensPerSecond(slots)
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}
