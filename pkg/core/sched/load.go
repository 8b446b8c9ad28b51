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
	EstimatedWait time.Duration // estimated wait of a new request of a new organisation
}

// Load is the load of the upstream.
type Load struct {
	Slots, Running  int
	TokensPerSecond float64 // measured, extrapolated to all slots; zero while unknown
	Ranks           [NumRanks]RankLoad
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	s.rate.advance(now, s.running)
	l := Load{
		Slots:           s.cfg.Slots,
		Running:         s.running,
		TokensPerSecond: s.rate.perSecond(s.cfg.Slots),
	}
	for r := range s.ranks {
		q := &s.ranks[r]
		probe := Request{Rank: Rank(r), Weight: 1, Cost: int(s.meanQueuedCost())}
		l.Ranks[r] = RankLoad{
			Queued:        q.queued,
			QueuedTokens:  q.queuedTokens,
			Running:       q.running,
			EstimatedWait: s.wait(now, &probe, 1),
		}
	}
	return l
}

// wait estimates the time until r would start, with the tokens queued ahead of
// it multiplied by margin. It is zero while the service rate is unknown, so
// that nothing is refused without a measurement.
func (s *Scheduler) wait(now time.Time, r *Request, margin float64) time.Duration {
	q := &s.ranks[r.Rank]
	if q.queued == 0 && s.slotFor(r.Rank, now) && s.queuedAbove(r.Rank) == 0 {
		return 0
	}
	if s.queuedUpTo(r.Rank) < s.reclaimable(r.Rank) {
		return preemptionTime
	}
	ahead := margin*s.tokensAhead(q, r) + s.rate.meanCost
	lower := 0.0
	for o := r.Rank + 1; o < NumRanks; o++ {
		if s.ranks[o].queued > 0 {
			lower += s.ranks[o].share
		}
	}
	// The rank is served at least at its minimum share, and at the full rate
	// less the minima of lower ranks once the more urgent queues are empty.
	tokens := math.Inf(1)
	if q.share > 0 {
		tokens = max((ahead-q.credit)/q.share, ahead)
	}
	if lower < 1 {
		tokens = min(tokens, (ahead+float64(s.queuedAbove(r.Rank)))/(1-lower))
	}
	return s.rate.duration(tokens, s.cfg.Slots)
}

// tokensAhead estimates the tokens of the rank that are served before r. Fair
// queueing serves other organisations only as much as the organisation of r
// receives, scaled by weight.
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

func (s *Scheduler) queuedAbove(r Rank) int64 {
	sum := int64(0)
	for o := Urgent; o < r; o++ {
		sum += s.ranks[o].queuedTokens
	}
	return sum
}

// queuedUpTo counts the queued requests of rank r and of those above it.
func (s *Scheduler) queuedUpTo(r Rank) int {
	sum := 0
	for o := Urgent; o <= r; o++ {
		sum += s.ranks[o].queued - s.promised[o]
	}
	return sum
}

// meanQueuedCost is the mean cost of queued requests, or of finished ones
// while none is queued.
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

// rateMeter measures the tokens that one slot serves per second of use. Both
// sums decay with the same time constant, so their ratio follows a change of
// the engine's speed within a few seconds.
type rateMeter struct {
	tokens, slotSeconds float64
	last                time.Time
	meanCost            float64
}

const (
	rateDecay = 5 * time.Second
	// minSlotSeconds is the use below which the rate counts as unknown.
	minSlotSeconds = 0.01
	maxWait        = time.Hour
)

// advance accounts the use of running slots since the last call.
func (m *rateMeter) advance(now time.Time, running int) {
	dt := now.Sub(m.last).Seconds()
	if m.last.IsZero() || dt <= 0 {
		if m.last.IsZero() {
			m.last = now
		}
		return
	}
	m.last = now
	if running == 0 {
		return // an idle upstream keeps its last measurement
	}
	decay := math.Exp(-dt / rateDecay.Seconds())
	m.tokens *= decay
	m.slotSeconds = m.slotSeconds*decay + float64(running)*dt
}

func (m *rateMeter) add(tokens int) { m.tokens += float64(tokens) }

// meanCostPart is the weight of the newest request in the mean cost.
const meanCostPart = 0.1

func (m *rateMeter) finished(tokens int) {
	if m.meanCost == 0 {
		m.meanCost = float64(tokens)
		return
	}
	m.meanCost += meanCostPart * (float64(tokens) - m.meanCost)
}

func (m *rateMeter) perSecond(slots int) float64 {
	if m.slotSeconds < minSlotSeconds {
		return 0
	}
	return m.tokens / m.slotSeconds * float64(slots)
}

// duration returns the time that the upstream needs to serve tokens.
func (m *rateMeter) duration(tokens float64, slots int) time.Duration {
	if slots == 0 {
		return maxWait
	}
	rate := m.perSecond(slots)
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}
