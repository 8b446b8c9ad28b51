package load

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Arrival is a request that is scheduled to be sent.
type Arrival struct {
	ScheduledAt  time.Duration // relative to the start of the run
	Mix          *Mix
	Organisation string
	APIKey       string
	Seed         uint64 // sampling seed sent to the model
	Prompt       []uint64
	MaxTokens    int
	Body         string
	Sequence     uint64 // 1-based index of the arrival within its mix
}

// arrivalGenerator generates the arrivals of one mix as a Poisson process, in
// order of time. Each mix has its own random source, so its arrivals do not
// depend on the other mixes.
type arrivalGenerator struct {
	run      *Run
	mix      *Mix
	floods   []*Flood
	peakRate float64 // upper bound of the rate of the mix, in requests per second
	rng      *rand.Rand
	prefix   []uint64
	at       time.Duration
	count    uint64
}

func newArrivalGenerator(s *Scenario, m *Mix) *arrivalGenerator {
	name := fnv.New64a()
	_, _ = name.Write([]byte(m.Name))
	g := &arrivalGenerator{run: &s.Run, mix: m, rng: rand.New(rand.NewPCG(s.Run.Seed, name.Sum64()))}
	maxMultiplier := 1.0
	for _, f := range s.Floods {
		if f.Mix == m.Name {
			g.floods = append(g.floods, f)
			maxMultiplier *= max(f.Multiplier, 1)
		}
	}
	g.peakRate = m.Rate * maxMultiplier
	for range m.SharedPrefix {
		g.prefix = append(g.prefix, g.rng.Uint64())
	}
	return g
}

// next returns the next arrival, or nil after the last one. It generates
// candidates at the peak rate and accepts each with the probability of the
// current rate over the peak rate (thinning).
func (g *arrivalGenerator) next() *Arrival {
	if g.peakRate <= 0 {
		return nil
	}
	for {
		g.at += time.Duration(g.rng.ExpFloat64() / g.peakRate * float64(time.Second))
		if g.at >= g.run.Duration {
			return nil
		}
		if g.rng.Float64()*g.peakRate < g.rate(g.at) {
			return g.newArrival()
		}
	}
}

func (g *arrivalGenerator) rate(at time.Duration) float64 {
	rate := g.mix.Rate
	for _, f := range g.floods {
		if at >= f.From && at < f.Until {
			rate *= f.Multiplier
		}
	}
	return rate
}

func (g *arrivalGenerator) newArrival() *Arrival {
	m := g.mix
	caller := strconv.Itoa(g.rng.IntN(m.Callers))
	g.count++
	a := &Arrival{
		ScheduledAt:  g.at,
		Mix:          m,
		Organisation: strings.ReplaceAll(m.OrganisationPattern, "{n}", caller),
		APIKey:       strings.ReplaceAll(m.APIKeyPattern, "{n}", caller),
		Sequence:     g.count,
	}
	if m.Kind == KindService {
		a.Body = g.randomBody(m.BodyBytes)
		return a
	}
	a.Seed = g.rng.Uint64() >> 1 // the API encodes seeds as signed integers
	a.MaxTokens = g.sampleLength(m.OutputTokens)
	length := g.sampleLength(m.PromptTokens)
	a.Prompt = append(a.Prompt, g.prefix[:min(length, len(g.prefix))]...)
	for len(a.Prompt) < length {
		a.Prompt = append(a.Prompt, g.rng.Uint64())
	}
	return a
}

func (g *arrivalGenerator) sampleLength(mean int) int {
	if g.mix.Lengths == lengthFixed {
		return mean
	}
	return max(1, int(g.rng.ExpFloat64()*float64(mean)+0.5))
}

const bodyLetters = "abcdefghijklmnopqrstuvwxyz0123456789"

func (g *arrivalGenerator) randomBody(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = bodyLetters[g.rng.IntN(len(bodyLetters))]
	}
	return string(b)
}

// schedule merges the arrivals of all mixes in order of time.
type schedule struct {
	generators   []*arrivalGenerator
	nextArrivals []*Arrival
}

func newSchedule(s *Scenario) *schedule {
	q := &schedule{}
	for _, m := range s.Mixes {
		g := newArrivalGenerator(s, m)
		if a := g.next(); a != nil {
			q.generators = append(q.generators, g)
			q.nextArrivals = append(q.nextArrivals, a)
		}
	}
	return q
}

// next returns the earliest remaining arrival, or nil if there is none.
func (q *schedule) next() *Arrival {
	best := -1
	for i, a := range q.nextArrivals {
		if a != nil && (best < 0 || a.ScheduledAt < q.nextArrivals[best].ScheduledAt) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	a := q.nextArrivals[best]
	q.nextArrivals[best] = q.generators[best].next()
	return a
}
