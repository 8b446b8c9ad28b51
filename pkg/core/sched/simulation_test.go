package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// simulatedUpstream runs the requests of a scheduler in virtual time. A request takes
// a fixed time for each prompt and generated token.
type simulatedUpstream struct {
	s           *Scheduler
	rng         *rand.Rand
	now         time.Time
	completions heap[running]
	perToken    time.Duration
	nextID      uint64
	used        map[uint64]int
	arrived     map[uint64]time.Time

	waits   [NumRanks][]time.Duration
	tokens  [NumRanks]int
	refused [NumRanks]int
	expired [NumRanks]int
	idle    float64 // idle slot-seconds

	// measured restricts waits to the requests of one arrival process; zero
	// includes all.
	measured  arrivals
	arrivalOf map[uint64]arrivals
	slots     int

	preemptible bool // of all requests
	preemptions [NumRanks]int
}

type running struct {
	id  uint64
	end time.Time
}

func endsEarlier(a, b running) bool { return a.end.Before(b.end) }

// arrivals describes a Poisson process of requests of one rank.
type arrivals struct {
	rank          Rank
	perSecond     float64
	organisations int
	caller        string // prefix of the organisations' names
	prompt, mean  int    // tokens; the number of generated tokens is exponential with this mean
	deadline      time.Duration
}

func newSimulatedUpstream(cfg Config, seed uint64) *simulatedUpstream {
	return &simulatedUpstream{
		s:           New(cfg),
		completions: heap[running]{less: endsEarlier, setIndex: func(running, int) {}},
		slots:       cfg.Slots,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		now:         time.Unix(1000, 0),
		perToken:    20 * time.Millisecond,
		used:        map[uint64]int{},
		arrivalOf:   map[uint64]arrivals{},
		arrived:     map[uint64]time.Time{},
	}
}

func (m *simulatedUpstream) run(d time.Duration, load []arrivals) {
	end := m.now.Add(d)
	next := make([]time.Time, len(load))
	for i := range load {
		next[i] = m.now.Add(m.gap(load[i]))
	}
	for {
		i, at := earliest(next)
		if m.completions.len() > 0 && m.completions.top().end.Before(at) {
			i, at = -1, m.completions.top().end
		}
		if at.After(end) {
			return
		}
		m.idle += at.Sub(m.now).Seconds() * float64(m.slots-m.completions.len())
		m.now = at
		if i < 0 {
			m.finish()
		} else {
			m.arrive(load[i])
			next[i] = m.now.Add(m.gap(load[i]))
		}
		m.dispatch()
	}
}

func (m *simulatedUpstream) gap(a arrivals) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / a.perSecond * float64(time.Second))
}

func earliest(at []time.Time) (int, time.Time) {
	best := 0
	for i := range at {
		if at[i].Before(at[best]) {
			best = i
		}
	}
	return best, at[best]
}

func (m *simulatedUpstream) arrive(a arrivals) {
	m.nextID++
	generated := 1 + int(m.rng.ExpFloat64()*float64(a.mean))
	r := Request{
		ID:           m.nextID,
		Rank:         a.rank,
		Organisation: a.caller + string(rune('a'+m.rng.IntN(a.organisations))),
		Cost:         a.prompt + a.mean,
	}
	if a.deadline > 0 {
		r.Deadline = m.now.Add(a.deadline)
	}
	r.Preemptible = m.preemptible
	if err := m.s.Submit(m.now, r); err != nil {
		if fault.Is(err, fault.Deadline) {
			m.refused[a.rank]++
		}
		return
	}
	m.used[r.ID] = a.prompt + generated
	m.arrived[r.ID] = m.now
	m.arrivalOf[r.ID] = a
}

func (m *simulatedUpstream) finish() {
	r := m.completions.top()
	m.completions.remove(0)
	m.s.ReportUsage(r.id, m.used[r.id])
	m.s.Finish(m.now, r.id)
}

func (m *simulatedUpstream) dispatch() {
	for {
		r, ok := m.s.Next(m.now)
		for _, e := range m.s.Expire(m.now) {
			m.expired[e.Rank]++
		}
		if !ok && m.preempt() {
			continue
		}
		if !ok {
			return
		}
		if m.measured == (arrivals{}) || m.measured == m.arrivalOf[r.ID] {
			m.waits[r.Rank] = append(m.waits[r.Rank], m.now.Sub(m.arrived[r.ID]))
		}
		m.tokens[r.Rank] += m.used[r.ID]
		took := time.Duration(m.used[r.ID]) * m.perToken
		m.completions.push(running{id: r.ID, end: m.now.Add(took)})
	}
}

// preempt ends one running request and submits its remaining tokens again. The
// replay of earlier tokens takes no time.
func (m *simulatedUpstream) preempt() bool {
	r, ok := m.s.Preempt(m.now)
	if !ok {
		return false
	}
	i := slices.IndexFunc(m.completions.items, func(e running) bool { return e.id == r.ID })
	left := int(m.completions.items[i].end.Sub(m.now) / m.perToken)
	m.completions.remove(i)
	m.s.ReportUsage(r.ID, max(m.used[r.ID]-left, 1))
	m.s.Finish(m.now, r.ID)
	m.tokens[r.Rank] -= left
	m.preemptions[r.Rank]++
	m.used[r.ID] = left
	r.Preemptions++
	r.Cost = max(left, 1)
	r.Deadline = time.Time{}
	return m.s.Submit(m.now, r) == nil
}

func (m *simulatedUpstream) percentile(r Rank, part float64) time.Duration {
	w := m.waits[r]
	if len(w) == 0 {
		return 0
	}
	slices.Sort(w)
	return w[int(part*float64(len(w)-1))]
}
