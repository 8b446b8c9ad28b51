package load

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	ScheduledAt  time.Duration // from the start of the run
	Mix          *Mix
	Organisation string
	APIKey       string
	Seed         uint64 // of the model
	Prompt       []uint64
	MaxTokens    int
	Body         string
	Sequence     uint64 // number of the arrival in its mix
}

// plan draws the Poisson arrivals of one mix in order of time. The draws of a
// mix do not depend on the other mixes.
type plan struct {
	run    *Run
	mix    *Mix
	floods []*Flood
	peak   float64 // highest rate of the mix
	rng    *rand.Rand
	prefix []uint64
	at     time.Duration
	count  uint64
}

func newPlan(s *Scenario, m *Mix) *plan {
	name := fnv.New64a()
	_, _ = name.Write([]byte(m.Name))
	p := &plan{run: &s.Run, mix: m, rng: rand.New(rand.NewPCG(s.Run.Seed, name.Sum64()))}
	highest := 1.0
	for _, f := range s.Floods {
		if f.Mix == m.Name {
			p.floods = append(p.floods, f)
			highest *= max(f.Multiplier, 1)
		}
	}
	p.peak = m.Rate * highest
	for range m.SharedPrefix {
		p.prefix = append(p.prefix, p.rng.Uint64())
	}
	return p
}

// next returns the next arrival, or nil after the last one. Arrivals are drawn
// at the peak rate and thinned to the rate of their time.
func (p *plan) next() *Arrival {
	if p.peak <= 0 {
		return nil
	}
	for {
		p.at += time.Duration(p.rng.ExpFloat64() / p.peak * float64(time.Second))
		if p.at >= p.run.Duration {
			return nil
		}
		if p.rng.Float64()*p.peak < p.rate(p.at) {
			return p.draw()
		}
	}
}

func (p *plan) rate(at time.Duration) float64 {
	rate := p.mix.Rate
	for _, f := range p.floods {
		if at >= f.From && at < f.Until {
			rate *= f.Multiplier
		}
	}
	return rate
}

func (p *plan) draw() *Arrival {
	m := p.mix
	caller := strconv.Itoa(p.rng.IntN(m.Callers))
	p.count++
	a := &Arrival{
		ScheduledAt:  p.at,
		Mix:          m,
		Organisation: strings.ReplaceAll(m.OrganisationPattern, "{n}", caller),
		APIKey:       strings.ReplaceAll(m.APIKeyPattern, "{n}", caller),
		Sequence:     p.count,
	}
	if m.Kind == KindService {
		a.Body = p.body(m.BodyBytes)
		return a
	}
	a.Seed = p.rng.Uint64() >> 1 // seeds are signed in the API
	a.MaxTokens = p.length(m.OutputTokens)
	length := p.length(m.PromptTokens)
	a.Prompt = append(a.Prompt, p.prefix[:min(length, len(p.prefix))]...)
	for len(a.Prompt) < length {
		a.Prompt = append(a.Prompt, p.rng.Uint64())
	}
	return a
}

func (p *plan) length(mean int) int {
	if p.mix.Lengths == lengthFixed {
		return mean
	}
	return max(1, int(p.rng.ExpFloat64()*float64(mean)+0.5))
}

const bodyLetters = "abcdefghijklmnopqrstuvwxyz0123456789"

func (p *plan) body(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = bodyLetters[p.rng.IntN(len(bodyLetters))]
	}
	return string(b)
}

// schedule merges the plans of all mixes in order of time.
type schedule struct {
	plans []*plan
	heads []*Arrival
}

func newSchedule(s *Scenario) *schedule {
	q := &schedule{}
	for _, m := range s.Mixes {
		p := newPlan(s, m)
		if a := p.next(); a != nil {
			q.plans = append(q.plans, p)
			q.heads = append(q.heads, a)
		}
	}
	return q
}

// next returns the earliest arrival that is left, or nil.
func (q *schedule) next() *Arrival {
	best := -1
	for i, a := range q.heads {
		if a != nil && (best < 0 || a.ScheduledAt < q.heads[best].ScheduledAt) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	a := q.heads[best]
	q.heads[best] = q.plans[best].next()
	return a
}
