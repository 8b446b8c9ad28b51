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
// Requests that arrived during the warm-up are left out.
type Group struct {
	Scope, Name   string
	Offered       int
	Outcomes      [outcomes]int
	OfferedTokens int // prompt plus requested
	ServedTokens  int // prompt plus generated, of complete answers
	Codes         map[string]int
	// First holds the time from the planned arrival to the first token of
	// chat requests and to the answer of service calls, in microseconds.
	First *hdrhistogram.Histogram
	Gap   *hdrhistogram.Histogram // between tokens, in microseconds
}

// Report holds the figures of a run.
type Report struct {
	mu       sync.Mutex
	scenario *Scenario
	groups   map[[2]string]*Group
	seconds  map[int]*Second
	models   map[string]*offer
	services map[string]int
	// Received is the number of tokens received after the warm-up and before
	// the end of the arrivals.
	Received int
	MaxLate  time.Duration // largest delay of a send after its planned time
	Resends  int
}

// offer sums the requests of one model.
type offer struct {
	requests, answered     int
	prompt, output, layers int
}

// Second counts the requests that arrived in one second of the run.
type Second struct {
	Second   int
	Rank     string
	Offered  int
	Outcomes [outcomes]int
}

func newReport(s *Scenario) *Report {
	return &Report{
		scenario: s,
		groups:   make(map[[2]string]*Group),
		seconds:  make(map[int]*Second),
		models:   make(map[string]*offer),
		services: make(map[string]int),
	}
}

// add records the end of a request.
func (p *Report) add(r *Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := &p.scenario.Run
	for _, at := range r.Tokens {
		if at >= run.WarmUp && at < run.Duration {
			p.Received++
		}
	}
	p.second(r)
	if r.Arrival.At < run.WarmUp {
		return
	}
	p.MaxLate = max(p.MaxLate, r.Late)
	p.Resends += r.Resends
	p.offer(r)
	m := r.Arrival.Mix
	p.group(scopeTotal, "all").add(r)
	p.group(scopeRank, m.Rank).add(r)
	p.group(scopeMix, m.Name).add(r)
	p.group(scopeOrganisation, r.Arrival.Organisation).add(r)
}

func (p *Report) offer(r *Result) {
	m := r.Arrival.Mix
	if m.Kind == KindService {
		p.services[m.Service]++
		return
	}
	o := p.models[m.Model]
	if o == nil {
		o = &offer{layers: m.Layers}
		p.models[m.Model] = o
	}
	o.requests++
	o.prompt += r.Arrival.promptTokens()
	o.output += r.Arrival.MaxTokens
	if r.Outcome == Answered {
		o.answered++
	}
}

// promptTokens is the length of the prompt with the word of the role.
func (a *Arrival) promptTokens() int { return len(a.Prompt) + 1 }

func (p *Report) second(r *Result) {
	second := int(r.Arrival.At / time.Second)
	key := second*len(rankNames) + slices.Index(rankNames, r.Arrival.Mix.Rank)
	s := p.seconds[key]
	if s == nil {
		s = &Second{Second: second, Rank: r.Arrival.Mix.Rank}
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
			Scope: scope, Name: name, Codes: make(map[string]int),
			First: newHistogram(), Gap: newHistogram(),
		}
		p.groups[key] = g
	}
	return g
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

func (g *Group) add(r *Result) {
	a := r.Arrival
	g.Offered++
	g.Outcomes[r.Outcome]++
	if r.Code != "" {
		g.Codes[r.Outcome.String()+" "+r.Code]++
	}
	if a.Mix.Kind == KindService {
		if r.Outcome == Answered {
			record(g.First, r.End-a.At)
		}
		return
	}
	g.OfferedTokens += a.promptTokens() + a.MaxTokens
	if r.Outcome == Answered {
		g.ServedTokens += a.promptTokens() + len(r.Tokens)
	}
	if len(r.Tokens) == 0 {
		return
	}
	record(g.First, r.Tokens[0]-a.At)
	for i := 1; i < len(r.Tokens); i++ {
		record(g.Gap, r.Tokens[i]-r.Tokens[i-1])
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
