package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency bounds the histograms; longer latencies count as this.
	maxLatency = time.Hour
	// histogramDigits keeps the histograms of many organisations small.
	histogramDigits = 2
)

// Scopes of a group of results.
const (
	scopeTotal        = "total"
	scopeRank         = "rank"
	scopeOrganisation = "organisation"
	scopeMix          = "mix"
)

// Group holds the figures of the requests that share a scope and name.
// Requests that arrived during the warm-up are left out, except from Served
// and Received: what is served after the arrivals have ended, out of queues
// that are still full, says nothing about the rate under load.
type Group struct {
	Scope, Name    string
	Offered        int
	Outcomes       [outcomes]int
	OfferedTokens  int // prompt plus requested
	Served         int // answers completed after the warm-up and before the end
	ReceivedTokens int // tokens received after the warm-up and before the end
	CodeCounts     map[string]int
	// FirstLatency holds the time from the planned arrival to the first token of
	// chat requests and to the answer of service calls, in microseconds.
	FirstLatency      *hdrhistogram.Histogram
	InterTokenLatency *hdrhistogram.Histogram // between tokens, in microseconds
}

// Report holds the figures of a run.
type Report struct {
	mu           sync.Mutex
	scenario     *Scenario
	groups       map[[2]string]*Group
	seconds      map[int]*SecondCounts
	models       map[string]*offer
	services     map[string]*offer
	MaxSendDelay time.Duration // largest delay of a send after its planned time
	Resends      int
}

// offer sums the requests of one model or service.
type offer struct {
	requests, served       int
	prompt, output, layers int
}

// SecondCounts counts the requests that arrived in one second of the run.
type SecondCounts struct {
	Second   int
	Rank     string
	Offered  int
	Outcomes [outcomes]int
}

func newReport(s *Scenario) *Report {
	return &Report{
		scenario: s,
		groups:   make(map[[2]string]*Group),
		seconds:  make(map[int]*SecondCounts),
		models:   make(map[string]*offer),
		services: make(map[string]*offer),
	}
}

// add records the end of a request.
func (p *Report) add(r *Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.second(r)
	p.offer(r)
	m := r.Arrival.Mix
	names := [...][2]string{
		{scopeTotal, "all"}, {scopeRank, m.Rank}, {scopeMix, m.Name}, {scopeOrganisation, r.Arrival.Organisation},
	}
	for _, name := range names {
		g := p.group(name[0], name[1])
		g.serve(r, &p.scenario.Run)
		if p.counts(r) {
			g.add(r)
		}
	}
	if p.counts(r) {
		p.MaxSendDelay = max(p.MaxSendDelay, r.SendDelay)
		p.Resends += r.Resends
	}
}

// counts reports whether r arrived after the warm-up.
func (p *Report) counts(r *Result) bool { return r.Arrival.ScheduledAt >= p.scenario.Run.WarmUp }

// covers reports whether at lies after the warm-up and before the end.
func (run *Run) covers(at time.Duration) bool { return at >= run.WarmUp && at < run.Duration }

func (p *Report) offer(r *Result) {
	m := r.Arrival.Mix
	offers, name := p.models, m.Model
	if m.Kind == KindService {
		offers, name = p.services, m.Service
	}
	o := offers[name]
	if o == nil {
		o = &offer{layers: m.Layers}
		offers[name] = o
	}
	if r.Outcome == Answered && p.scenario.Run.covers(r.EndedAt) {
		o.served++
	}
	if p.counts(r) {
		o.requests++
		o.prompt += r.Arrival.promptTokens()
		o.output += r.Arrival.MaxTokens
	}
}

// promptTokens is the length of the prompt with the word of the role.
func (a *Arrival) promptTokens() int { return len(a.Prompt) + 1 }

func (p *Report) second(r *Result) {
	second := int(r.Arrival.ScheduledAt / time.Second)
	key := second*len(rankNames) + slices.Index(rankNames, r.Arrival.Mix.Rank)
	s := p.seconds[key]
	if s == nil {
		s = &SecondCounts{Second: second, Rank: r.Arrival.Mix.Rank}
		p.seconds[key] = s
	}
	s.Offered++
	s.Outcomes[r.Outcome]++
}

var rankNames = []string{"urgent", "standard", "batch"}

func (p *Report) group(scope, name string) *Group {
	key := [2]string{scope, name}
	g := p.groups[key]
	if g == nil {
		g = &Group{
			Scope: scope, Name: name, CodeCounts: make(map[string]int),
			FirstLatency: newHistogram(), InterTokenLatency: newHistogram(),
		}
		p.groups[key] = g
	}
	return g
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

func (g *Group) serve(r *Result, run *Run) {
	if r.Outcome == Answered && run.covers(r.EndedAt) {
		g.Served++
	}
	for _, at := range r.TokenTimes {
		if run.covers(at) {
			g.ReceivedTokens++
		}
	}
}

func (g *Group) add(r *Result) {
	a := r.Arrival
	g.Offered++
	g.Outcomes[r.Outcome]++
	if r.Code != "" {
		g.CodeCounts[r.Outcome.String()+" "+r.Code]++
	}
	if a.Mix.Kind == KindService {
		if r.Outcome == Answered {
			record(g.FirstLatency, r.EndedAt-a.ScheduledAt)
		}
		return
	}
	g.OfferedTokens += a.promptTokens() + a.MaxTokens
	if len(r.TokenTimes) == 0 {
		return
	}
	record(g.FirstLatency, r.TokenTimes[0]-a.ScheduledAt)
	for i := 1; i < len(r.TokenTimes); i++ {
		record(g.InterTokenLatency, r.TokenTimes[i]-r.TokenTimes[i-1])
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Groups returns the groups of a scope, ranks by urgency and others by name.
func (p *Report) Groups(scope string) []*Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Group
	for _, g := range p.groups {
		if g.Scope == scope {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *Group) int {
		if scope == scopeRank {
			return slices.Index(rankNames, a.Name) - slices.Index(rankNames, b.Name)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// Total returns the figures of all requests.
func (p *Report) Total() *Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(scopeTotal, "all")
}

// measured is the time that the figures cover.
func (p *Report) measured() time.Duration { return p.scenario.Run.Duration - p.scenario.Run.WarmUp }
