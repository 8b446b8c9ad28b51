package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// upstreamModel serves a scheduler in virtual time: each running request takes
// its prompt and its tokens at fixed speeds.
type upstreamModel struct {
	s        *Scheduler
	rng      *rand.Rand
	now      time.Time
	ends     heap[running]
	perToken time.Duration
	nextID   uint64
	used     map[uint64]int
	arrived  map[uint64]time.Time

	waits   [NumRanks][]time.Duration
	tokens  [NumRanks]int
	refused [NumRanks]int
	expired [NumRanks]int
	idle    float64 // slot-seconds without work

	// measured restricts waits to one stream of arrivals.
	measured arrivals
	of       map[uint64]arrivals
	slots    int

	preemptible bool // every request
	preemptions [NumRanks]int
}

type running struct {
	id  uint64
	end time.Time
}

func endsEarlier(a, b running) bool { return a.end.Before(b.end) }

// arrivals describes the Poisson arrivals of one rank.
type arrivals struct {
	rank          Rank
	perSecond     float64
	organisations int
	caller        string // prefix of the names of the organisations
	prompt, mean  int    // tokens; the generated tokens are exponential
	deadline      time.Duration
}

func newModel(cfg Config, seed uint64) *upstreamModel {
	return &upstreamModel{
		s:        New(cfg),
		ends:     heap[running]{less: endsEarlier, place: func(running, int) {}},
		slots:    cfg.Slots,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
		perToken: 20 * time.Millisecond,
		used:     map[uint64]int{},
		of:       map[uint64]arrivals{},
		arrived:  map[uint64]time.Time{},
	}
}

func (m *upstreamModel) run(d time.Duration, load []arrivals) {
	end := m.now.Add(d)
	next := make([]time.Time, len(load))
	for i := range load {
		next[i] = m.now.Add(m.gap(load[i]))
	}
	for {
		i, at := earliest(next)
		if m.ends.len() > 0 && m.ends.top().end.Before(at) {
			i, at = -1, m.ends.top().end
		}
		if at.After(end) {
			return
		}
		m.idle += at.Sub(m.now).Seconds() * float64(m.slots-m.ends.len())
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

func (m *upstreamModel) gap(a arrivals) time.Duration {
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

func (m *upstreamModel) arrive(a arrivals) {
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
	m.of[r.ID] = a
}

func (m *upstreamModel) finish() {
	r := m.ends.top()
	m.ends.remove(0)
	m.s.ReportUsage(r.id, m.used[r.id])
	m.s.Finish(m.now, r.id)
}

func (m *upstreamModel) dispatch() {
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
		if m.measured == (arrivals{}) || m.measured == m.of[r.ID] {
			m.waits[r.Rank] = append(m.waits[r.Rank], m.now.Sub(m.arrived[r.ID]))
		}
		m.tokens[r.Rank] += m.used[r.ID]
		took := time.Duration(m.used[r.ID]) * m.perToken
		m.ends.push(running{id: r.ID, end: m.now.Add(took)})
	}
}

// preempt ends one running request and queues the rest of it again. The replay
// takes no time.
func (m *upstreamModel) preempt() bool {
	r, ok := m.s.Preempt(m.now)
	if !ok {
		return false
	}
	i := slices.IndexFunc(m.ends.items, func(e running) bool { return e.id == r.ID })
	left := int(m.ends.items[i].end.Sub(m.now) / m.perToken)
	m.ends.remove(i)
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

func (m *upstreamModel) percentile(r Rank, part float64) time.Duration {
	w := m.waits[r]
	if len(w) == 0 {
		return 0
	}
	slices.Sort(w)
	return w[int(part*float64(len(w)-1))]
}
